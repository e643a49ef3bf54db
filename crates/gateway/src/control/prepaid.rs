//! Maintains the prepaid tokens of this entry by reading and writing the shared records.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use cadence::{CountedExt as _, Gauged as _};
use cyc_types::{ClientAccountId, Millis, Version};
use futures::{StreamExt as _, stream};
use tokio::time::{Instant, sleep, timeout};

use super::RetryDelay;
use crate::{
    port::{Protocol, Store, StoreError, Written},
    prepaid::{Record, RecordWrite, Role},
    state::State,
};

/// Interval between checks of the allocations: draws are sized for seconds of use.
const ROUND_INTERVAL: Millis = Millis::new(500);
/// Minimum time between two rounds, so that a burst of requests shares one round.
const MIN_ROUND_INTERVAL: Millis = Millis::new(30);
/// Maximum concurrent reads and writes of records.
const MAX_CONCURRENT_RECORDS: usize = 8;
/// Attempts to return tokens at shutdown: writes of other entries to the same records conflict.
const MAX_RETURN_ATTEMPTS: u32 = 8;

/// A record that could not be decoded is not read again for this long. Someone has to mend it, and
/// each call is billed.
const UNREADABLE_BACKOFF: Millis = Millis::new(2_000);

/// Accounts whose records cannot be decoded, and when they are tried again. They must not keep the
/// other accounts waiting, as an unreachable store does.
#[derive(Debug, Default)]
struct UnreadableRecords(RefCell<BTreeMap<ClientAccountId, Millis>>);

impl UnreadableRecords {
    fn record(&self, account: &ClientAccountId, error: &StoreError, now: Millis) {
        spdlog::error!("prepaid_record_unreadable", kv: {
            account = account.as_str(),
            error = error.to_string(),
        });
        let retry_at = now + UNREADABLE_BACKOFF;
        self.0.borrow_mut().insert(account.clone(), retry_at);
    }

    fn is_due(&self, account: &ClientAccountId, now: Millis) -> bool {
        let mut retry_at = self.0.borrow_mut();
        retry_at.retain(|_, at| *at > now);
        !retry_at.contains_key(account)
    }
}

/// Draws and returns tokens until shutdown.
pub async fn run_prepaid<P: Protocol, S: Store>(state: Rc<State<P>>, store: Rc<S>) {
    let mut retry_delay = RetryDelay::default();
    let unreadable = UnreadableRecords::default();
    loop {
        if state.is_stopping() && state.in_flight.get() == 0 {
            // The shutdown returns the remaining tokens; a draw must not run concurrently with it.
            return;
        }
        let result = run_round(&state, &*store, &unreadable).await;
        match result {
            Ok(Round::Idle) => {}
            Ok(Round::Done | Round::Conflicts) => {
                state.store_health.borrow_mut().record_success(state.now());
                let failures = retry_delay.reset();
                state.prepaid_failures.set(0);
                if failures > 0 {
                    spdlog::info!("prepaid_store_recovered", kv: { failures = failures });
                }
            }
            Err(error) => {
                let wait = retry_delay.next_delay();
                state.store_health.borrow_mut().record_failure(state.now());
                state.prepaid_failures.set(state.prepaid_failures.get() + 1);
                spdlog::warn!("prepaid_store_failed", kv: {
                    error = error.to_string(),
                    retry_in_ms = wait.get(),
                });
                sleep(wait.duration()).await;
                continue;
            }
        }
        if result == Ok(Round::Conflicts) {
            continue;
        }
        sleep(MIN_ROUND_INTERVAL.duration()).await;
        // The timeout is the regular interval.
        let wanted = state.draw_requested.notified();
        timeout(
            ROUND_INTERVAL.saturating_sub(MIN_ROUND_INTERVAL).duration(),
            wanted,
        )
        .await
        .ok();
    }
}

/// Result of a round of reads and writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Round {
    /// Nothing was due.
    Idle,
    /// All due reads and writes are done.
    Done,
    /// Another entry has written one of the records concurrently.
    Conflicts,
}

