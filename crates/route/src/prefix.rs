//! Hashes of prompt prefixes, and the presumed content of a target's prefix cache.

use std::collections::{HashMap, VecDeque};

use cyc_types::{Millis, hash};

/// Size of a prompt block: prefixes are hashed at block ends.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of hashes per prompt; later blocks are not hashed.
pub const MAX_BLOCKS: usize = 64;

/// Returns the hash of each prefix of `prompt` that ends at a multiple of [`BLOCK_BYTES`].
///
/// Each hash covers all bytes up to the end of the prefix, as the prefix hashes in the engines'
/// cache events do. [`BLOCK_BYTES`] is a multiple of the engines' block size, so their events
/// include these prefixes.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let blocks = (prompt.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=blocks)
        .map(|block| hash::stable(&prompt[..block * BLOCK_BYTES]))
        .collect()
}

/// Returns the rendezvous key of a prompt. Prompts with the same first block share a key; a prompt
/// shorter than one block shares it only with equal prompts.
pub fn key(prompt: &[u8]) -> u64 {
    hash::stable(&prompt[..prompt.len().min(BLOCK_BYTES)])
}

/// The prefixes that a target has probably cached, inferred from its delayed cache events and from
/// the requests that this entry sent to it.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    last_recorded: HashMap<u64, Millis>,
    /// Hashes with the times at which they were recorded, oldest first. A hash that is recorded
    /// again gets another item; its earlier ones no longer match `last_recorded`.
    recordings: VecDeque<(u64, Millis)>,
    capacity: usize,
    ttl: Millis,
}

impl PrefixCache {
    /// Creates an empty cache of up to `capacity` hashes, each kept for `ttl` after it was last
    /// recorded.
    pub fn new(capacity: usize, ttl: Millis) -> Self {
        Self {
            last_recorded: HashMap::new(),
            recordings: VecDeque::new(),
            capacity,
            ttl,
        }
    }

    /// Records prefixes from a cache event or from a request that was sent to the target.
    pub fn record(&mut self, prefixes: &[u64], now: Millis) {
        for hash in prefixes {
            self.last_recorded.insert(*hash, now);
            self.recordings.push_back((*hash, now));
        }
        self.evict(now);
    }

    /// Returns how many leading blocks of a prompt with these hashes are probably cached.
    ///
    /// Cache events may be lost, so the longest recorded prefix counts even if a shorter one is
    /// missing.
    pub fn cached_blocks(&self, prefixes: &[u64], now: Millis) -> usize {
        let is_cached = |hash: &u64| {
            let recorded = self.last_recorded.get(hash);
            recorded.is_some_and(|at| now.saturating_sub(*at) <= self.ttl)
        };
        prefixes
            .iter()
            .rposition(is_cached)
            .map_or(0, |index| index + 1)
    }

    /// Removes all prefixes, for a target that has restarted.
    pub fn clear(&mut self) {
        self.last_recorded.clear();
        self.recordings.clear();
    }

    fn evict(&mut self, now: Millis) {
        while let Some((hash, at)) = self.recordings.front().copied() {
            let is_current = self.last_recorded.get(&hash) == Some(&at);
            let is_expired = now.saturating_sub(at) > self.ttl;
            // `recordings` is bounded too, because a hash that is recorded again adds an item.
            let is_over_capacity = self.last_recorded.len() > self.capacity
                || self.recordings.len() > 4 * self.capacity;
            if is_current && !is_expired && !is_over_capacity {
                return;
            }
            self.recordings.pop_front();
            if is_current {
                self.last_recorded.remove(&hash);
            }
        }
    }
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::new(4_096, Millis::new(10 * Millis::MINUTE.get()))
    }
}
