//! Sends heartbeats to the sidecars. They carry load reports and receipts back, detect outdated
//! configurations, and are followed by outcome queries for attempts in doubt.

use std::sync::Arc;

use cyc_proto::{
    LinkError,
    sidecar::{Heartbeat, HeartbeatReply, OutcomeQuery, SidecarClient as _},
};
use cyc_types::Millis;

use crate::{
    app::App,
    attempt::{self, Outcome},
    fleet::Sidecar,
    pending::InDoubtAttempt,
};

/// Interval between heartbeats to a sidecar.
pub const HEARTBEAT_INTERVAL: Millis = Millis::new(500);
/// Time limit for a heartbeat reply or a configuration push.
const HEARTBEAT_TIMEOUT: Millis = Millis::new(1_000);

/// Sends heartbeats to all sidecars of the configuration until the process ends.
pub async fn run(app: Arc<App>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = app.heartbeat_trigger.notified() => {}
        }
        let heartbeats = app
            .fleet
            .all()
            .into_iter()
            .map(|sidecar| send_heartbeat(&app, sidecar));
        futures::future::join_all(heartbeats).await;
    }
}

async fn send_heartbeat(app: &Arc<App>, sidecar: Arc<Sidecar>) {
    let mark = app.fleet.load_mark(&sidecar.target);
    let request = request_heartbeat(app, &sidecar);
    let reply = match tokio::time::timeout(HEARTBEAT_TIMEOUT.duration(), request).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => {
            app.fleet
                .record_missed_heartbeat(&sidecar.target, app.clock.now());
            return;
        }
    };
    for receipt in &reply.receipts {
        app.pending.record_receipt(&sidecar, receipt);
    }
    let revision = reply.revision;
    if app.fleet.record_heartbeat(reply, mark, app.clock.now()) {
        spdlog::info!("sidecar_restarted", kv: { target = sidecar.target.to_string() });
    }
    if revision < app.config.revision() {
        push_config(app, &sidecar).await;
    }
    for attempt in app.pending.attempts_in_doubt(&sidecar.target) {
        resolve_in_doubt(app, &sidecar, attempt).await;
    }
}

async fn request_heartbeat(app: &App, sidecar: &Sidecar) -> Result<HeartbeatReply, LinkError> {
    let client = sidecar.link.client().await?;
    let heartbeat = Heartbeat {
        entry: app.incarnation.clone(),
        revision: app.config.revision(),
        leaving: sidecar.is_leaving(),
    };
    Ok(client.heartbeat(heartbeat).await?)
}

async fn push_config(app: &App, sidecar: &Sidecar) {
    let Some(config) = app.config.current() else {
        return;
    };
    let Ok(client) = sidecar.link.client().await else {
        return;
    };
    let push = client.configure(config.to_push());
    let error = match tokio::time::timeout(HEARTBEAT_TIMEOUT.duration(), push).await {
        Ok(Ok(_)) => return,
        Ok(Err(error)) => error.to_string(),
        // Bounded, because the heartbeats of all sidecars wait for this one.
        Err(_) => String::from("no answer in time"),
    };
    spdlog::warn!("config_push_failed", kv: { target = sidecar.target.to_string(), error });
}

/// Queries the outcome of an attempt in doubt, and releases its reservation if nothing will be
/// billed.
async fn resolve_in_doubt(app: &App, sidecar: &Sidecar, in_doubt: InDoubtAttempt) {
    let query = OutcomeQuery {
        request: in_doubt.request,
        entry: app.incarnation.clone(),
        attempt: in_doubt.attempt,
        sidecar: in_doubt.sidecar,
    };
    match attempt::query_outcome(sidecar, query).await {
        // The receipt arrives with a heartbeat reply.
        Ok(Some(Outcome::Started)) | Ok(None) | Err(_) => {}
        Ok(Some(_)) => app
            .pending
            .release_unbilled(in_doubt.request, in_doubt.attempt),
    }
}