/// Reads and writes the records that are due. After a failure only one record is tried, so that an
/// unreachable store does not get a call for each account.
async fn run_round<P: Protocol, S: Store>(
    state: &State<P>,
    store: &S,
    unreadable: &UnreadableRecords,
) -> Result<Round, StoreError> {
    let role = |account: &ClientAccountId| state.role(account);
    let now = state.now();
    let mut due = state.allocations.borrow().due(role, now);
    due.retain(|account| unreadable.is_due(account, now));
    if due.is_empty() {
        return Ok(Round::Idle);
    }
    if state.prepaid_failures.get() > 0 {
        due.truncate(1);
    }
    Ok(match sync_records(state, store, &due, unreadable).await? {
        true => Round::Done,
        false => Round::Conflicts,
    })
}

/// Reads and writes the records of several accounts. Returns false if they should be retried at
/// once.
async fn sync_records<P: Protocol, S: Store>(
    state: &State<P>,
    store: &S,
    accounts: &[ClientAccountId],
    unreadable: &UnreadableRecords,
) -> Result<bool, StoreError> {
    let steps =
        accounts.iter().map(
            async |account| match sync_record(state, store, account).await {
                Err(error @ StoreError::Malformed(_)) => {
                    unreadable.record(account, &error, state.now());
                    let metric = format!("{}prepaid", cyc_obs::names::OBJECTS_UNREADABLE);
                    state.metrics.incr(&metric).ok();
                    state.allocations_changed.notify_waiters();
                    Ok(true)
                }
                other => other,
            },
        );
    let done: Vec<Result<bool, StoreError>> = stream::iter(steps)
        .buffer_unordered(MAX_CONCURRENT_RECORDS)
        .collect()
        .await;
    let done: Vec<bool> = done.into_iter().collect::<Result<_, _>>()?;
    Ok(done.iter().all(|is_done| *is_done))
}

/// Reads and writes the record of an account as far as due. Returns false if it should be retried
/// at once.
async fn sync_record<P: Protocol, S: Store>(
    state: &State<P>,
    store: &S,
    account: &ClientAccountId,
) -> Result<bool, StoreError> {
    let role = state.role(account);
    let must_read = state
        .allocations
        .borrow()
        .must_read(account, role, state.now());
    if must_read {
        let read = store.prepaid_record(account).await;
        state.note_era(store.era());
        let (version, record) = read?;
        observe(state, account, version, record);
    }
    let now = state.now();
    log_forecast(state, account, role, now);
    let write = state.allocations.borrow_mut().plan(account, role, now);
    state.allocations_changed.notify_waiters();
    let Some(write) = write else {
        return Ok(true);
    };
    let sent_at = Instant::now();
    let written = store.write_prepaid_record(&write).await;
    state.note_era(store.era());
    let mut allocations = state.allocations.borrow_mut();
    match &written {
        Ok(Written::Done(version)) => allocations.written(account, *version, state.now()),
        Ok(Written::Conflict(_)) => allocations.conflicted(account),
        Err(StoreError::Refused(_) | StoreError::Unreachable(_)) => allocations.refused(account),
        Err(_) => allocations.unanswered(account),
    }
    drop(allocations);
    if matches!(written, Ok(Written::Done(_))) {
        state.written_records.borrow_mut().insert(account.clone());
        state.record_written.notify_one();
        if !write.recovered.is_zero() {
            log_recovery(state, &write);
        }
    }
    if let Ok(Written::Conflict(Some((version, record)))) = &written {
        observe(state, account, Some(*version), record.clone());
    }
    log_write(state, role, &write, &written, sent_at);
    state.allocations_changed.notify_waiters();
    written.map(|written| matches!(written, Written::Done(_)))
}

/// Logs when the account begins to run short, or no longer does, as this entry expects as its owner.
fn log_forecast<P>(state: &State<P>, account: &ClientAccountId, role: Role, now: Millis) {
    let forecast = match role {
        Role::Owner => state.allocations.borrow().forecast(account, now),
        Role::Borrower => None,
    };
    let Some(forecast) = forecast else { return };
    let mut short = state.short_accounts.borrow_mut();
    let has_changed = match forecast.is_short {
        true => short.insert(account.clone()),
        false => short.remove(account),
    };
    if !has_changed {
        return;
    }
    spdlog::info!("prepaid_shortage", kv: {
        account = account.as_str(),
        is_short = forecast.is_short,
        left = forecast.left.get(),
        expected_use = forecast.expected_use.get(),
        paid = state.allocations.borrow().prepaid(account).get(),
    });
    let name = cyc_obs::names::PREPAID_SHORT_ACCOUNTS;
    state.metrics.gauge(name, short.len() as u64).ok();
}

