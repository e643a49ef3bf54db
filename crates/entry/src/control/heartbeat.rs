//! Heartbeats to the sidecars: load, receipts, configuration, and the fate of doubtful attempts.

use std::sync::Arc;

use cyc_proto::{
    LinkError,
    sidecar::{Heartbeat, HeartbeatReply, OutcomeQuery, SidecarClient as _},
};
use cyc_types::Millis;

use crate::{
    app::App,
    attempt::{self, Outcome},
    books::Doubt,
    fleet::Sidecar,
};

/// Time between two heartbeats to a sidecar.
pub const HEARTBEAT_INTERVAL: Millis = Millis::new(500);
/// How long an answer is waited for.
const HEARTBEAT_TIMEOUT: Millis = Millis::new(1_000);

/// Sends heartbeats to all sidecars of the configuration for as long as the process runs.
pub async fn run(app: Arc<App>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = app.news.notified() => {}
        }
        let beats = app
            .fleet
            .all()
            .into_iter()
            .map(|sidecar| beat(&app, sidecar));
        futures::future::join_all(beats).await;
    }
}

async fn beat(app: &Arc<App>, sidecar: Arc<Sidecar>) {
    let mark = app.fleet.mark(&sidecar.target);
    let exchange = exchange(app, &sidecar);
    let reply = match tokio::time::timeout(HEARTBEAT_TIMEOUT.duration(), exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => {
            app.fleet.missed(&sidecar.target, app.clock.now());
            return;
        }
    };
    for receipt in &reply.receipts {
        app.books.post(&sidecar, receipt);
    }
    let revision = reply.revision;
    if app.fleet.answered(reply, mark, app.clock.now()) {
        spdlog::info!("sidecar_restarted", kv: { target = sidecar.target.to_string() });
    }
    if revision < app.config.revision() {
        push_config(app, &sidecar).await;
    }
    for doubt in app.books.doubts(&sidecar.target) {
        resolve(app, &sidecar, doubt).await;
    }
}

async fn exchange(app: &App, sidecar: &Sidecar) -> Result<HeartbeatReply, LinkError> {
    let client = sidecar.link.client().await?;
    let heartbeat = Heartbeat {
        entry: app.me.clone(),
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
        // All sidecars would wait for a silent one.
        Err(_) => String::from("no answer in time"),
    };
    spdlog::warn!("config_push_failed", kv: { target = sidecar.target.to_string(), error });
}

/// Asks what became of an attempt, and frees its reservation if nothing will be billed for it.
async fn resolve(app: &App, sidecar: &Sidecar, doubt: Doubt) {
    let query = OutcomeQuery {
        request: doubt.request,
        entry: app.me.clone(),
        attempt: doubt.attempt,
        sidecar: doubt.sidecar,
    };
    match attempt::ask(sidecar, query).await {
        // The receipt comes with a heartbeat.
        Ok(Some(Outcome::Started)) | Ok(None) | Err(_) => {}
        Ok(Some(_)) => app.books.unbilled(doubt.request, doubt.attempt),
    }
}
