//! Hashes of prompt prefixes, and what is known of the prefix cache of a target.

use std::collections::{HashMap, VecDeque};

use cyc_types::{Millis, hash};

/// Bytes of a prompt per hash.
pub const BLOCK_BYTES: usize = 256;
/// The most hashes of one prompt; what follows is not hashed.
pub const MAX_BLOCKS: usize = 64;

/// Returns the hash of each prefix of `prompt` that ends at a multiple of [`BLOCK_BYTES`].
///
/// Each is the plain hash of all bytes before its end, as engines name prefixes in their cache
/// events. [`BLOCK_BYTES`] is a multiple of the engines' block, so their events cover these ends.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let blocks = (prompt.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=blocks)
        .map(|block| hash::stable(&prompt[..block * BLOCK_BYTES]))
        .collect()
}

/// Returns the key that chooses the candidates of a prompt: prompts with the same first block
/// share it, shorter ones only with equal prompts.
pub fn key(prompt: &[u8]) -> u64 {
    hash::stable(&prompt[..prompt.len().min(BLOCK_BYTES)])
}

/// The prefixes that a target has probably cached, from its late events and from own requests.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    seen: HashMap<u64, Millis>,
    /// Hashes with the times at which they were noted, oldest first. A hash noted again has
    /// a later entry; its earlier ones no longer match `seen`.
    order: VecDeque<(u64, Millis)>,
    capacity: usize,
    ttl: Millis,
}

impl PrefixCache {
    /// Creates an empty cache of up to `capacity` hashes, each kept for `ttl` after its last note.
    pub fn new(capacity: usize, ttl: Millis) -> Self {
        Self {
            seen: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            ttl,
        }
    }

    /// Notes prefixes that an event named, or that a request sent to the target has.
    pub fn note(&mut self, prefixes: &[u64], now: Millis) {
        for hash in prefixes {
            self.seen.insert(*hash, now);
            self.order.push_back((*hash, now));
        }
        self.evict(now);
    }

    /// Returns how many leading blocks of a prompt with these hashes are known.
    ///
    /// Events have gaps, so the longest known prefix counts also where a shorter one is missing.
    pub fn known_blocks(&self, prefixes: &[u64], now: Millis) -> usize {
        let is_known = |hash: &u64| {
            let noted = self.seen.get(hash);
            noted.is_some_and(|at| now.saturating_sub(*at) <= self.ttl)
        };
        prefixes
            .iter()
            .rposition(is_known)
            .map_or(0, |index| index + 1)
    }

    /// Forgets everything, for a target that started again.
    pub fn clear(&mut self) {
        self.seen.clear();
        self.order.clear();
    }

    fn evict(&mut self, now: Millis) {
        while let Some((hash, at)) = self.order.front().copied() {
            let is_current = self.seen.get(&hash) == Some(&at);
            let is_old = now.saturating_sub(at) > self.ttl;
            let is_over = self.seen.len() > self.capacity || self.order.len() > 4 * self.capacity;
            if is_current && !is_old && !is_over {
                return;
            }
            self.order.pop_front();
            if is_current {
                self.seen.remove(&hash);
            }
        }
    }
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::new(4_096, Millis::new(10 * Millis::MINUTE.get()))
    }
}
