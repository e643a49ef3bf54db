//! The heartbeats of the entries that use a relay, and those that the store has.

use std::collections::BTreeMap;

use cyc_gateway::{member::TargetIncarnation, peers::Heartbeat};
use cyc_types::{Millis, VmId};

/// An entry whose heartbeat did not arrive for this long uses another path.
const MEMBER_TIMEOUT: Millis = Millis::new(5_000);

/// Members whose heartbeats keep the crashes that they tell of.
const MAX_CRASH_REPORTERS: usize = 2;

#[derive(Debug, Clone)]
struct Member {
    heartbeat: Heartbeat,
    heard_at: Millis,
}

/// Heartbeats of all entries as a relay knows them.
#[derive(Debug, Default)]
pub struct Roster {
    /// Entries that send their heartbeats to this relay.
    members: BTreeMap<VmId, Member>,
    /// The heartbeats in the store, as last read.
    stored: BTreeMap<VmId, Heartbeat>,
}

impl Roster {
    /// Records the heartbeat of an entry. Returns true if the store should have it soon: the entry
    /// is new here, has started again, shuts down or refuses other prompts than before.
    pub fn record(&mut self, heartbeat: Heartbeat, now: Millis) -> bool {
        let vm = heartbeat.vm.clone();
        let identity = |heartbeat: &Heartbeat| {
            let targets = heartbeat.crashes.iter().map(|crash| crash.target.clone());
            let targets: Vec<TargetIncarnation> = targets.collect();
            (heartbeat.start, heartbeat.is_leaving, targets)
        };
        let new = identity(&heartbeat);
        let member = Member {
            heartbeat,
            heard_at: now,
        };
        let old = self.members.insert(vm, member);
        old.is_none_or(|old| identity(&old.heartbeat) != new)
    }

    /// Replaces the heartbeats that the store has.
    pub fn set_stored(&mut self, heartbeats: Vec<Heartbeat>) {
        let by_vm = heartbeats.into_iter();
        self.stored = by_vm
            .map(|heartbeat| (heartbeat.vm.clone(), heartbeat))
            .collect();
    }

    /// Drops the members that use another path now, and returns the heartbeats of the others. Most
    /// entries know the same crashes, so only a few heartbeats keep them.
    pub fn members(&mut self, now: Millis) -> Vec<Heartbeat> {
        self.members
            .retain(|_, member| now.saturating_sub(member.heard_at) <= MEMBER_TIMEOUT);
        let members = self.members.values();
        let mut all: Vec<Heartbeat> = members.map(|member| member.heartbeat.clone()).collect();
        let with_crashes = all
            .iter_mut()
            .filter(|heartbeat| !heartbeat.crashes.is_empty());
        for heartbeat in with_crashes.skip(MAX_CRASH_REPORTERS) {
            heartbeat.crashes.clear();
        }
        all
    }

    /// Returns true if no entry uses the relay.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The newest heartbeats of all entries.
    pub fn all(&self) -> Vec<Heartbeat> {
        let mut all = self.stored.clone();
        for (vm, member) in &self.members {
            all.insert(vm.clone(), member.heartbeat.clone());
        }
        all.into_values().collect()
    }
}
