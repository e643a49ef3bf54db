//! Which targets of a large service an entry looks at for one request.
//!
//! An entry that weighed 10,000 targets for each request, and kept connections to all of them,
//! would cost more than the request. So each entry has a subset of its own, by rendezvous hashing
//! of entry and target; together the entries reach all targets evenly. A common start of prompts
//! has a group of targets besides that is the same for all entries, so that its homes are too.

use std::cmp::Reverse;

use cyc_types::{TargetId, hash};

/// A service with at most this many targets is looked at whole.
pub const WHOLE: usize = 128;
/// Targets in the subset of one entry.
const SUBSET: usize = 64;
/// Targets that may become homes of one common start.
const GROUP: usize = 8;

/// The targets of one service.
///
/// Invariant: empty if the service is looked at whole.
#[derive(Debug, Clone, Default)]
pub struct Subset {
    /// All targets by their hashes, in order.
    ring: Vec<(u64, TargetId)>,
    /// This entry's part.
    own: Vec<TargetId>,
}

impl Subset {
    /// Creates the subset of an entry, which `key` tells from others.
    pub fn new(key: u64, targets: Vec<TargetId>) -> Self {
        if targets.len() <= WHOLE {
            return Self::default();
        }
        let place = |id: &TargetId| (hash::stable(id.as_str().as_bytes()), id.clone());
        let mut ring: Vec<(u64, TargetId)> = targets.iter().map(place).collect();
        ring.sort();
        let weight = |id: &TargetId| Reverse(hash::rendezvous(key, id.as_str()));
        let mut own = targets;
        own.select_nth_unstable_by_key(SUBSET, weight);
        own.truncate(SUBSET);
        Self { ring, own }
    }

    /// Returns true if all targets of the service are looked at.
    pub fn is_whole(&self) -> bool {
        self.own.is_empty()
    }

    /// Returns this entry's part; empty if the service is looked at whole.
    pub fn own(&self) -> &[TargetId] {
        &self.own
    }

    /// Returns the targets that may become homes of a common start.
    pub fn group(&self, subject: u64) -> impl Iterator<Item = &TargetId> {
        let at = self.ring.partition_point(|(place, _)| *place < subject);
        let (before, after) = self.ring.split_at(at);
        after.iter().chain(before).take(GROUP).map(|(_, id)| id)
    }
}
