//! Watches the evacuations in the store.

use std::rc::Rc;

use cadence::CountedExt as _;
use cyc_evac::Outcome;
use cyc_types::{AvailabilityZone, Millis, Version};
use tokio::time::sleep;

use super::{RetryDelay, WATCH_WAIT};
use crate::{
    port::{Protocol, Store, StoreError},
    state::State,
};

/// Age of requests that the first list contains.
const UNKNOWN_AGE: Millis = Millis::new(u64::MAX);

/// Watches the requested evacuations and applies changes; never returns.
pub async fn watch_evacuations<P: Protocol, S: Store>(state: Rc<State<P>>, store: Rc<S>) {
    let mut retry_delay = RetryDelay::default();
    let mut since: Option<Version> = None;
    // All that the store acknowledged before this time is known; `None` before the first read.
    let mut known_until: Option<Millis> = None;
    loop {
        let started = state.now();
        let read = match since {
            None => store.evacuations().await,
            Some(since) => store.next_evacuations(since, WATCH_WAIT).await,
        };
        state.note_era(store.era());
        match state.record_store_call(read) {
            Ok((changes, version)) => {
                let failures = retry_delay.reset();
                if failures > 0 {
                    spdlog::info!("evacuation_watch_recovered", kv: { failures = failures });
                }
                let now = state.now();
                let age = known_until.map_or(UNKNOWN_AGE, |known| now.saturating_sub(known));
                let mut fleet = state.fleet.borrow_mut();
                let evacuations = fleet.evacuations_mut();
                evacuations.expire(now);
                let outcomes = match since {
                    None => evacuations.replace(&changes, age, now),
                    Some(_) => {
                        let apply = |change: &cyc_evac::Change| {
                            let outcome = evacuations.apply(change, age, now);
                            (change.zone().clone(), outcome)
                        };
                        changes.iter().map(apply).collect()
                    }
                };
                drop(fleet);
                for (zone, outcome) in outcomes {
                    apply(&state, &zone, outcome, version);
                }
                // An entry that was frozen after the store responded reads the response late. A list
                // and a response with changes may be as old as their call.
                known_until = Some(match since {
                    Some(_) if changes.is_empty() => now.min(started + WATCH_WAIT),
                    Some(_) | None => started,
                });
                since = Some(version);
                state.evacuations_loaded.set(true);
            }
            Err(error) => {
                if error == StoreError::HistoryUnavailable {
                    since = None;
                }
                let wait = retry_delay.next_delay();
                spdlog::warn!("evacuations_read_failed", kv: {
                    error = error.to_string(),
                    retry_in_ms = wait.get(),
                });
                sleep(wait.duration()).await;
            }
        }
    }
}

fn apply<P>(state: &State<P>, zone: &AvailabilityZone, outcome: Outcome, version: Version) {
    match outcome {
        Outcome::Evacuated(ramp) => {
            spdlog::warn!("zone_evacuated", kv: {
                zone = zone.as_str(),
                ramp_ms = ramp.get(),
                version = version.to_string(),
            });
            state.metrics.incr(cyc_obs::names::ZONES_EVACUATED).ok();
        }
        Outcome::Returned => {
            let now = state.now();
            let cold = state.fleet.borrow_mut().mark_zone_cold(zone, now);
            spdlog::info!("zone_returned", kv: {
                zone = zone.as_str(),
                cold_targets = cold,
                version = version.to_string(),
            });
            state.metrics.incr(cyc_obs::names::ZONES_RETURNED).ok();
        }
        Outcome::Same => {}
    }
}
