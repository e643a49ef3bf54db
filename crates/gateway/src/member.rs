//! Which targets exist, from the list in the store and its changes.
//!
//! A target that disappears while the store was away may only have been unable to renew its
//! entry. Such removals are held back for [`LAPSE_HOLD`], and dropped if the entry comes back.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_types::{AvailabilityZone, Millis, ServiceId, TargetId};
use strum::{Display, IntoStaticStr};

/// How long removals are held back after the store was away. Lapsed entries are back about 2 s
/// after the store's return; requests may reach a target that left for as long.
pub const LAPSE_HOLD: Millis = Millis::new(1_900);
/// Removals that come this long after the store's return may be lapses.
pub const LAPSE_WINDOW: Millis = Millis::new(2_500);

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It ends what it has and takes nothing new.
    Draining,
}

/// A target as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The target; most starts of one have a new id.
    pub id: TargetId,
    /// When it started, by its own clock in Unix milliseconds; tells starts under one id apart.
    pub born: Option<u64>,
    /// The service that it offers.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The target registered or changed its entry.
    Updated(Record),
    /// The entry went away.
    Removed(TargetId),
    /// The entry cannot be read and names no target to use.
    Unreadable(TargetId),
}

impl Change {
    /// Returns the target that the change is about.
    pub fn id(&self) -> &TargetId {
        match self {
            Self::Updated(record) => &record.id,
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// What a change did to the belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The target is new, or started again.
    Started,
    /// Its entry changed.
    Changed,
    /// It leaves and gets no new work.
    Leaving,
    /// It is gone.
    Gone,
    /// It may have lapsed while the store was away; it is kept for [`LAPSE_HOLD`].
    Held,
    /// Nothing changed.
    Same,
}

/// The targets that may be used.
#[derive(Debug, Clone, Default)]
pub struct Members {
    records: BTreeMap<TargetId, Record>,
    /// When held removals become final. Invariant: each is also in `records`.
    held: BTreeMap<TargetId, Millis>,
    /// When the store came back last.
    returned: Option<Millis>,
}

impl Members {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all targets that are not gone.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Notes that the store answers again after it was away.
    pub fn store_returned(&mut self, now: Millis) {
        self.returned = Some(now);
    }

    /// Takes one change.
    pub fn apply(&mut self, change: Change, now: Millis) -> Outcome {
        match change {
            Change::Updated(record) => self.update(record),
            Change::Unreadable(id) => self.remove(&id),
            Change::Removed(id) => {
                if !self.records.contains_key(&id) {
                    return Outcome::Same;
                }
                let may_be_lapse = self
                    .returned
                    .is_some_and(|at| now.saturating_sub(at) <= LAPSE_WINDOW);
                if may_be_lapse {
                    self.held.entry(id).or_insert(now + LAPSE_HOLD);
                    return Outcome::Held;
                }
                self.remove(&id)
            }
        }
    }

    /// Takes a whole list: what it lacks was removed.
    pub fn replace(&mut self, list: Vec<Change>, now: Millis) -> Vec<(TargetId, Outcome)> {
        let missing: Vec<TargetId> = self
            .records
            .keys()
            .filter(|id| !list.iter().any(|change| change.id() == *id))
            .cloned()
            .collect();
        let removed = missing.into_iter().map(Change::Removed);
        let all = list.into_iter().chain(removed);
        let apply = |change: Change| (change.id().clone(), self.apply(change, now));
        all.map(apply).collect()
    }

    /// Removes held targets whose time is over and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetId> {
        let due = self.held.iter().filter(|(_, at)| **at <= now);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// Returns when [`Members::expire`] has work.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.held.values().min().copied()
    }

    fn update(&mut self, record: Record) -> Outcome {
        self.held.remove(&record.id);
        let old = self.records.insert(record.id.clone(), record.clone());
        match old {
            None => Outcome::Started,
            Some(old) if old == record => Outcome::Same,
            Some(old) if old.born != record.born || old.addr != record.addr => Outcome::Started,
            Some(_) if record.state == TargetState::Draining => Outcome::Leaving,
            Some(_) => Outcome::Changed,
        }
    }

    fn remove(&mut self, id: &TargetId) -> Outcome {
        self.held.remove(id);
        match self.records.remove(id) {
            Some(_) => Outcome::Gone,
            None => Outcome::Same,
        }
    }
}
