//! The prefix cache with its events.

use std::collections::HashMap;

use cyc_types::Millis;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Events that are kept for late readers.
const MAX_EVENTS: usize = 16_384;

/// What happened to a block of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CacheAction {
    /// The prefix is in the cache now.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One event of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event, published or not, from 1.
    pub sequence: u64,
    /// What happened.
    pub action: CacheAction,
    /// The hash of the prefix, as [`super::text::prefix_hashes`] gives it.
    pub prefix: u64,
}

/// The answer to a request for cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; a gap in the sequence means that events were lost.
    pub events: Vec<CacheEvent>,
}

/// Cached prefixes, the least recently used of which is evicted.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// When each cached prefix was last used, in uses.
    last_use: HashMap<u64, u64>,
    uses: u64,
    events: Vec<(Millis, CacheEvent)>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            uses: 0,
            events: Vec::new(),
            last_sequence: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Uses the prefixes of one prompt and returns how many of them, from the shortest, were hit.
    pub(super) fn touch(&mut self, now: Millis, prefixes: &[u64]) -> usize {
        let cached = |prefix: &&u64| self.last_use.contains_key(prefix);
        let hits = prefixes.iter().take_while(cached).count();
        for prefix in prefixes.iter().take(self.capacity) {
            self.uses += 1;
            if self.last_use.insert(*prefix, self.uses).is_none() {
                self.record(now, CacheAction::Stored, *prefix);
                self.evict(now);
            }
        }
        hits
    }

    /// Returns the events after sequence number `after` that are at least `late` old.
    ///
    /// Those whose number is a multiple of `lost_every` are left out; zero loses none.
    pub(super) fn events(
        &self,
        now: Millis,
        after: u64,
        late: Millis,
        lost_every: u64,
    ) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at + late <= now)
            .filter(|(_, event)| lost_every == 0 || !event.sequence.is_multiple_of(lost_every))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self, now: Millis) {
        if self.last_use.len() <= self.capacity {
            return;
        }
        let oldest = self.last_use.iter().min_by_key(|(_, used)| **used);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.last_use.remove(&prefix);
            self.record(now, CacheAction::Evicted, prefix);
        }
    }

    fn record(&mut self, now: Millis, action: CacheAction, prefix: u64) {
        self.last_sequence += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            action,
            prefix,
        };
        self.events.push((now, event));
    }
}
