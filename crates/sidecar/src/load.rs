//! Polls the load and the cache events of the engine, both of which lag behind its state.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cyc_proto::sidecar::LoadReport;
use cyc_types::{Millis, ModelId};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::admission::Sidecar;

/// Timeout of one poll.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Upper bound of the prefixes in a load report; the oldest are dropped first.
const MAX_PREFIXES: usize = 1_024;
/// How long a prefix stays in the load reports, so that every entry receives it in a heartbeat.
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
    /// The phases of a request that the engine executes; see [`cyc_orders::Role`].
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

/// Polls the load of an engine every `interval` until the process ends.
pub async fn poll_engine(sidecar: Arc<Sidecar>, interval: Millis) {
    let mut ticks = tokio::time::interval(interval.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut events = CacheEvents::default();
    loop {
        ticks.tick().await;
        let read = read(&sidecar, &mut events);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Some(report)) => sidecar.set_target_load(report),
            Ok(None) | Err(_) => spdlog::debug!("load_read_failed"),
        }
    }
}

/// The position in the cache events, and the prefixes that they named recently.
#[derive(Debug, Default)]
struct CacheEvents {
    /// Sequence number of the last event read.
    last_sequence: u64,
    /// Prefixes stored within [`PREFIX_WINDOW`] and when they were read, oldest first.
    recent_prefixes: VecDeque<(Millis, u64)>,
}

impl CacheEvents {
    fn add(&mut self, events: Vec<EventJson>, now: Millis) {
        for event in events {
            self.last_sequence = self.last_sequence.max(event.sequence);
            if event.action == "stored" {
                self.recent_prefixes.push_back((now, event.prefix));
            }
        }
        let is_expired = |at: Millis| now.saturating_sub(at) > PREFIX_WINDOW;
        while self.recent_prefixes.len() > MAX_PREFIXES
            || self
                .recent_prefixes
                .front()
                .is_some_and(|(at, _)| is_expired(*at))
        {
            self.recent_prefixes.pop_front();
        }
    }
}

async fn read(sidecar: &Sidecar, events: &mut CacheEvents) -> Option<LoadReport> {
    let load = sidecar.target().get_json("/v1/load").await.ok()?;
    let load: LoadJson = serde_json::from_value(load).ok()?;
    // Load reports name an adapter without its model.
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

/// Returns the prefixes that the engine stored recently. Evictions are ignored and events may be
/// missed; both only delay the first token, when a request goes to a target without the prefix.
async fn read_prefixes(sidecar: &Sidecar, known: &mut CacheEvents) -> Vec<u64> {
    let path = format!("/v1/cache/events?after={}", known.last_sequence);
    let json = sidecar.target().get_json(&path).await.ok();
    let read = json.and_then(|json| serde_json::from_value(json).ok());
    let events = read.map_or_else(Vec::new, |EventsJson { events }| events);
    known.add(events, sidecar.clock().now());
    known
        .recent_prefixes
        .iter()
        .map(|(_, prefix)| *prefix)
        .collect()
}
