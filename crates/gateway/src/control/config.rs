//! Watches the configuration in the store.

use std::rc::Rc;

use cyc_types::{Millis, Version};
use tokio::time::sleep;

use super::{RetryDelay, WATCH_WAIT};
use crate::{
    config::Configuration,
    port::{Protocol, Store, StoreError},
    state::State,
};

/// Watches the configuration and applies changes; never returns.
pub async fn watch_configuration<P: Protocol, S: Store>(state: Rc<State<P>>, store: Rc<S>) {
    let mut retry_delay = RetryDelay::default();
    let mut since: Option<Version> = None;
    loop {
        let read = match since {
            None => store.configuration().await,
            Some(since) => store.next_configuration(since, WATCH_WAIT).await,
        };
        state.note_era(store.era());
        match state.record_store_call(read) {
            Ok((config, version)) => {
                let failures = retry_delay.reset();
                if failures > 0 {
                    spdlog::info!("config_watch_recovered", kv: { failures = failures });
                }
                if since.is_some() {
                    retry_delay.watch_succeeded();
                }
                let is_missing = config.is_none() && since.is_none();
                since = Some(version);
                match config {
                    Some(config) => apply(&state, config),
                    None if is_missing => sleep(super::RETRY_DELAY_MIN.duration()).await,
                    None => {}
                }
            }
            Err(error) => {
                if error == StoreError::HistoryUnavailable {
                    since = None;
                }
                let wait = log_failure(&mut retry_delay, &error);
                sleep(wait.duration()).await;
            }
        }
    }
}

fn log_failure(retry_delay: &mut RetryDelay, error: &StoreError) -> Millis {
    let wait = match error {
        StoreError::HistoryUnavailable => retry_delay.next_relist_delay(),
        _ => retry_delay.next_delay(),
    };
    spdlog::warn!("config_read_failed", kv: {
        error = error.to_string(),
        retry_in_ms = wait.get(),
    });
    wait
}

/// Activates a configuration unless its revision is outdated.
pub fn apply<P>(state: &State<P>, config: Configuration) {
    let current = state.config.borrow().as_ref().map(|config| config.revision);
    if current.is_some_and(|current| current >= config.revision) {
        return;
    }
    let totals = config.accounts().iter().filter_map(|account| {
        let paid = account.prepaid?;
        Some((account.id.clone(), paid))
    });
    state.allocations.borrow_mut().set_prepaid(totals);
    spdlog::info!("config_applied", kv: {
        revision = config.revision.get(),
        previous = current.map_or(0, |revision| revision.get()),
        accounts = config.accounts().len(),
    });
    let mut fleet = state.fleet.borrow_mut();
    fleet.set_cold_starts(config.cold_starts());
    drop(fleet);
    *state.config.borrow_mut() = Some(Rc::new(config));
    state.draw_requested.notify_one();
    state.allocations_changed.notify_waiters();
}
