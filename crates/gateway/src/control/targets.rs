//! Watches the list of targets in the store.

use std::rc::Rc;

use cadence::CountedExt as _;
use cyc_types::{Millis, TargetId, Version};
use tokio::time::{Instant, sleep, sleep_until};

use super::{RetryDelay, WATCH_WAIT};
use crate::{
    member::{Change, Outcome, TargetIncarnation},
    port::{Protocol, Store, StoreError},
    state::{ColdSource, State},
};

/// Changes within this time are read with one call: each response of the store is billed, and a
/// draining target keeps running for seconds.
const COALESCE_WINDOW: Millis = Millis::new(150);
/// Consecutive failed calls that count as an outage of the store.
const OUTAGE_FAILURES: u32 = 2;

/// Watches the list of targets and applies changes; never returns.
pub async fn watch_targets<P: Protocol, S: Store>(state: Rc<State<P>>, store: Rc<S>) {
    let mut retry_delay = RetryDelay::default();
    let mut since: Option<Version> = None;
    // When the last failed call was sent.
    let mut failed_from: Option<Millis> = None;
    loop {
        let from = since;
        let sent_at = state.now();
        // After a failure, the return of the store should be seen without waiting for a change.
        let wait = match failed_from {
            None => WATCH_WAIT,
            Some(_) => Millis::ZERO,
        };
        let read = async {
            match from {
                None => store.targets().await,
                Some(from) => store.next_targets(from, wait).await,
            }
        };
        let read = while_expiring(&state, read).await;
        state.note_era(store.era());
        match state.record_store_call(read) {
            Ok((changes, version)) => {
                let failures = retry_delay.reset();
                if failures > 0 {
                    spdlog::info!("target_watch_recovered", kv: { failures = failures });
                }
                if let Some(failed_from) = failed_from.take()
                    && failures >= OUTAGE_FAILURES
                {
                    store_returned(&state, failed_from);
                }
                let is_list = since.is_none();
                if !is_list {
                    retry_delay.watch_succeeded();
                }
                let has_changes = !changes.is_empty();
                since = Some(version);
                let cold = cold_targets(&state, &changes, is_list);
                let outcomes = apply_changes(&state, changes, is_list);
                log_and_refresh(&state, &outcomes, version);
                for (target, left, source) in cold {
                    state.mark_cold(&target, left, source);
                }
                state.targets_loaded.set(true);
                if has_changes {
                    while_expiring(&state, sleep(COALESCE_WINDOW.duration())).await;
                }
            }
            Err(error) => {
                let wait = if error == StoreError::HistoryUnavailable {
                    since = None;
                    retry_delay.next_relist_delay()
                } else {
                    failed_from = Some(sent_at);
                    retry_delay.next_delay()
                };
                spdlog::warn!("targets_read_failed", kv: {
                    error = error.to_string(),
                    retry_in_ms = wait.get(),
                });
                while_expiring(&state, sleep(wait.duration())).await;
            }
        }
    }
}

/// The registrations that say that their targets are cold, or that belong to restarted ones. A list
/// that repeats a known registration says nothing new: it may have been written long ago.
fn cold_targets<P>(
    state: &State<P>,
    changes: &[Change],
    is_list: bool,
) -> Vec<(TargetIncarnation, Millis, ColdSource)> {
    let targets = state.targets.borrow();
    let config = state.config.borrow();
    let cold = changes.iter().filter_map(|change| {
        let Change::Updated(record) = change else {
            return None;
        };
        let known = targets.get(&record.id);
        if is_list && known == Some(record) {
            return None;
        }
        let is_restart = known.is_some_and(|known| {
            known.started_at != record.started_at || known.addr != record.addr
        });
        let service = config
            .as_ref()
            .and_then(|config| config.service(&record.service));
        let start = service.and_then(|service| service.cold_start);
        let start = start.filter(|_| is_restart).map(|start| start.time);
        let left = record.cold_left.max(start.unwrap_or_default());
        let source = match is_restart {
            true => ColdSource::Restart,
            false => ColdSource::Registration,
        };
        (!left.is_zero()).then(|| (record.incarnation(), left, source))
    });
    cold.collect()
}

/// Records the end of an outage: the first success of any call since the last failed one was sent.
fn store_returned<P>(state: &State<P>, failed_from: Millis) {
    let now = state.now();
    let first = state.store_health.borrow().first_success_after(failed_from);
    let returned_at = first.unwrap_or(now);
    spdlog::info!("store_returned", kv: { seen_before_ms = now.saturating_sub(returned_at).get() });
    state.targets.borrow_mut().store_returned(returned_at);
}

/// Awaits `future`, and meanwhile applies delayed removals when they are due.
async fn while_expiring<P, T>(state: &State<P>, future: impl Future<Output = T>) -> T {
    tokio::pin!(future);
    loop {
        let due = state.targets.borrow().next_expiry();
        let wait = due.map(|due| due.saturating_sub(state.now()));
        let expiry = Instant::now() + wait.unwrap_or(WATCH_WAIT + WATCH_WAIT).duration();
        tokio::select! {
            done = &mut future => return done,
            () = sleep_until(expiry) => expire(state),
        }
    }
}

/// Applies the whole list, or changes of it.
fn apply_changes<P>(
    state: &State<P>,
    changes: Vec<Change>,
    is_list: bool,
) -> Vec<(TargetId, Outcome)> {
    let now = state.now();
    let unreadable = changes
        .iter()
        .filter(|change| matches!(change, Change::Unreadable(_)));
    for _ in unreadable {
        let metric = format!("{}targets", cyc_obs::names::OBJECTS_UNREADABLE);
        state.metrics.incr(&metric).ok();
    }
    let mut targets = state.targets.borrow_mut();
    if is_list {
        return targets.replace(changes, now);
    }
    let apply = |change: Change| (change.id().clone(), targets.apply(change, now));
    changes.into_iter().map(apply).collect()
}

fn expire<P>(state: &State<P>) {
    let outcomes = state.targets.borrow_mut().expire(state.now());
    log_and_refresh(state, &outcomes, Version::ZERO);
}

fn log_and_refresh<P>(state: &State<P>, outcomes: &[(TargetId, Outcome)], version: Version) {
    let changed = outcomes
        .iter()
        .filter(|(_, outcome)| *outcome != Outcome::Same);
    let mut is_changed = false;
    for (id, outcome) in changed {
        is_changed = true;
        spdlog::info!("target_changed", kv: {
            target = id.as_str(),
            outcome = outcome.to_string(),
            version = version.to_string(),
        });
        if *outcome == Outcome::Started {
            log_replaced(state, id);
        }
    }
    if is_changed {
        state.refresh_fleet();
    }
}

/// Logs the targets whose address a started one has taken over.
fn log_replaced<P>(state: &State<P>, id: &TargetId) {
    for old in state.targets.borrow().replaced_by(id) {
        spdlog::info!("target_replaced", kv: { target = old.as_str(), by = id.as_str() });
    }
}
