//! The preferred targets of shared prompt prefixes, the same on all entries without messages
//! between them, and how many a prefix has.
//!
//! A prefix that few requests share has two preferred targets, so that its parts are in few caches.
//! One that a large part of all requests share would overload them. An entry sees only its own
//! requests, which it assumes to be an equal part of all: the number of preferred targets follows
//! from that, and differs between entries, but the targets of one entry are always the first of
//! those of the others.

use std::collections::HashMap;

use cyc_types::{Millis, hash};

use crate::decay::DecayingSum;

/// Preferred targets of a prefix that few requests share.
pub const MIN_PREFERRED: usize = 2;
/// Time constant of the measured demand for a prefix.
const DEMAND_TIME_CONSTANT: Millis = Millis::new(3_000);
/// Prefixes whose demand is tracked; further ones count as rarely used until others expire.
const MAX_PREFIXES: usize = 8_192;
/// Prefixes without a request for this long are forgotten when there are too many.
const DEMAND_TTL: Millis = Millis::new(9_000);
/// Part of its time that a target should spend on the prompts of one prefix.
const TARGET_UTILIZATION: f64 = 0.15;

/// Returns the indexes of the `count` targets that rank first for a prefix, best first, by
/// rendezvous hashing of `hashes`, the hashes of their ids.
pub fn rank(prefix: u64, hashes: impl Iterator<Item = u64>, count: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (index, target) in hashes.enumerate() {
        let weight = hash::combine(prefix, target);
        if best.len() == count && best.last().is_none_or(|(least, _)| weight <= *least) {
            continue;
        }
        let at = best.partition_point(|(other, _)| *other >= weight);
        best.insert(at, (weight, index));
        best.truncate(count);
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// The demand for one prefix.
#[derive(Debug, Default)]
struct Demand {
    /// Tokens that requests add to the prefix.
    tokens: DecayingSum,
    requests: DecayingSum,
    last_at: Millis,
}

/// The demand for prefixes at this entry.
#[derive(Debug, Default)]
pub struct PrefixDemand {
    by_prefix: HashMap<u64, Demand>,
    /// When expired prefixes may be removed again, so that this does not happen for each request.
    next_removal_at: Millis,
}

impl PrefixDemand {
    /// Records a request that adds `tokens` to the prefix.
    pub fn record(&mut self, prefix: u64, tokens: u64, now: Millis) {
        if self.by_prefix.len() >= MAX_PREFIXES && now >= self.next_removal_at {
            self.by_prefix
                .retain(|_, demand| now.saturating_sub(demand.last_at) <= DEMAND_TTL);
            self.next_removal_at = now + Millis::SECOND;
        }
        if self.by_prefix.len() >= MAX_PREFIXES && !self.by_prefix.contains_key(&prefix) {
            return;
        }
        let demand = self.by_prefix.entry(prefix).or_default();
        demand.tokens.add(tokens as f64, DEMAND_TIME_CONSTANT, now);
        demand.requests.add(1.0, DEMAND_TIME_CONSTANT, now);
        demand.last_at = now;
    }

    /// Number of preferred targets of a prefix, if `entries` entries have as much demand for it and
    /// a target prefills `tokens_per_ms`.
    pub fn preferred(&self, prefix: u64, entries: usize, tokens_per_ms: f64, now: Millis) -> usize {
        let Some(demand) = self.by_prefix.get(&prefix) else {
            return MIN_PREFERRED;
        };
        let requests = demand.requests.get(DEMAND_TIME_CONSTANT, now);
        // A single recent request is no sign of a high demand: callers repeat themselves.
        let counted = (requests - 1.0).max(0.0) / requests.max(1.0);
        let tokens = demand.tokens.get(DEMAND_TIME_CONSTANT, now) * counted * entries as f64;
        let capacity = tokens_per_ms * DEMAND_TIME_CONSTANT.get() as f64 * TARGET_UTILIZATION;
        let needed = tokens / capacity.max(1.0);
        MIN_PREFERRED.max(needed.ceil() as usize)
    }
}
