//! Records which sidecar incarnations this entry may send work to, before it does.

use std::{collections::BTreeMap, sync::Arc};

use cyc_member::contacts;
use cyc_store::Platform;
use cyc_types::{Backoff, Incarnation, Millis, TargetId};

use crate::app::App;

/// Time between two looks for new sidecar incarnations.
const CONTACTS_INTERVAL: Millis = Millis::new(50);

/// Keeps the record in step with the heartbeats for as long as the process runs.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>) {
    let mut recorded = BTreeMap::new();
    let mut backoff = Backoff::new(Millis::new(50), Millis::new(2_000));
    loop {
        tokio::time::sleep(CONTACTS_INTERVAL.duration()).await;
        let wanted = wanted(&app, &recorded);
        if wanted == recorded {
            continue;
        }
        match contacts::record(platform.as_ref(), &app.me, &wanted).await {
            Ok(()) => {
                app.fleet.set_recorded(&wanted);
                recorded = wanted;
                backoff.reset();
            }
            Err(contacts::Error::Sealed) => {
                spdlog::error!("contacts_sealed", kv: { entry = app.me.to_string() });
                app.on_fenced();
                return;
            }
            Err(error) => {
                spdlog::warn!("contacts_not_recorded", kv: { error = error.to_string() });
                tokio::time::sleep(backoff.next_wait().duration()).await;
            }
        }
    }
}

/// Returns the contacts to record. A new incarnation replaces an earlier one only when nothing is
/// open with that one; until then the target gets no work. Targets that left the configuration
/// stay: they may have been sent work.
fn wanted(
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
        if earlier.is_none_or(|_| app.books.is_clear(&sidecar.target)) {
            wanted.insert(sidecar.target.clone(), incarnation);
        }
    }
    wanted
}
