//! Reclaims the grants of entry incarnations that are gone, and notices when this one is fenced.

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

use crate::{app::App, control::duty::Duty, fleet::Sidecar};

/// Time between two rounds.
const RECLAIM_INTERVAL: Millis = Millis::new(1_000);
/// How long the answer of a sidecar is waited for.
const FENCE_TIMEOUT: Millis = Millis::new(2_000);

/// Runs rounds of reclaim for as long as the process runs.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>, absence: Millis) {
    let sidecars = FleetSidecars {
        app: app.clone(),
        platform: platform.clone(),
    };
    let options = Options {
        absence,
        own_vm: Some(app.me.vm.clone()),
    };
    let (purse, clock) = (app.purse.clone(), app.clock.clone());
    let mut reclaimer =
        Reclaimer::new(platform.clone(), purse, Arc::new(sidecars), clock).with_options(options);
    let mut duty = Duty::new("reclaim");
    let mut unresolved = Vec::new();
    let mut interval = tokio::time::interval(RECLAIM_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        check_own_fence(&app, platform.as_ref()).await;
        if duty.is_due(&app, platform.as_ref()).await != Ok(true) {
            continue;
        }
        match reclaimer.round().await {
            Ok(outcome) => {
                if outcome.unresolved != unresolved {
                    unresolved.clone_from(&outcome.unresolved);
                    log_unresolved(&unresolved);
                }
                finish(&app, outcome).await;
            }
            Err(error) => {
                spdlog::debug!("reclaim_round_failed", kv: { error = error.to_string() });
            }
        }
    }
}

/// Stops this incarnation if others have fenced it, also when no request tells.
async fn check_own_fence(app: &App, platform: &dyn Platform) {
    let is_known = app.ledger.status().fenced || app.purse.with_wallet(|w| w.is_fenced());
    let is_fenced = is_known
        || fence::read(platform).await.is_ok_and(|fences| {
            let lowest = fences.lowest.get(&app.me.vm);
            lowest.is_some_and(|lowest| app.me.number < *lowest)
        });
    if is_fenced {
        app.on_fenced();
    }
}

async fn finish(app: &App, outcome: Outcome) {
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
    for left in unresolved {
        spdlog::warn!("grant_unresolved", kv: {
            budget = left.grant.budget.as_str(),
            holder = left.grant.holder.to_string(),
            tokens = left.tokens.get(),
            reason = left.reason.to_string(),
        });
    }
}

/// Tells all sidecars to drop receipts that the ledger has; whoever has none of them ignores it.
async fn release(app: &App, released: Vec<(Incarnation, RequestId)>) {
    let mut by_entry: std::collections::BTreeMap<Incarnation, Vec<RequestId>> = Default::default();
    for (entry, request) in released {
        by_entry.entry(entry).or_default().push(request);
    }
    for (entry, requests) in by_entry {
        let req = ReleaseRequest { entry, requests };
        let told = app.fleet.all().into_iter().map(|sidecar| {
            let req = req.clone();
            async move {
                // A sidecar that does not hear it hands the receipts over again in the next round.
                if let Ok(client) = sidecar.link.client().await {
                    client.release(req).await.ok();
                }
            }
        });
        futures::future::join_all(told).await;
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
        if !self.is_newest().await {
            let behind = || LinkError::NotSent(String::from("a newer configuration may name more"));
            let silent = sidecars.iter().map(|sidecar| sidecar.target.clone());
            return silent.map(|target| (target, Err(behind()))).collect();
        }
        let asked = sidecars.iter().map(|sidecar| async {
            let asking = ask(sidecar, lowest);
            let reply = tokio::time::timeout(FENCE_TIMEOUT.duration(), asking).await;
            let late = |_| Err(LinkError::NoAnswer(String::from("timeout")));
            (sidecar.target.clone(), reply.unwrap_or_else(late))
        });
        futures::future::join_all(asked).await
    }
}

impl FleetSidecars {
    /// Returns true if the configuration in force is the one that the platform has.
    async fn is_newest(&self) -> bool {
        let have = self.app.config.current();
        let loaded = store::load(self.platform.as_ref(), have.as_deref()).await;
        matches!(loaded, Ok(None))
    }
}

async fn ask(sidecar: &Sidecar, lowest: &Incarnation) -> Result<FenceReply, LinkError> {
    let client = sidecar.link.client().await?;
    let lowest = lowest.clone();
    Ok(client.fence(FenceRequest { lowest }).await?)
}
