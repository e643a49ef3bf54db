//! Announcements of targets that are not registered at present.

use std::collections::BTreeMap;

use cyc_types::Millis;

use crate::Announcement;

/// Targets whose announcements are kept.
pub const MAX_RETAINED: usize = 1_024;
/// How long an announcement is kept: registrations that lapse during an outage of the store come back
/// within it.
pub const RETAIN_TIME: Millis = Millis::new(600_000);

/// Announcements of runs of targets that are not registered at present: their registration has lapsed,
/// or this entry does not know it yet.
#[derive(Debug, Clone)]
pub struct Retained<K> {
    by_target: BTreeMap<K, (Announcement, Millis)>,
}

impl<K> Default for Retained<K> {
    fn default() -> Self {
        Self {
            by_target: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Retained<K> {
    /// Keeps the announcement of a target for [`RETAIN_TIME`]. The oldest one is dropped if there are too many.
    pub fn keep(&mut self, target: K, announcement: Announcement, now: Millis) {
        if announcement.may_send(now) {
            return;
        }
        if self.by_target.len() >= MAX_RETAINED && !self.by_target.contains_key(&target) {
            let oldest = self.by_target.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.by_target.remove(&oldest);
            }
        }
        self.by_target.insert(target, (announcement, now));
    }

    /// Removes and returns the announcement of a target; an empty one if none is kept.
    pub fn take(&mut self, target: &K, now: Millis) -> Announcement {
        let kept = self.by_target.remove(target);
        let kept = kept.filter(|(_, at)| now.saturating_sub(*at) < RETAIN_TIME);
        kept.map_or_else(Announcement::default, |(announcement, _)| announcement)
    }
}
