//! Reads the load and the cache events of the target, both of which lag.

use std::{sync::Arc, time::Duration};

use cyc_proto::sidecar::LoadReport;
use cyc_types::{Millis, ModelId};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::admission::Sidecar;

/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Prefixes kept for the next load report.
const MAX_PREFIXES: usize = 1_024;

/// The load as the engine reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct LoadJson {
    running: u32,
    waiting: u32,
    /// The version of each loaded model.
    #[serde(default)]
    pub(crate) models: std::collections::BTreeMap<SmolStr, SmolStr>,
    /// Loaded adapters as `model:adapter`.
    #[serde(default)]
    pub(crate) adapters: Vec<SmolStr>,
    /// The part that the engine takes in generation.
    #[serde(default)]
    pub(crate) role: Option<SmolStr>,
}

#[derive(Debug, Deserialize)]
struct EventsJson {
    events: Vec<EventJson>,
}

#[derive(Debug, Deserialize)]
struct EventJson {
    sequence: u64,
    action: SmolStr,
    prefix: u64,
}

/// Reads the load of an engine every `interval`, for as long as the process runs.
pub async fn follow_engine(sidecar: Arc<Sidecar>, interval: Millis) {
    let mut ticks = tokio::time::interval(interval.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut after = 0;
    loop {
        ticks.tick().await;
        let read = read(&sidecar, &mut after);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Some(report)) => sidecar.set_target_load(report),
            Ok(None) | Err(_) => spdlog::debug!("event=load_not_read"),
        }
    }
}

async fn read(sidecar: &Sidecar, after: &mut u64) -> Option<LoadReport> {
    let load = sidecar.target().read("/v1/load").await.ok()?;
    let load: LoadJson = serde_json::from_value(load).ok()?;
    // The document names an adapter without its model.
    let adapters = load.adapters.iter().filter_map(|name| name.split_once(':'));
    let adapters = adapters.map(|(_, adapter)| adapter);
    let names = load.models.keys().map(SmolStr::as_str).chain(adapters);
    let models: Vec<ModelId> = names.filter_map(|name| name.parse().ok()).collect();
    Some(LoadReport {
        reported: f64::from(load.running + load.waiting),
        models,
        prefixes: read_prefixes(sidecar, after).await,
        ..LoadReport::default()
    })
}

/// Returns the prefixes stored since the last read. Events may be missing: a target that does not
/// have a prefix any more only costs a slower first token.
async fn read_prefixes(sidecar: &Sidecar, after: &mut u64) -> Vec<u64> {
    let Ok(json) = sidecar
        .target()
        .read(&format!("/v1/cache/events?after={after}"))
        .await
    else {
        return Vec::new();
    };
    let Ok(EventsJson { events }) = serde_json::from_value(json) else {
        return Vec::new();
    };
    *after = events
        .iter()
        .map(|event| event.sequence)
        .fold(*after, u64::max);
    let stored = events.iter().rev().filter(|event| event.action == "stored");
    stored
        .take(MAX_PREFIXES)
        .map(|event| event.prefix)
        .collect()
}
