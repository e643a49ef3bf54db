//! The leaving targets that entries tell each other of.

use std::collections::BTreeMap;

use cyc_types::Millis;
use serde::{Deserialize, Serialize};

/// Leaving targets that an entry remembers for other entries: all of them fit into one message beside
/// the other news.
pub const MAX_KNOWN_LEAVING: usize = 256;
/// A leaving target is forgotten after this time; its registration shows the same long before.
pub const LEAVING_TTL: Millis = Millis::new(600_000);

/// A leaving target as entries tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport<K> {
    /// The run of the target.
    pub target: K,
    /// Time since an entry first read it.
    pub age: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    /// When the target is forgotten: [`LEAVING_TTL`] after the earliest report. A start time would be
    /// before the zero of the clock in an entry that has just started.
    expires_at: Millis,
    /// The target is not registered any more. It is remembered for some time nevertheless, so that
    /// reports of entries that do not know it yet are no news.
    is_gone: bool,
}

/// The targets that have said lately to any entry that they leave.
#[derive(Debug, Clone)]
pub struct KnownLeaving<K> {
    /// Invariant: at most [`MAX_KNOWN_LEAVING`].
    by_target: BTreeMap<K, Known>,
    changed: Vec<K>,
}

impl<K> Default for KnownLeaving<K> {
    fn default() -> Self {
        Self {
            by_target: BTreeMap::new(),
            changed: Vec::new(),
        }
    }
}

impl<K: Ord + Clone> KnownLeaving<K> {
    /// Records that a target said this long ago that it leaves. Returns true if that is news.
    pub fn record(&mut self, target: &K, age: Millis, now: Millis) -> bool {
        if age >= LEAVING_TTL {
            return false;
        }
        let expires_at = now + LEAVING_TTL.saturating_sub(age);
        if let Some(known) = self.by_target.get_mut(target) {
            known.expires_at = known.expires_at.min(expires_at);
            return false;
        }
        if self.by_target.len() >= MAX_KNOWN_LEAVING && !self.make_room(expires_at) {
            return false;
        }
        let known = Known {
            expires_at,
            is_gone: false,
        };
        self.by_target.insert(target.clone(), known);
        self.changed.push(target.clone());
        true
    }

    /// Adds reports of other entries.
    pub fn merge(&mut self, reports: &[LeavingReport<K>], now: Millis) {
        for report in reports {
            self.record(&report.target, report.age, now);
        }
    }

    /// Takes over which targets are registered; the others are not reported any more.
    pub fn set_registered(&mut self, is_registered: impl Fn(&K) -> bool) {
        for (target, known) in &mut self.by_target {
            known.is_gone = !is_registered(target);
        }
    }

    /// Reports of the targets that were added since the last call.
    pub fn take_news(&mut self, now: Millis) -> Vec<LeavingReport<K>> {
        let changed = std::mem::take(&mut self.changed);
        let reports = changed.iter().filter_map(|target| {
            let known = self.by_target.get(target).filter(|known| !known.is_gone)?;
            Some(report(target, known, now))
        });
        reports.collect()
    }

    /// Reports of all targets that are not gone.
    pub fn reports(&self, now: Millis) -> Vec<LeavingReport<K>> {
        let known = self.by_target.iter().filter(|(_, known)| !known.is_gone);
        known
            .map(|(target, known)| report(target, known, now))
            .collect()
    }

    /// The targets that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        let known = self.by_target.iter().filter(|(_, known)| !known.is_gone);
        known.map(|(target, _)| target)
    }

    /// Forgets what is out of date.
    pub fn expire(&mut self, now: Millis) {
        self.by_target.retain(|_, known| known.expires_at > now);
    }

    /// Removes a target that is gone, or else the oldest one. Returns false if none is older than the
    /// one that expires at this time.
    fn make_room(&mut self, expires_at: Millis) -> bool {
        let known = self.by_target.iter();
        let first = known.min_by_key(|(_, known)| (!known.is_gone, known.expires_at));
        let first = first.filter(|(_, known)| known.is_gone || known.expires_at < expires_at);
        match first.map(|(target, _)| target.clone()) {
            Some(target) => self.by_target.remove(&target).is_some(),
            None => false,
        }
    }
}

fn report<K: Clone>(target: &K, known: &Known, now: Millis) -> LeavingReport<K> {
    LeavingReport {
        target: target.clone(),
        age: LEAVING_TTL.saturating_sub(known.expires_at.saturating_sub(now)),
    }
}
