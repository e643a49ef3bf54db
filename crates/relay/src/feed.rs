//! What a relay has read from the store for its entries: the newest configuration, and the lists of
//! targets and of evacuations with their recent changes.

use std::collections::{BTreeMap, VecDeque};

use cyc_gateway::{config::Configuration, member::Change, port::StoreError};
use cyc_types::{AvailabilityZone, Millis, TargetId, Version};

/// A feed that has not heard from the store for this long may lack changes that are due at the
/// entries.
pub const STALE_AFTER: Millis = Millis::new(1_600);
/// Maximum number of changes that are kept; an entry that lacks older ones reads the whole list.
const MAX_CHANGES: usize = 4_096;

/// Time from the end of a watch's wait until its response is read, unless this process was frozen.
const RESPONSE_TIME: Millis = Millis::new(400);

/// The time as of which the response to a watch is news, for a watch that was sent at `sent_at` with
/// the given wait and whose response is read at `now`. After a freeze of this process the response
/// may have lain unread for long, and must not make the feed look fresh.
pub fn watch_heard_at(sent_at: Millis, wait: Millis, now: Millis) -> Millis {
    now.min(sent_at + wait + RESPONSE_TIME)
}

/// When a feed last heard from the store, and up to which version it is complete.
#[derive(Debug, Clone, Copy)]
struct Progress {
    as_of: Version,
    heard_at: Millis,
}

impl Progress {
    /// When the feed becomes outdated unless it hears from the store.
    fn stale_at(self) -> Millis {
        self.heard_at + STALE_AFTER + Millis::new(1)
    }

    /// Version of the store up to which an entry that knows `since` is informed.
    fn informed(self, since: Version) -> Version {
        self.as_of.max(since)
    }
}

/// The version up to which a feed is complete.
///
/// # Errors
/// [`StoreError::Unreachable`] if it has not heard from the store for [`STALE_AFTER`].
fn fresh(progress: Option<Progress>, now: Millis) -> Result<Progress, StoreError> {
    let unreachable = |why: String| StoreError::Unreachable(why);
    let progress = progress.ok_or_else(|| unreachable("the relay has read nothing yet".into()))?;
    let age = now.saturating_sub(progress.heard_at);
    match age <= STALE_AFTER {
        true => Ok(progress),
        false => Err(unreachable(format!(
            "the relay has not heard from the store for {age} ms"
        ))),
    }
}

/// The newest configuration.
#[derive(Debug, Default)]
pub struct ConfigFeed {
    progress: Option<Progress>,
    /// The newest configuration, and the version as of which it was read.
    newest: Option<(Configuration, Version)>,
}

impl ConfigFeed {
    /// Records a read: a configuration if there was a new one, and the store's version.
    pub fn record(&mut self, config: Option<Configuration>, as_of: Version, now: Millis) {
        let is_list = self.progress.is_none();
        self.progress = Some(Progress {
            as_of,
            heard_at: now,
        });
        let known = self.newest.as_ref().map(|(config, _)| config.revision);
        if let Some(config) = config.filter(|config| Some(config.revision) > known) {
            self.newest = Some((config, as_of));
        } else if let Some((_, read_at)) = self.newest.as_mut().filter(|_| is_list) {
            // Entries that have read an older configuration from the store get this one.
            *read_at = as_of;
        }
    }

    /// Requires a new read, and keeps the newest configuration: a store that came back from an older
    /// copy has an older one.
    pub fn restart(&mut self) {
        self.progress = None;
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Version from which the next watch continues; `None` before the first read.
    pub fn as_of(&self) -> Option<Version> {
        self.progress.map(|progress| progress.as_of)
    }

    /// When the feed becomes outdated unless it hears from the store; `None` before the first read.
    pub fn stale_at(&self) -> Option<Millis> {
        self.progress.map(Progress::stale_at)
    }

    /// The newest configuration.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] if the feed may be outdated.
    pub fn newest(&self, now: Millis) -> Result<(Option<Configuration>, Version), StoreError> {
        let progress = fresh(self.progress, now)?;
        let config = self.newest.as_ref().map(|(config, _)| config.clone());
        Ok((config, progress.as_of))
    }

    /// Returns true if a newer configuration was read after `since`.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] if the feed may be outdated.
    pub fn has_change(&self, since: Version, now: Millis) -> Result<bool, StoreError> {
        fresh(self.progress, now)?;
        Ok(self.newest.as_ref().is_some_and(|(_, at)| *at > since))
    }

    /// The newest configuration if it was read after `since`.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] if the feed may be outdated.
    pub fn since(
        &self,
        since: Version,
        now: Millis,
    ) -> Result<(Option<Configuration>, Version), StoreError> {
        let progress = fresh(self.progress, now)?;
        let newer = self.newest.as_ref().filter(|(_, at)| *at > since);
        let config = newer.map(|(config, _)| config.clone());
        Ok((config, progress.informed(since)))
    }
}

/// A change of a list in the store.
pub trait ListChange: Clone {
    /// Identifies an item of the list.
    type Id: Clone + Ord;

