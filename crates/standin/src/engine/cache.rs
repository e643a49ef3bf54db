//! An LRU prefix cache that records its insertions and evictions as numbered events.

use std::collections::HashMap;

use cyc_types::Millis;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Number of events kept for readers; at this limit the older half is dropped.
const MAX_EVENTS: usize = 16_384;

/// The change that a cache event reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CacheAction {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number from 1, increased by one for each event, published or not.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub action: CacheAction,
    /// The hash of the prefix, as computed by [`super::text::prefix_hashes`].
    pub prefix: u64,
}

/// The response body of `GET /v1/cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; a gap in the sequence numbers means that events were lost.
    pub events: Vec<CacheEvent>,
}

/// The cached prefixes; the least recently used one is evicted at capacity.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// The value of `use_count` at the last use of each cached prefix.
    last_used: HashMap<u64, u64>,
    use_count: u64,
    events: Vec<(Millis, CacheEvent)>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_used: HashMap::new(),
            use_count: 0,
            events: Vec::new(),
            last_sequence: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Looks up the prefixes of a prompt, shortest first, and inserts those that are absent.
    ///
    /// Returns the number of hits before the first miss.
    pub(super) fn lookup_and_insert(&mut self, now: Millis, prefixes: &[u64]) -> usize {
        let cached = |prefix: &&u64| self.last_used.contains_key(prefix);
        let hits = prefixes.iter().take_while(cached).count();
        for prefix in prefixes.iter().take(self.capacity) {
            self.use_count += 1;
            if self.last_used.insert(*prefix, self.use_count).is_none() {
                self.record_event(now, CacheAction::Stored, *prefix);
                self.evict(now);
            }
        }
        hits
    }

    /// The events after sequence number `after` that are at least `delay` old.
    ///
    /// Those whose sequence number is a multiple of `drop_every` are omitted; zero omits none.
    pub(super) fn events(
        &self,
        now: Millis,
        after: u64,
        delay: Millis,
        drop_every: u64,
    ) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at + delay <= now)
            .filter(|(_, event)| drop_every == 0 || !event.sequence.is_multiple_of(drop_every))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self, now: Millis) {
        if self.last_used.len() <= self.capacity {
            return;
        }
        let oldest = self.last_used.iter().min_by_key(|(_, used)| **used);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.last_used.remove(&prefix);
            self.record_event(now, CacheAction::Evicted, prefix);
        }
    }

    fn record_event(&mut self, now: Millis, action: CacheAction, prefix: u64) {
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
