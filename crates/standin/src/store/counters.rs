//! Counts of calls by operation and kind.

use std::collections::BTreeMap;

use cyc_store::Kind;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The operations of the platform.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Reads one object.
    Get,
    /// Writes one object.
    Put,
    /// Deletes one object.
    Delete,
    /// Lists objects.
    List,
    /// Waits for changes.
    Watch,
    /// Reads the VM list.
    Vms,
    /// Asks the weight store.
    WeightPermit,
}

impl Operation {
    /// Returns true for the operations that change an object.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// The calls of one operation on one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// The operation.
    pub operation: Operation,
    /// The kind, for operations on objects.
    pub kind: Option<Kind>,
    /// Calls that arrived, failed ones included.
    pub calls: u64,
    /// Calls among them that were answered with an error, conflicts included.
    pub failed: u64,
}

/// The counts of all calls so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// One row for each operation and kind that was called.
    pub rows: Vec<CallCount>,
}

impl Counters {
    /// Returns the calls of `operation` on `kind`.
    pub fn calls(&self, operation: Operation, kind: Option<Kind>) -> u64 {
        self.sum(|row| row.operation == operation && row.kind == kind)
    }

    /// Returns all calls that change objects.
    pub fn writes(&self) -> u64 {
        self.sum(|row| row.operation.is_write())
    }

    /// Returns all other calls.
    pub fn reads(&self) -> u64 {
        self.sum(|row| !row.operation.is_write())
    }

    fn sum(&self, wanted: impl Fn(&CallCount) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|row| wanted(row));
        rows.map(|row| row.calls).sum()
    }
}

/// The counts while they grow.
#[derive(Debug, Default)]
pub(super) struct Tally {
    rows: BTreeMap<(Operation, Option<Kind>), (u64, u64)>,
}

impl Tally {
    pub(super) fn arrived(&mut self, operation: Operation, kind: Option<Kind>) {
        self.rows.entry((operation, kind)).or_default().0 += 1;
    }

    pub(super) fn failed(&mut self, operation: Operation, kind: Option<Kind>) {
        self.rows.entry((operation, kind)).or_default().1 += 1;
    }

    pub(super) fn counters(&self) -> Counters {
        let row = |(&(operation, kind), &(calls, failed)): (&_, &(u64, u64))| CallCount {
            operation,
            kind,
            calls,
            failed,
        };
        Counters {
            rows: self.rows.iter().map(row).collect(),
        }
    }
}