    /// The item that the change concerns.
    fn id(&self) -> &Self::Id;

    /// Returns true if the item was removed.
    fn is_removal(&self) -> bool;
}

impl ListChange for Change {
    type Id = TargetId;

    fn id(&self) -> &TargetId {
        self.id()
    }

    fn is_removal(&self) -> bool {
        matches!(self, Self::Removed(_))
    }
}

impl ListChange for cyc_evac::Change {
    type Id = AvailabilityZone;

    fn id(&self) -> &AvailabilityZone {
        self.zone()
    }

    fn is_removal(&self) -> bool {
        matches!(self, Self::Removed(_))
    }
}

/// The list of targets and its recent changes.
pub type TargetFeed = ListFeed<Change>;
/// The requested evacuations and their recent changes.
pub type EvacuationFeed = ListFeed<cyc_evac::Change>;

/// A list in the store and its recent changes.
#[derive(Debug)]
pub struct ListFeed<C: ListChange> {
    progress: Option<Progress>,
    /// The last change of each item.
    items: BTreeMap<C::Id, C>,
    /// Recent changes, each with the version as of which it was read, oldest first.
    changes: VecDeque<(Version, C)>,
    /// All changes after this version are in `changes`.
    complete_since: Version,
}

impl<C: ListChange> Default for ListFeed<C> {
    fn default() -> Self {
        Self {
            progress: None,
            items: BTreeMap::new(),
            changes: VecDeque::new(),
            complete_since: Version::ZERO,
        }
    }
}

impl<C: ListChange> ListFeed<C> {
    /// Records a read of the whole list. Entries that are informed up to an older version have to
    /// read the list too.
    pub fn replace(&mut self, list: Vec<C>, as_of: Version, now: Millis) {
        self.items = list
            .into_iter()
            .map(|change| (change.id().clone(), change))
            .collect();
        self.changes.clear();
        self.complete_since = as_of;
        self.progress = Some(Progress {
            as_of,
            heard_at: now,
        });
    }

    /// Records changes that were read by a watch.
    pub fn extend(&mut self, changes: Vec<C>, as_of: Version, now: Millis) {
        for change in changes {
            match change.is_removal() {
                true => self.items.remove(change.id()),
                false => self.items.insert(change.id().clone(), change.clone()),
            };
            self.changes.push_back((as_of, change));
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some((version, _)) = self.changes.pop_front() {
                self.complete_since = version;
            }
        }
        self.progress = Some(Progress {
            as_of,
            heard_at: now,
        });
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Version from which the next watch continues; `None` before the first read.
    pub fn as_of(&self) -> Option<Version> {
        self.progress.map(|progress| progress.as_of)
    }

    /// When the feed becomes outdated unless it hears from the store; `None` before the first read.
    pub fn stale_at(&self) -> Option<Millis> {
        self.progress.map(Progress::stale_at)
    }

    /// The whole list.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] if the feed may be outdated.
    pub fn list(&self, now: Millis) -> Result<(Vec<C>, Version), StoreError> {
        let progress = fresh(self.progress, now)?;
        Ok((self.items.values().cloned().collect(), progress.as_of))
    }

    /// Returns true if changes were read after `since`.
    ///
    /// # Errors
    /// As [`ListFeed::since`].
    pub fn has_changes(&self, since: Version, now: Millis) -> Result<bool, StoreError> {
        self.check(since, now)?;
        let last = self.changes.back();
        Ok(last.is_some_and(|(version, _)| *version > since))
    }

    /// Checks that the feed knows all changes after `since`.
    fn check(&self, since: Version, now: Millis) -> Result<Progress, StoreError> {
        let progress = fresh(self.progress, now)?;
        match since < self.complete_since {
            true => Err(StoreError::HistoryUnavailable),
            false => Ok(progress),
        }
    }

    /// The changes read after `since`.
    ///
    /// # Errors
    /// [`StoreError::HistoryUnavailable`] if older changes would be missing,
    /// [`StoreError::Unreachable`] if the feed may be outdated.
    pub fn since(&self, since: Version, now: Millis) -> Result<(Vec<C>, Version), StoreError> {
        let progress = self.check(since, now)?;
        let newer = self.changes.iter().filter(|(version, _)| *version > since);
        let changes = newer.map(|(_, change)| change.clone()).collect();
        Ok((changes, progress.informed(since)))
    }
}
