//! The newest configuration that a process has seen.

use std::sync::Arc;

use cyc_types::Revision;
use tokio::sync::watch;

use crate::snapshot::{ServicesSnapshot, Snapshot};

/// A value that belongs to a revision of the configuration.
pub trait Revised {
    /// Returns the revision.
    fn revision(&self) -> Revision;
}

/// A cell that only ever takes a larger revision.
#[derive(Debug)]
pub struct Latest<T> {
    tx: watch::Sender<Option<Arc<T>>>,
}

/// The configuration in force at an entry.
pub type InForce = Latest<Snapshot>;

/// The services in force at a sidecar.
pub type ServicesInForce = Latest<ServicesSnapshot>;

impl<T> Default for Latest<T> {
    fn default() -> Self {
        Self {
            tx: watch::Sender::new(None),
        }
    }
}

impl<T: Revised> Latest<T> {
    /// Creates an empty cell.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a value in force if its revision is larger, and returns whether it did.
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

    /// Returns the value in force, if any.
    pub fn current(&self) -> Option<Arc<T>> {
        self.tx.borrow().clone()
    }

    /// Returns the revision in force; zero for none.
    pub fn revision(&self) -> Revision {
        let current = self.tx.borrow();
        current
            .as_ref()
            .map_or(Revision::ZERO, |value| value.revision())
    }

    /// Returns a receiver that is notified of each change.
    pub fn changed(&self) -> watch::Receiver<Option<Arc<T>>> {
        self.tx.subscribe()
    }
}
