//! Writes this entry's heartbeat and reads those of the other entries.

use std::rc::Rc;

use tokio::time::{sleep, timeout};

use super::RetryDelay;
use crate::{
    news::News,
    peers::{HEARTBEAT_INTERVAL, STARTUP_DELAY},
    port::{Freshness, Protocol, Store, StoreError},
    state::State,
};

/// Exchanges heartbeats with the other entries; never returns.
pub async fn exchange_heartbeats<P: Protocol, S: Store>(state: Rc<State<P>>, store: Rc<S>) {
    let mut retry_delay = RetryDelay::default();
    loop {
        let round = run_round(&state, &*store).await;
        state.note_era(store.era());
        match state.record_store_call(round) {
            Ok(()) => {
                let failures = retry_delay.reset();
                if failures > 0 {
                    spdlog::info!("heartbeats_recovered", kv: { failures = failures });
                }
                let is_announced = state.peers.borrow().is_announced();
                let wait = if is_announced {
                    HEARTBEAT_INTERVAL
                } else {
                    STARTUP_DELAY
                };
                // The timeout is the regular interval.
                timeout(wait.duration(), state.heartbeat_requested.notified())
                    .await
                    .ok();
            }
            Err(error) => {
                let delay = retry_delay.next_delay();
                // Once the other entries are known, retrying after a full interval is soon enough,
                // since each call to the store is billed.
                let wait = match state.peers.borrow().is_announced() {
                    true => HEARTBEAT_INTERVAL,
                    false => delay,
                };
                spdlog::warn!("heartbeats_read_failed", kv: {
                    error = error.to_string(),
                    retry_in_ms = wait.get(),
                });
                sleep(wait.duration()).await;
            }
        }
    }
}

/// Reads the heartbeats and writes this entry's own. The first reads have to be consistent, since
/// this entry's part of shared limits depends on them; later ones may be seconds old, which costs
/// less.
async fn run_round<P: Protocol, S: Store>(state: &State<P>, store: &S) -> Result<(), StoreError> {
    // Without other entries, only the store tells what they have learnt about targets.
    let is_informed = state.peers.borrow().is_announced() && !state.is_isolated.get();
    let freshness = match is_informed {
        false => Freshness::Newest,
        true => Freshness::SecondsOld,
    };
    let heartbeats = store.heartbeats(freshness).await?;
    let (before, after) = {
        let mut peers = state.peers.borrow_mut();
        let before = peers.running();
        let crashes = peers.observe(heartbeats, state.now());
        state.learn(News {
            crashes,
            ..News::default()
        });
        let incarnations = peers.incarnations(state.now());
        state
            .allocations
            .borrow_mut()
            .set_incarnations(incarnations);
        (before, peers.running())
    };
    if before != after {
        spdlog::info!("entry_count_changed", kv: { running = after, previous = before });
    }
    let summary = state.knowledge.borrow().crashes.summary(state.now());
    let heartbeat = {
        let mut peers = state.peers.borrow_mut();
        peers.set_crashes(summary);
        peers.next_heartbeat()
    };
    let is_known = state.peers.borrow().is_announced();
    store
        .write_heartbeats(&state.vm, &[heartbeat], is_known)
        .await
}
