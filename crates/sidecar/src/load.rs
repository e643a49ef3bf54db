//! Reads the load and the cache events of the target, both of which lag.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cyc_proto::sidecar::LoadReport;
use cyc_types::{Millis, ModelId};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::admission::Sidecar;

/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Prefixes kept for the next load reports.
const MAX_PREFIXES: usize = 1_024;
/// How long a prefix stays in the reports, so that each entry hears of it in some heartbeat.
const PREFIX_WINDOW: Millis = Millis::new(2_000);

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
    let mut events = CacheEvents::default();
    loop {
        ticks.tick().await;
        let read = read(&sidecar, &mut events);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Some(report)) => sidecar.set_target_load(report),
            Ok(None) | Err(_) => spdlog::debug!("load_not_read"),
        }
    }
}

/// The cache events read so far.
#[derive(Debug, Default)]
struct CacheEvents {
    /// Sequence number of the last one.
    after: u64,
    /// The prefixes stored within the window and when they were read, oldest first.
    stored: VecDeque<(Millis, u64)>,
}

impl CacheEvents {
    fn add(&mut self, events: Vec<EventJson>, now: Millis) {
        for event in events {
            self.after = self.after.max(event.sequence);
            if event.action == "stored" {
                self.stored.push_back((now, event.prefix));
            }
        }
        let is_old = |at: Millis| now.saturating_sub(at) > PREFIX_WINDOW;
        while self.stored.len() > MAX_PREFIXES
            || self.stored.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.stored.pop_front();
        }
    }
}

async fn read(sidecar: &Sidecar, events: &mut CacheEvents) -> Option<LoadReport> {
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
        prefixes: read_prefixes(sidecar, events).await,
        ..LoadReport::default()
    })
}

/// Returns the prefixes stored lately. Events may be missing: a target that does not have a prefix
/// any more only costs a slower first token.
async fn read_prefixes(sidecar: &Sidecar, known: &mut CacheEvents) -> Vec<u64> {
    let path = format!("/v1/cache/events?after={}", known.after);
    let json = sidecar.target().read(&path).await.ok();
    let read = json.and_then(|json| serde_json::from_value(json).ok());
    let events = read.map_or_else(Vec::new, |EventsJson { events }| events);
    known.add(events, sidecar.clock().now());
    known.stored.iter().map(|(_, prefix)| *prefix).collect()
}
