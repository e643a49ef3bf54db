//! Counts of platform calls by operation and object kind.

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
    /// Requests permission to load weights from the weight store.
    WeightPermit,
}

impl Operation {
    /// True for the operations that change an object.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// The number of calls of an operation on a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// The operation.
    pub operation: Operation,
    /// The object kind, for operations on objects.
    pub kind: Option<Kind>,
    /// Calls received, including failed ones.
    pub calls: u64,
    /// Those of `calls` that returned an error, including conflicts, but not watches that failed
    /// after they were received.
    pub failed: u64,
}

/// The counts of all calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// One row per operation and kind with at least one call.
    pub rows: Vec<CallCount>,
}

impl Counters {
    /// Number of calls of `operation` on `kind`.
    pub fn calls(&self, operation: Operation, kind: Option<Kind>) -> u64 {
        self.sum(|row| row.operation == operation && row.kind == kind)
    }

    /// Number of calls of all operations that change objects.
    pub fn writes(&self) -> u64 {
        self.sum(|row| row.operation.is_write())
    }

    /// Number of calls of all other operations.
    pub fn reads(&self) -> u64 {
        self.sum(|row| !row.operation.is_write())
    }

    fn sum(&self, matches: impl Fn(&CallCount) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|row| matches(row));
        rows.map(|row| row.calls).sum()
    }
}

/// The running counts: calls and, among them, failures.
#[derive(Debug, Default)]
pub(super) struct CallCounter {
    rows: BTreeMap<(Operation, Option<Kind>), (u64, u64)>,
}

impl CallCounter {
    pub(super) fn record_call(&mut self, operation: Operation, kind: Option<Kind>) {
        self.rows.entry((operation, kind)).or_default().0 += 1;
    }

    pub(super) fn record_failure(&mut self, operation: Operation, kind: Option<Kind>) {
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
