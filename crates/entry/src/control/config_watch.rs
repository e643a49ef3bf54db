//! Keeps the configuration in force up to date from the platform and the peers.

use std::{net::SocketAddr, sync::Arc};

use cyc_config::{HasRevision as _, LoadError, Snapshot, store};
use cyc_proto::{
    Link,
    peer::{ConfigRequest, PeerClient as _},
};
use cyc_store::{Kind, Platform};
use cyc_types::{Backoff, Millis, ProcessKey, Version};

use crate::{app::App, fleet::TargetConfig};

/// Time limit of one watch.
const WATCH_TIMEOUT: Millis = Millis::new(10_000);
/// Interval between requests to the same peer.
const PEER_INTERVAL: Millis = Millis::new(1_000);
/// Time limit for the answer of one peer.
const PEER_TIMEOUT: Millis = Millis::new(2_000);
/// Name of the configuration's head object.
const HEAD_OBJECT: &str = "head";

/// Runs until the process ends.
pub async fn run(
    app: Arc<App>,
    platform: Arc<dyn Platform>,
    seeds: Vec<SocketAddr>,
    key: ProcessKey,
) {
    let peers: Vec<Link> = seeds
        .into_iter()
        .map(|addr| Link::new(addr, key.clone()))
        .collect();
    tokio::join!(
        watch_platform(&app, platform.as_ref()),
        poll_peers(&app, &peers)
    );
}

async fn watch_platform(app: &App, platform: &dyn Platform) {
    let mut backoff = Backoff::new(Millis::new(100), Millis::new(2_000));
    let mut since = Version::ZERO;
    loop {
        match load_and_watch(app, platform, since).await {
            Ok(version) => {
                since = version;
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("config_read_failed", kv: { error = error.to_string() });
                tokio::time::sleep(backoff.next_delay().duration()).await;
            }
        }
    }
}

/// Polls the peers continuously, not only after errors: if the platform is partitioned, a watch may
/// stay open without an answer, and a process that starts meanwhile would have no configuration.
async fn poll_peers(app: &App, peers: &[Link]) {
    if peers.is_empty() {
        return;
    }
    let mut interval = tokio::time::interval(PEER_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let polls = peers
            .iter()
            .map(|peer| tokio::time::timeout(PEER_TIMEOUT.duration(), poll_peer(app, peer)));
        futures::future::join_all(polls).await;
    }
}

/// Loads the configuration, then waits for the next change. Returns the version to watch from.
async fn load_and_watch(
    app: &App,
    platform: &dyn Platform,
    since: Version,
) -> Result<Version, LoadError> {
    let current = app.config.current();
    if let Some(snapshot) = store::load(platform, current.as_deref()).await? {
        apply(app, snapshot);
    }
    let changes = platform
        .watch(Kind::Config, HEAD_OBJECT, since, WATCH_TIMEOUT)
        .await?;
    Ok(changes
        .iter()
        .map(|change| change.version)
        .fold(since, Version::max))
}

async fn poll_peer(app: &App, peer: &Link) {
    let Ok(client) = peer.client().await else {
        return;
    };
    let have = app.config.revision();
    let Ok(Some(received)) = client.config(ConfigRequest { have }).await else {
        return;
    };
    match Snapshot::from_peer(&received) {
        Ok(snapshot) => apply(app, snapshot),
        Err(error) => spdlog::warn!("peer_config_invalid", kv: {
            peer = peer.addr().to_string(),
            error = error.to_string(),
        }),
    }
}

/// Applies a configuration unless it is older than the one in force.
fn apply(app: &App, snapshot: Snapshot) {
    let revision = snapshot.revision();
    let targets = snapshot.services.targets.iter().map(|target| TargetConfig {
        target: target.id.clone(),
        services: target.services.clone(),
        zone: target.zone.clone(),
        addr: target.addr,
    });
    let targets = targets.collect();
    if app.config.apply(snapshot) {
        app.fleet.apply_config(targets);
        app.heartbeat_trigger.notify_one();
        spdlog::info!("config_applied", kv: { revision = revision.to_string() });
    }
}
