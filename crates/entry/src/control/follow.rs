//! Follows the accepted configuration in the platform and at peers.

use std::{net::SocketAddr, sync::Arc};

use cyc_config::{LoadError, Revised as _, Snapshot, store};
use cyc_proto::{
    Link,
    peer::{ConfigRequest, PeerClient as _},
};
use cyc_store::{Kind, Platform};
use cyc_types::{Backoff, Millis, ProcessKey, Version};

use crate::{app::App, fleet::Place};

/// How long one watch waits.
const WATCH_WAIT: Millis = Millis::new(10_000);
/// Time between two questions to the same peer.
const PEER_INTERVAL: Millis = Millis::new(1_000);
/// How long one peer is waited for.
const PEER_TIMEOUT: Millis = Millis::new(2_000);
/// Name of the head object.
const HEAD: &str = "head";

/// Follows the configuration for as long as the process runs.
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
        follow_platform(&app, platform.as_ref()),
        follow_peers(&app, &peers)
    );
}

async fn follow_platform(app: &App, platform: &dyn Platform) {
    let mut backoff = Backoff::new(Millis::new(100), Millis::new(2_000));
    let mut since = Version::ZERO;
    loop {
        match follow_once(app, platform, since).await {
            Ok(version) => {
                since = version;
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("config_not_read", kv: { error = error.to_string() });
                tokio::time::sleep(backoff.next_wait().duration()).await;
            }
        }
    }
}

/// Asks the peers all the time: a platform that is cut off may leave a watch open that never
/// answers, and a process that starts meanwhile has no configuration.
async fn follow_peers(app: &App, peers: &[Link]) {
    if peers.is_empty() {
        return;
    }
    let mut interval = tokio::time::interval(PEER_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let asked = peers
            .iter()
            .map(|peer| tokio::time::timeout(PEER_TIMEOUT.duration(), ask_peer(app, peer)));
        futures::future::join_all(asked).await;
    }
}

/// Reads the configuration and waits for the next change; returns the version to watch from.
async fn follow_once(
    app: &App,
    platform: &dyn Platform,
    since: Version,
) -> Result<Version, LoadError> {
    let have = app.config.current();
    if let Some(snapshot) = store::load(platform, have.as_deref()).await? {
        put_in_force(app, snapshot);
    }
    let changes = platform
        .watch(Kind::Config, HEAD, since, WATCH_WAIT)
        .await?;
    Ok(changes
        .iter()
        .map(|change| change.version)
        .fold(since, Version::max))
}

async fn ask_peer(app: &App, peer: &Link) {
    let Ok(client) = peer.client().await else {
        return;
    };
    let have = app.config.revision();
    let Ok(Some(sent)) = client.config(ConfigRequest { have }).await else {
        return;
    };
    match Snapshot::from_peer(&sent) {
        Ok(snapshot) => put_in_force(app, snapshot),
        Err(error) => spdlog::warn!("peer_config_bad", kv: {
            peer = peer.addr().to_string(),
            error = error.to_string(),
        }),
    }
}

/// Puts a configuration in force unless it is older than the one in force.
fn put_in_force(app: &App, snapshot: Snapshot) {
    let revision = snapshot.revision();
    let places = snapshot.services.targets.iter().map(|target| Place {
        target: target.id.clone(),
        services: target.services.clone(),
        zone: target.zone.clone(),
        addr: target.addr,
    });
    let places = places.collect();
    if app.config.apply(snapshot) {
        app.fleet.set(places);
        app.news.notify_one();
        spdlog::info!("config_in_force", kv: { revision = revision.to_string() });
    }
}
