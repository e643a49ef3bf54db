//! Merges ledger segments and credits requests that were billed twice.

use std::sync::Arc;

use cyc_ledger::merge;
use cyc_store::Platform;
use cyc_types::Millis;

use crate::{app::App, control::schedule::ControllerSchedule};

/// Interval between rounds.
const MERGE_INTERVAL: Millis = Millis::new(5_000);

/// Merges new segments periodically until the process ends. Receipts of one request within `window`
/// are duplicates.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>, window: Millis) {
    let mut schedule = ControllerSchedule::new("merge");
    let mut interval = tokio::time::interval(MERGE_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if schedule.is_due(&app, platform.as_ref()).await != Ok(true) {
            continue;
        }
        match merge(platform.as_ref(), &app.wallet, window).await {
            Ok(outcome) if !outcome.credited.is_zero() => {
                spdlog::info!("duplicates_credited", kv: { tokens = outcome.credited.get() });
            }
            Ok(_) => {}
            Err(error) => {
                spdlog::debug!("merge_failed", kv: { error = error.to_string() });
            }
        }
    }
}
