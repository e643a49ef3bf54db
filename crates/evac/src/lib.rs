//! Evacuation of availability zones: operators ask that nothing more be sent to the targets of a
//! zone, and later that it be used again.
//!
//! The load leaves a zone, and returns to it, over a ramp, so that neither the other zones nor the
//! zone itself get a burst. The ramp ends early enough whenever the request is read: what counts is
//! the time since the store may have acknowledged it. Pure: callers pass the time and what they have
//! read.

use std::collections::BTreeMap;

use cyc_types::{AvailabilityZone, Millis};
use serde::{Deserialize, Serialize};

/// The ramp takes at most one in this many parts of the time limit.
const RAMP_DIVISOR: u64 = 5;
/// Percentage of the time limit within which the ramp ends, counted from the acknowledgement. The
/// rest is for requests that have been assigned a target and are still being connected.
const DEADLINE_PERCENT: u64 = 60;

/// A change of the requested evacuations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The evacuation of a zone is requested.
    Requested(AvailabilityZone),
    /// The request was removed.
    Removed(AvailabilityZone),
}

impl Change {
    /// The zone that the change concerns.
    pub fn zone(&self) -> &AvailabilityZone {
        match self {
            Self::Requested(zone) | Self::Removed(zone) => zone,
        }
    }
}

/// Effect of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The load begins to leave the zone, and has left it after this time.
    Evacuated(Millis),
    /// The load begins to return to the zone. Its targets may have become cold shortly before.
    Returned,
    /// Nothing is new.
    Same,
}

/// How the load of a zone changes. A zone that gets its full load has none.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Ramp {
    from: f64,
    to: f64,
    start: Millis,
    length: Millis,
}

impl Ramp {
    fn share(self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.start).get() as f64;
        let progress = elapsed / self.length.get() as f64;
        // A ramp of no length has ended at once.
        match progress < 1.0 {
            true => self.from + (self.to - self.from) * progress,
            false => self.to,
        }
    }

    fn is_leaving(self) -> bool {
        self.to == 0.0
    }
}

/// The evacuated zones as far as one entry knows.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Time from the acknowledgement of a request to the last request at a target of the zone.
    limit: Millis,
    by_zone: BTreeMap<AvailabilityZone, Ramp>,
}

impl Evacuations {
    /// Creates a list without evacuations; `limit` is the time within which a zone must be
    /// evacuated.
    pub fn new(limit: Millis) -> Self {
        Self {
            limit,
            by_zone: BTreeMap::new(),
        }
    }

    fn ramp_length(&self) -> Millis {
        Millis::new(self.limit.get() / RAMP_DIVISOR)
    }

    /// Applies a change that the store acknowledged up to `age` ago.
    pub fn apply(&mut self, change: &Change, age: Millis, now: Millis) -> Outcome {
        let zone = change.zone();
        let known = self.by_zone.get(zone).copied();
        let from = known.map_or(1.0, |ramp| ramp.share(now));
        let is_leaving = known.is_some_and(Ramp::is_leaving);
        let (to, length, outcome) = match change {
            Change::Requested(_) if is_leaving => return Outcome::Same,
            Change::Requested(_) => {
                let deadline = Millis::new(self.limit.get().saturating_mul(DEADLINE_PERCENT) / 100);
                let length = self.ramp_length().min(deadline.saturating_sub(age));
                (0.0, length, Outcome::Evacuated(length))
            }
            Change::Removed(_) if is_leaving => (1.0, self.ramp_length(), Outcome::Returned),
            Change::Removed(_) => return Outcome::Same,
        };
        let ramp = Ramp {
            from,
            to,
            start: now,
            length,
        };
        self.by_zone.insert(zone.clone(), ramp);
        outcome
    }

    /// Replaces the whole list, read at a time when its items were up to `age` old; the evacuation
    /// of zones missing from `list` has ended. Returns the zones with changes.
    pub fn replace(
        &mut self,
        list: &[Change],
        age: Millis,
        now: Millis,
    ) -> Vec<(AvailabilityZone, Outcome)> {
        let is_listed = |zone: &AvailabilityZone| list.iter().any(|change| change.zone() == zone);
        let missing = self.by_zone.keys().filter(|zone| !is_listed(zone));
        let missing: Vec<Change> = missing.cloned().map(Change::Removed).collect();
        let all = list.iter().chain(&missing);
        let outcomes = all.map(|change| (change.zone().clone(), self.apply(change, age, now)));
        let outcomes: Vec<_> = outcomes.collect();
        let is_news = |(_, outcome): &(AvailabilityZone, Outcome)| *outcome != Outcome::Same;
        outcomes.into_iter().filter(is_news).collect()
    }

    /// Returns true if all zones get their full load.
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }

    /// Fraction of its load that a zone gets now; 0 if nothing may be sent to it.
    pub fn share(&self, zone: &AvailabilityZone, now: Millis) -> f64 {
        let ramp = self.by_zone.get(zone);
        ramp.map_or(1.0, |ramp| ramp.share(now))
    }

    /// Returns true if nothing may be sent to the zone.
    pub fn is_closed(&self, zone: &AvailabilityZone, now: Millis) -> bool {
        self.share(zone, now) <= 0.0
    }

    /// Forgets zones that get their full load again.
    pub fn expire(&mut self, now: Millis) {
        self.by_zone
            .retain(|_, ramp| ramp.is_leaving() || ramp.share(now) < 1.0);
    }
}
