//! Writes this entry's heartbeat and reads those of the other entries.

use std::rc::Rc;

use tokio::time::{sleep, timeout};

use super::Pause;
use crate::{
    peers::{BEAT, SETTLE},
    port::{Freshness, Store, StoreError, Wire},
    state::State,
};

/// Exchanges heartbeats with the other entries; never returns.
pub async fn follow_entries<W: Wire, S: Store>(state: Rc<State<W>>, store: Rc<S>) {
    let mut pause = Pause::default();
    loop {
        match beat(&state, &*store).await {
            Ok(()) => {
                let failures = pause.reset();
                if failures > 0 {
                    spdlog::info!("entries_followed", kv: { failures = failures });
                }
                let is_settled = state.peers.borrow().is_settled();
                let wait = if is_settled { BEAT } else { SETTLE };
                // The timeout is the regular interval.
                timeout(wait.duration(), state.sign_wanted.notified())
                    .await
                    .ok();
            }
            Err(error) => {
                let soon = pause.grow();
                // Once the other entries are known, retrying after a full interval is soon enough,
                // since each call to the store is billed.
                let wait = match state.peers.borrow().is_settled() {
                    true => BEAT,
                    false => soon,
                };
                spdlog::warn!("entries_not_read", kv: {
                    error = error.to_string(),
                    again_ms = wait.get(),
                });
                sleep(wait.duration()).await;
            }
        }
    }
}

/// Reads the heartbeats and writes this entry's own. The first reads have to be consistent, since
/// this entry's part of shared limits depends on them; later ones may be seconds old, which costs
/// less.
async fn beat<W: Wire, S: Store>(state: &State<W>, store: &S) -> Result<(), StoreError> {
    let freshness = match state.peers.borrow().is_settled() {
        false => Freshness::Newest,
        true => Freshness::SecondsOld,
    };
    let signs = store.signs(freshness).await?;
    let (before, after) = {
        let mut peers = state.peers.borrow_mut();
        let before = peers.running();
        peers.observe(signs, state.now());
        let starts = peers.starts(state.now());
        state.wallet.borrow_mut().set_starts(starts);
        (before, peers.running())
    };
    if before != after {
        spdlog::info!("entries", kv: { running = after, before = before });
    }
    let sign = state.peers.borrow_mut().beat();
    let is_known = state.peers.borrow().is_settled();
    store.write_sign(&sign, is_known).await
}
