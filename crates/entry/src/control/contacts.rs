//! Records in the platform which sidecar incarnations this entry may send requests to, before it
//! sends any.

use std::{collections::BTreeMap, sync::Arc};

use cyc_member::contacts;
use cyc_store::Platform;
use cyc_types::{Backoff, Incarnation, Millis, TargetId};

use crate::app::App;

/// Interval between checks for new sidecar incarnations.
const CONTACTS_INTERVAL: Millis = Millis::new(50);

/// Keeps the recorded contacts up to date until the process ends.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>) {
    let mut recorded = BTreeMap::new();
    let mut backoff = Backoff::new(Millis::new(50), Millis::new(2_000));
    loop {
        tokio::time::sleep(CONTACTS_INTERVAL.duration()).await;
        let wanted = contacts_to_record(&app, &recorded);
        if wanted == recorded {
            continue;
        }
        match contacts::record(platform.as_ref(), &app.incarnation, &wanted).await {
            Ok(()) => {
                app.fleet.set_recorded_incarnations(&wanted);
                recorded = wanted;
                backoff.reset();
            }
            Err(contacts::Error::Sealed) => {
                spdlog::error!("contacts_sealed", kv: { entry = app.incarnation.to_string() });
                app.on_fenced();
                return;
            }
            Err(error) => {
                spdlog::warn!("contacts_record_failed", kv: { error = error.to_string() });
                tokio::time::sleep(backoff.next_delay().duration()).await;
            }
        }
    }
}

/// Returns the contacts to record. A new incarnation replaces an earlier one only when this entry
/// has no pending attempt or unsettled receipt there; until then the target gets no requests.
/// Targets that were removed from the configuration are kept, because requests may have been sent
/// to them.
fn contacts_to_record(
    app: &App,
    recorded: &BTreeMap<TargetId, Incarnation>,
) -> BTreeMap<TargetId, Incarnation> {
    let mut wanted = recorded.clone();
    for sidecar in app.fleet.all() {
        let Some(incarnation) = sidecar.incarnation() else {
            continue;
        };
        let earlier = recorded
            .get(&sidecar.target)
            .filter(|earlier| **earlier != incarnation);
        if earlier.is_none_or(|_| app.pending.is_settled(&sidecar.target)) {
            wanted.insert(sidecar.target.clone(), incarnation);
        }
    }
    wanted
}
