//! The list of registered targets, built from the store's list and its changes.
//!
//! An address belongs to one target at a time. A target that crashed stays registered for some seconds,
//! while its successor at the same address has registered already; only the newer one is used.
//!
//! A target that disappears during an outage of the store may only have been unable to renew its
//! registration. Such removals are delayed until [`LAPSE_HOLD`] after the store's return, and
//! cancelled if the registration returns.
//!
//! A store that comes back from an older copy lists targets as they were then. Those that have left
//! since stay unused until they register again, or until a registration that nobody renews would have
//! lapsed.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use cyc_types::{AvailabilityZone, Millis, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Time after the store's return, as this entry sees it, at which delayed removals take effect.
/// Lapsed registrations return about 2 s after the store does and are read up to 0.3 s later; what is
/// missing then has ended. The return is usually seen within 0.65 s, so that the hold ends within 3 s
/// of it, from which on removals have to take effect 2 s after the store has acknowledged them.
pub const LAPSE_HOLD: Millis = Millis::new(2_300);

/// Time after which a registration that is not renewed lapses, unless the settings name it.
pub const REGISTRATION_TTL: Millis = Millis::new(5_000);
/// Maximum targets that are remembered after they have left.
const MAX_DEPARTED: usize = 4_096;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// A registered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the target; usually new after each restart.
    pub id: TargetId,
    /// Start time by the target's own clock in Unix milliseconds; distinguishes restarts under the
    /// same id.
    pub started_at: Option<u64>,
    /// The service that the target offers.
    pub service: ServiceId,
    /// Listening address.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: AvailabilityZone,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// How long the target stays cold, counted from when the registration was written.
    #[serde(default)]
    pub cold_left: Millis,
}

/// One run of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub id: TargetId,
    /// Its start, as in [`Record::started_at`].
    pub started_at: Option<u64>,
}

impl Record {
    /// Returns true if the registrations differ at most in how long the target stays cold, which
    /// counts down.
    fn is_same_but_cold_left(&self, other: &Self) -> bool {
        let counted_down = Self {
            cold_left: other.cold_left,
            ..self.clone()
        };
        counted_down == *other
    }

    /// The run of the target that registered.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            id: self.id.clone(),
            started_at: self.started_at,
        }
    }
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The target registered or updated its registration.
    Updated(Record),
    /// The registration was removed.
    Removed(TargetId),
    /// The registration cannot be decoded and yields no usable target.
    Unreadable(TargetId),
}

