//! The subset of a large service's targets that an entry considers for a request.
//!
//! Weighing 10,000 targets per request and keeping connections to all of them would cost an entry
//! more than the request itself. Each entry therefore considers a subset of its own, selected by
//! rendezvous hashing of entry and target; together the entries use all targets evenly. In
//! addition, each prompt prefix has a group of targets that is the same on all entries, so that its
//! preferred targets are too.

use std::cmp::Reverse;

use cyc_types::{TargetId, hash};

/// In services with at most this many targets, entries consider all of them.
pub const SUBSET_THRESHOLD: usize = 128;
/// Targets in the subset of one entry.
const SUBSET_SIZE: usize = 64;
/// Targets that may be preferred targets of one prefix.
const PREFIX_GROUP_SIZE: usize = 8;

/// The targets of one service.
///
/// Invariant: empty if all targets are considered.
#[derive(Debug, Clone, Default)]
pub struct Subset {
    /// All targets, ordered by their hashes.
    ring: Vec<(u64, TargetId)>,
    /// The subset of this entry.
    selected: Vec<TargetId>,
}

impl Subset {
    /// Creates the subset of the entry with the hash key `hash_key`.
    pub fn new(hash_key: u64, targets: Vec<TargetId>) -> Self {
        if targets.len() <= SUBSET_THRESHOLD {
            return Self::default();
        }
        let position = |id: &TargetId| (hash::stable(id.as_str().as_bytes()), id.clone());
        let mut ring: Vec<(u64, TargetId)> = targets.iter().map(position).collect();
        ring.sort();
        let weight = |id: &TargetId| Reverse(hash::rendezvous_weight(hash_key, id.as_str()));
        let mut selected = targets;
        selected.select_nth_unstable_by_key(SUBSET_SIZE, weight);
        selected.truncate(SUBSET_SIZE);
        Self { ring, selected }
    }

    /// Returns true if all targets of the service are considered.
    pub fn includes_all(&self) -> bool {
        self.selected.is_empty()
    }

    /// The subset of this entry; empty if all targets are considered.
    pub fn selected(&self) -> &[TargetId] {
        &self.selected
    }

    /// Targets that may be preferred targets of a prefix: those that follow its hash on the ring.
    pub fn prefix_group(&self, prefix: u64) -> impl Iterator<Item = &TargetId> {
        let at = self
            .ring
            .partition_point(|(position, _)| *position < prefix);
        let (before, after) = self.ring.split_at(at);
        after
            .iter()
            .chain(before)
            .take(PREFIX_GROUP_SIZE)
            .map(|(_, id)| id)
    }
}
