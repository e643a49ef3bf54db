//! The newest configuration that a process has received, with notification of changes.

use std::sync::Arc;

use cyc_types::Revision;
use tokio::sync::watch;

use crate::snapshot::{ServicesSnapshot, Snapshot};

/// A value that belongs to a revision of the configuration.
pub trait HasRevision {
    /// Returns the configuration revision that the value belongs to.
    fn revision(&self) -> Revision;
}

/// A watchable cell whose revision only increases.
#[derive(Debug)]
pub struct Latest<T> {
    tx: watch::Sender<Option<Arc<T>>>,
}

/// The current configuration of an entry.
pub type CurrentConfig = Latest<Snapshot>;

/// The current services of a sidecar.
pub type CurrentServices = Latest<ServicesSnapshot>;

impl<T> Default for Latest<T> {
    fn default() -> Self {
        Self {
            tx: watch::Sender::new(None),
        }
    }
}

impl<T: HasRevision> Latest<T> {
    /// Creates an empty cell.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the current value if the revision of `value` is larger, and returns whether it
    /// did.
    pub fn apply(&self, value: T) -> bool {
        let revision = value.revision();
        self.tx.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|old| revision > old.revision());
            if newer {
                *current = Some(Arc::new(value));
            }
            newer
        })
    }

    /// Returns the current value, or `None` before the first [`Self::apply`].
    pub fn current(&self) -> Option<Arc<T>> {
        self.tx.borrow().clone()
    }

    /// Returns the current revision, or zero if the cell is empty.
    pub fn revision(&self) -> Revision {
        let current = self.tx.borrow();
        current
            .as_ref()
            .map_or(Revision::ZERO, |value| value.revision())
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<T>>> {
        self.tx.subscribe()
    }
}