impl Change {
    /// The target that the change concerns.
    pub fn id(&self) -> &TargetId {
        match self {
            Self::Updated(record) => &record.id,
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// Effect of a change on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The target is new or was restarted.
    Started,
    /// The registration changed.
    Changed,
    /// The target drains and gets no new requests.
    Leaving,
    /// The target was removed.
    Gone,
    /// The registration may have lapsed during an outage of the store; the target is kept until
    /// [`LAPSE_HOLD`] after the store's return.
    Held,
    /// The registration comes from an older copy of the store, and the target has left since. It is
    /// not used unless it turns out to run.
    Doubted,
    /// The list is unchanged.
    Same,
}

/// The registered targets.
#[derive(Debug, Clone, Default)]
pub struct TargetList {
    records: BTreeMap<TargetId, Record>,
    /// When delayed removals take effect. Invariant: each id is also in `records`.
    delayed_removals: BTreeMap<TargetId, Millis>,
    /// When the store last came back from an outage.
    store_returned_at: Option<Millis>,
    /// When the store last came back from an older copy.
    store_restored_at: Option<Millis>,
    /// Targets that have left, the last one last. Invariant: none is in `records`.
    departed: VecDeque<TargetIncarnation>,
    /// Registrations of the copy that contradict what was known, and when they are used if they are
    /// still there.
    doubted: BTreeMap<TargetId, (Record, Millis)>,
    /// Time after which a registration that is not renewed lapses.
    registration_ttl: Option<Millis>,
}

impl TargetList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which a registration that is not renewed lapses.
    pub fn with_registration_ttl(mut self, ttl: Millis) -> Self {
        self.registration_ttl = Some(ttl);
        self
    }

    /// All registered targets, including those with a delayed removal.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The registered targets without those that another one has replaced at their address.
    pub fn current_records(&self) -> impl Iterator<Item = &Record> {
        let mut newest: HashMap<SocketAddr, u64> = HashMap::new();
        for record in self.records.values() {
            let started_at = newest.entry(record.addr).or_default();
            *started_at = (*started_at).max(record.started_at.unwrap_or_default());
        }
        self.records.values().filter(move |record| {
            let is_newest = |started_at| newest.get(&record.addr) == Some(&started_at);
            record.started_at.is_none_or(is_newest)
        })
    }

    /// The targets that a registered one has replaced at its address.
    pub fn replaced_by(&self, id: &TargetId) -> Vec<TargetId> {
        let Some(new) = self.records.get(id) else {
            return Vec::new();
        };
        let is_older = |old: &&Record| {
            let starts = old.started_at.zip(new.started_at);
            old.addr == new.addr && starts.is_some_and(|(old, new)| old < new)
        };
        let older = self.records.values().filter(is_older);
        older.map(|record| record.id.clone()).collect()
    }

    /// The registration of a target.
    pub fn get(&self, id: &TargetId) -> Option<&Record> {
        self.records.get(id)
    }

    /// Records the end of an outage of the store at the given time.
    pub fn store_returned(&mut self, at: Millis) {
        self.store_returned_at = Some(at);
    }

    /// Records that the store came back from an older copy at the given time. What it has forgotten is
    /// written again soon.
    pub fn store_restored(&mut self, at: Millis) {
        self.store_restored_at = Some(at);
        self.store_returned(at);
    }

    /// When a registration of the copy counts that contradicts what is known; `None` if the store has
    /// not come back from one lately.
    fn doubted_until(&self, now: Millis) -> Option<Millis> {
        let ttl = self.registration_ttl.unwrap_or(REGISTRATION_TTL);
        let until = self.store_restored_at? + LAPSE_HOLD + ttl;
        (now < until).then_some(until)
    }

    /// Returns true if the target has left since this registration was written.
    fn has_left(&self, record: &Record) -> bool {
        let is_draining = self.records.get(&record.id).is_some_and(|known| {
            known.state == TargetState::Draining && known.incarnation() == record.incarnation()
        });
        let is_ready = record.state == TargetState::Ready;
        is_ready && (is_draining || self.departed.contains(&record.incarnation()))
    }

    /// Applies a registration of a list, which may be part of an older copy.
    fn apply_listed(&mut self, change: Change, now: Millis) -> Outcome {
        let until = self.doubted_until(now);
        match (change, until) {
            (Change::Updated(record), Some(until)) if self.has_left(&record) => {
                let id = record.id.clone();
                let is_known = self.doubted.insert(id, (record, until)).is_some();
                match is_known {
                    true => Outcome::Same,
                    false => Outcome::Doubted,
                }
            }
            (change, _) => self.apply(change, now),
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, change: Change, now: Millis) -> Outcome {
        match change {
            Change::Updated(record) => self.update(record),
            Change::Unreadable(id) => self.remove(&id),
            Change::Removed(id) => {
                self.doubted.remove(&id);
                let Some(record) = self.records.get(&id) else {
                    return Outcome::Same;
                };
                let held_until = self.store_returned_at.map(|at| at + LAPSE_HOLD);
                let held_until = held_until.filter(|until| now < *until);
                match held_until {
                    // A target that drains was going to end.
                    Some(until) if record.state == TargetState::Ready => {
                        self.delayed_removals.entry(id).or_insert(until);
                        Outcome::Held
                    }
                    _ => self.remove(&id),
                }
            }
        }
    }

    /// Replaces the whole list; targets missing from `list` count as removed.
    pub fn replace(&mut self, list: Vec<Change>, now: Millis) -> Vec<(TargetId, Outcome)> {
        let missing: Vec<TargetId> = self
            .records
            .keys()
            .chain(self.doubted.keys())
            .filter(|id| !list.iter().any(|change| change.id() == *id))
            .cloned()
            .collect();
        let removed = missing.into_iter().map(Change::Removed);
        let all = list.into_iter().chain(removed);
        let apply = |change: Change| (change.id().clone(), self.apply_listed(change, now));
        all.map(apply).collect()
    }

    /// Applies the delayed removals that are due, and the doubted registrations that did not lapse.
    pub fn expire(&mut self, now: Millis) -> Vec<(TargetId, Outcome)> {
        let due = self.delayed_removals.iter().filter(|(_, at)| **at <= now);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        let removed = due.into_iter().map(|id| {
            let outcome = self.remove(&id);
            (id, outcome)
        });
        let mut outcomes: Vec<(TargetId, Outcome)> = removed.collect();
        let is_due = |_: &TargetId, (_, at): &mut (Record, Millis)| *at <= now;
        let registered: Vec<_> = self.doubted.extract_if(.., is_due).collect();
        for (id, (record, _)) in registered {
            outcomes.push((id, self.update(record)));
        }
        outcomes
    }

    /// When a delayed removal or a doubted registration is next due.
    pub fn next_expiry(&self) -> Option<Millis> {
        let removals = self.delayed_removals.values();
        let doubted = self.doubted.values().map(|(_, at)| at);
        removals.chain(doubted).min().copied()
    }

    fn update(&mut self, record: Record) -> Outcome {
        self.delayed_removals.remove(&record.id);
        self.doubted.remove(&record.id);
        self.departed.retain(|departed| departed.id != record.id);
        let old = self.records.insert(record.id.clone(), record.clone());
        match old {
            None => Outcome::Started,
            Some(old) if old.is_same_but_cold_left(&record) => Outcome::Same,
            Some(old) if old.started_at != record.started_at || old.addr != record.addr => {
                Outcome::Started
            }
            Some(_) if record.state == TargetState::Draining => Outcome::Leaving,
            Some(_) => Outcome::Changed,
        }
    }

    fn remove(&mut self, id: &TargetId) -> Outcome {
        self.delayed_removals.remove(id);
        let Some(record) = self.records.remove(id) else {
            return Outcome::Same;
        };
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(record.incarnation());
        Outcome::Gone
    }
}