/// Takes over a record that was read, and logs the outcome of a write whose response was lost.
fn observe<P>(
    state: &State<P>,
    account: &ClientAccountId,
    version: Option<Version>,
    record: Record,
) {
    let now = state.now();
    let mut allocations = state.allocations.borrow_mut();
    let Some(outcome) = allocations.observe(account, version, record, now) else {
        return;
    };
    drop(allocations);
    spdlog::info!("prepaid_write_resolved", kv: {
        account = account.as_str(),
        version = version.unwrap_or_default().to_string(),
        outcome = outcome.to_string(),
    });
    let name = format!("{}{outcome}", cyc_obs::names::PREPAID_WRITES_RESOLVED);
    state.metrics.incr(&name).ok();
}

/// Waits until no attempt of another task waits for its response; the caller limits the time.
async fn wait_for_outcomes<P>(state: &State<P>) {
    loop {
        let changed = state.allocations_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if !state.allocations.borrow().is_sending() {
            return;
        }
        changed.await;
    }
}

/// Returns all unreserved tokens at shutdown, to the owner of each account or to its record.
/// Returns true if nothing is left.
pub async fn return_prepaid<P: Protocol, S: Store>(state: &State<P>, store: &S) -> bool {
    state.allocations.borrow_mut().close();
    super::return_surplus(state).await;
    let unreadable = UnreadableRecords::default();
    for _ in 0..MAX_RETURN_ATTEMPTS {
        wait_for_outcomes(state).await;
        let mut accounts = state.allocations.borrow().unreturned();
        accounts.retain(|account| unreadable.is_due(account, state.now()));
        if accounts.is_empty() {
            break;
        }
        if let Err(error) = sync_records(state, store, &accounts, &unreadable).await {
            spdlog::warn!("prepaid_return_failed", kv: {
                error = error.to_string(),
            });
            sleep(super::RETRY_DELAY_MIN.duration()).await;
        }
    }
    state.allocations.borrow().unreturned().is_empty()
}

/// Logs and counts the writes that the store has lost and that were repeated.
fn log_recovery<P>(state: &State<P>, write: &RecordWrite) {
    spdlog::warn!("prepaid_record_recovered", kv: {
        account = write.account.as_str(),
        drawn = write.recovered.drawn.get(),
        returned = write.recovered.returned.get(),
        total_drawn = write.record.drawn.get(),
        paid = state.allocations.borrow().prepaid(&write.account).get(),
        era = write.record.era.unwrap_or_default().get(),
    });
    state
        .metrics
        .incr(cyc_obs::names::PREPAID_RECORDS_RECOVERED)
        .ok();
}

fn log_write<P>(
    state: &State<P>,
    role: Role,
    write: &RecordWrite,
    written: &Result<Written, StoreError>,
    sent_at: Instant,
) {
    let outcome = match written {
        Ok(Written::Done(_)) => "written".to_string(),
        Ok(Written::Conflict(_)) => "conflict".to_string(),
        Err(error) => error.to_string(),
    };
    let role = match role {
        Role::Owner => "owner",
        Role::Borrower => "borrower",
    };
    spdlog::info!("prepaid_record_write", kv: {
        account = write.account.as_str(),
        role = role,
        drawn = write.drawn.get(),
        returned = write.returned.get(),
        total_drawn = write.record.drawn.get(),
        lost = write.record.lost.get(),
        paid = state.allocations.borrow().prepaid(&write.account).get(),
        entries = state.entries(),
        base_version = write.base.unwrap_or_default().to_string(),
        took_ms = sent_at.elapsed().as_millis() as u64,
        outcome = outcome.as_str(),
    });
}
