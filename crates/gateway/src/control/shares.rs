//! Maintains the prepaid tokens of this entry by reading and writing the shared records.

use std::rc::Rc;

use cyc_types::{ClientAccountId, Millis};
use futures::{StreamExt as _, stream};
use tokio::time::{Instant, sleep, timeout};

use super::Pause;
use crate::{
    port::{Store, StoreError, Wire, Written},
    share::{Plan, Role},
    state::State,
};

/// Interval between checks of the allocations: draws are sized for seconds of use.
const TICK: Millis = Millis::new(500);
/// Minimum time between two rounds, so that a burst of requests shares one round.
const GAP: Millis = Millis::new(30);
/// Maximum concurrent reads and writes of records.
const CONCURRENT: usize = 8;
/// Attempts to return tokens at shutdown; other entries write the same records.
const RETURN_TRIES: u32 = 8;

/// Draws and returns tokens until shutdown.
pub async fn keep_shares<W: Wire, S: Store>(state: Rc<State<W>>, store: Rc<S>) {
    let mut pause = Pause::default();
    loop {
        if state.is_stopping() && state.in_flight.get() == 0 {
            // The shutdown returns the remaining tokens; a draw must not run concurrently with it.
            return;
        }
        let result = round(&state, &*store).await;
        match result {
            Ok(Round::Idle) => {}
            Ok(Round::Done | Round::Conflicts) => {
                let failures = pause.reset();
                state.shares_failures.set(0);
                if failures > 0 {
                    spdlog::info!("shares_reached", kv: { failures = failures });
                }
            }
            Err(error) => {
                let wait = pause.grow();
                state.shares_failures.set(state.shares_failures.get() + 1);
                spdlog::warn!("shares_not_reached", kv: {
                    error = error.to_string(),
                    again_ms = wait.get(),
                });
                sleep(wait.duration()).await;
                continue;
            }
        }
        if result == Ok(Round::Conflicts) {
            continue;
        }
        sleep(GAP.duration()).await;
        // The timeout is the regular interval.
        let wanted = state.draw_wanted.notified();
        timeout(TICK.saturating_sub(GAP).duration(), wanted)
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
async fn round<W: Wire, S: Store>(state: &State<W>, store: &S) -> Result<Round, StoreError> {
    let role = |account: &ClientAccountId| state.role(account);
    let mut due = state.wallet.borrow().due(role, state.now());
    if due.is_empty() {
        return Ok(Round::Idle);
    }
    if state.shares_failures.get() > 0 {
        due.truncate(1);
    }
    Ok(match step_all(state, store, &due).await? {
        true => Round::Done,
        false => Round::Conflicts,
    })
}

/// Reads and writes the records of several accounts. Returns false if they should be retried at
/// once.
async fn step_all<W: Wire, S: Store>(
    state: &State<W>,
    store: &S,
    accounts: &[ClientAccountId],
) -> Result<bool, StoreError> {
    let steps = accounts.iter().map(|account| step(state, store, account));
    let done: Vec<Result<bool, StoreError>> = stream::iter(steps)
        .buffer_unordered(CONCURRENT)
        .collect()
        .await;
    let done: Vec<bool> = done.into_iter().collect::<Result<_, _>>()?;
    Ok(done.iter().all(|is_done| *is_done))
}

/// Reads and writes the record of an account as far as due. Returns false if it should be retried
/// at once.
async fn step<W: Wire, S: Store>(
    state: &State<W>,
    store: &S,
    account: &ClientAccountId,
) -> Result<bool, StoreError> {
    let role = state.role(account);
    let must_read = state.wallet.borrow().must_read(account, role, state.now());
    if must_read {
        let (version, record) = store.share(account).await?;
        let mut wallet = state.wallet.borrow_mut();
        wallet.observe(account, version, record, state.now());
    }
    let now = state.now();
    let plan = state.wallet.borrow_mut().plan(account, role, now);
    state.wallet_changed.notify_waiters();
    let Some(plan) = plan else {
        return Ok(true);
    };
    let asked = Instant::now();
    let written = store.write_share(&plan).await;
    let mut wallet = state.wallet.borrow_mut();
    match &written {
        Ok(Written::Done(version)) => wallet.written(account, *version, state.now()),
        Ok(Written::Conflict(current)) => {
            wallet.conflicted(account);
            if let Some((version, record)) = current.clone() {
                wallet.observe(account, Some(version), record, state.now());
            }
        }
        Err(StoreError::Refused(_)) => wallet.refused(account),
        Err(_) => wallet.unanswered(account),
    }
    drop(wallet);
    log(state, role, &plan, &written, asked);
    state.wallet_changed.notify_waiters();
    written.map(|written| matches!(written, Written::Done(_)))
}

/// Returns all unreserved tokens at shutdown, to the owner of each account or to its record.
/// Returns true if nothing is left.
pub async fn return_shares<W: Wire, S: Store>(state: &State<W>, store: &S) -> bool {
    state.wallet.borrow_mut().close();
    super::give_back(state).await;
    for _ in 0..RETURN_TRIES {
        let accounts = state.wallet.borrow().unreturned();
        if accounts.is_empty() {
            return true;
        }
        if let Err(error) = step_all(state, store, &accounts).await {
            spdlog::warn!("shares_not_returned", kv: {
                error = error.to_string(),
            });
            sleep(super::PAUSE_MIN.duration()).await;
        }
    }
    state.wallet.borrow().unreturned().is_empty()
}

fn log<W>(
    state: &State<W>,
    role: Role,
    plan: &Plan,
    written: &Result<Written, StoreError>,
    asked: Instant,
) {
    let outcome = match written {
        Ok(Written::Done(_)) => "written".to_string(),
        Ok(Written::Conflict(_)) => "conflict".to_string(),
        Err(error) => error.to_string(),
    };
    let role = match role {
        Role::Home => "home",
        Role::Guest => "guest",
    };
    spdlog::info!("prepaid_move", kv: {
        account = plan.account.as_str(),
        role = role,
        drawn = plan.drawn.get(),
        returned = plan.returned.get(),
        drawn_by_all = plan.record.drawn.get(),
        paid = state.wallet.borrow().prepaid(&plan.account).get(),
        entries = state.entries(),
        base = plan.base.map_or(0, |version| version.get()),
        took_ms = asked.elapsed().as_millis() as u64,
        outcome = outcome.as_str(),
    });
}
