//! Reclaims the grants of entry incarnations that have ended, and detects that this incarnation is
//! fenced.

use std::sync::Arc;

use async_trait::async_trait;
use cyc_config::store;
use cyc_ledger::{
    Reclaimer, Sidecars, Unresolved,
    reclaim::{Options, Outcome},
};
use cyc_member::fence;
use cyc_proto::{
    LinkError,
    sidecar::{FenceReply, FenceRequest, ReleaseRequest, SidecarClient as _},
};
use cyc_store::Platform;
use cyc_types::{Incarnation, Millis, RequestId, TargetId};

use crate::{app::App, control::schedule::ControllerSchedule, fleet::Sidecar};

/// Interval between rounds.
const RECLAIM_INTERVAL: Millis = Millis::new(1_000);
/// Time limit for a sidecar's fence reply.
const FENCE_TIMEOUT: Millis = Millis::new(2_000);

/// Runs reclaim rounds until the process ends.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>, absence_timeout: Millis) {
    let sidecars = FleetSidecars {
        app: app.clone(),
        platform: platform.clone(),
    };
    let options = Options {
        absence_timeout,
        own_vm: Some(app.incarnation.vm.clone()),
    };
    let (wallet, clock) = (app.wallet.clone(), app.clock.clone());
    let mut reclaimer =
        Reclaimer::new(platform.clone(), wallet, Arc::new(sidecars), clock).with_options(options);
    let mut schedule = ControllerSchedule::new("reclaim");
    let mut unresolved = Vec::new();
    let mut interval = tokio::time::interval(RECLAIM_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        check_own_fence(&app, platform.as_ref()).await;
        if schedule.is_due(&app, platform.as_ref()).await != Ok(true) {
            continue;
        }
        match reclaimer.run_round().await {
            Ok(outcome) => {
                if outcome.unresolved != unresolved {
                    unresolved.clone_from(&outcome.unresolved);
                    log_unresolved(&unresolved);
                }
                complete_round(&app, outcome).await;
            }
            Err(error) => {
                spdlog::debug!("reclaim_round_failed", kv: { error = error.to_string() });
            }
        }
    }
}

/// Stops this incarnation if another process has fenced it. An entry without requests would not
/// learn of the fence otherwise.
async fn check_own_fence(app: &App, platform: &dyn Platform) {
    let is_known = app.ledger.status().fenced || app.wallet.with_wallet(|w| w.is_fenced());
    let is_fenced = is_known
        || fence::read(platform).await.is_ok_and(|fences| {
            let lowest = fences.lowest.get(&app.incarnation.vm);
            lowest.is_some_and(|lowest| app.incarnation.number < *lowest)
        });
    if is_fenced {
        app.on_fenced();
    }
}

async fn complete_round(app: &App, outcome: Outcome) {
    for (grant, tokens) in &outcome.reclaimed {
        spdlog::info!("grant_reclaimed", kv: {
            budget = grant.budget.as_str(),
            holder = grant.holder.to_string(),
            tokens = tokens.get(),
        });
    }
    release(app, outcome.released).await;
}

fn log_unresolved(unresolved: &[Unresolved]) {
    for grant_state in unresolved {
        spdlog::warn!("grant_unresolved", kv: {
            budget = grant_state.grant.budget.as_str(),
            holder = grant_state.grant.holder.to_string(),
            tokens = grant_state.tokens.get(),
            reason = grant_state.reason.to_string(),
        });
    }
}

/// Tells all sidecars to drop receipts that are in the ledger; a sidecar ignores those that it does
/// not have.
async fn release(app: &App, released: Vec<(Incarnation, RequestId)>) {
    let mut by_entry: std::collections::BTreeMap<Incarnation, Vec<RequestId>> = Default::default();
    for (entry, request) in released {
        by_entry.entry(entry).or_default().push(request);
    }
    for (entry, requests) in by_entry {
        let req = ReleaseRequest { entry, requests };
        let releases = app.fleet.all().into_iter().map(|sidecar| {
            let req = req.clone();
            async move {
                // A sidecar that misses this message returns the receipts again in the next round.
                if let Ok(client) = sidecar.link.client().await {
                    client.release(req).await.ok();
                }
            }
        });
        futures::future::join_all(releases).await;
    }
}

/// The sidecars of the configuration in force.
struct FleetSidecars {
    app: Arc<App>,
    platform: Arc<dyn Platform>,
}

#[async_trait]
impl Sidecars for FleetSidecars {
    async fn fence(&self, lowest: &Incarnation) -> Vec<(TargetId, Result<FenceReply, LinkError>)> {
        let sidecars = self.app.fleet.all();
        if !self.is_latest().await {
            let outdated = || {
                LinkError::NotSent(String::from(
                    "the platform may have a newer configuration with more sidecars",
                ))
            };
            let targets = sidecars.iter().map(|sidecar| sidecar.target.clone());
            return targets.map(|target| (target, Err(outdated()))).collect();
        }
        let replies = sidecars.iter().map(|sidecar| async {
            let request = request_fence(sidecar, lowest);
            let reply = tokio::time::timeout(FENCE_TIMEOUT.duration(), request).await;
            let timed_out = |_| Err(LinkError::NoAnswer(String::from("timeout")));
            (sidecar.target.clone(), reply.unwrap_or_else(timed_out))
        });
        futures::future::join_all(replies).await
    }
}

impl FleetSidecars {
    /// Returns true if the configuration in force is the latest one in the platform.
    async fn is_latest(&self) -> bool {
        let have = self.app.config.current();
        let loaded = store::load(self.platform.as_ref(), have.as_deref()).await;
        matches!(loaded, Ok(None))
    }
}

async fn request_fence(sidecar: &Sidecar, lowest: &Incarnation) -> Result<FenceReply, LinkError> {
    let client = sidecar.link.client().await?;
    let lowest = lowest.clone();
    Ok(client.fence(FenceRequest { lowest }).await?)
}
