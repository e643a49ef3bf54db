//! Objects of the object API and their names.

use std::fmt;

use bytes::Bytes;
use cyc_types::Version;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The value of an object.
pub type Body = Bytes;

/// The kinds of objects that the product keeps in the platform.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The configuration: one head object and immutable parts.
    Config,
    /// Registered processes, one object a VM and role.
    Member,
    /// Shards of budgets.
    Budget,
    /// Immutable segments of receipts.
    Segment,
    /// Buckets of claims for non-idempotent requests.
    Claim,
    /// Fences: the lowest incarnation of each VM that may still spend.
    Fence,
    /// Merge records, which credit duplicates.
    Merge,
}

/// The name of one object: its kind and a name of letters, digits, `-`, `_`, `.`, `@` and `:`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind.
    pub kind: Kind,
    /// The name within the kind.
    pub name: SmolStr,
}

impl ObjectKey {
    /// Names an object.
    pub fn new(kind: Kind, name: impl Into<SmolStr>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub key: ObjectKey,
    /// Its version, needed for the next conditional update.
    pub version: Version,
    /// Its value.
    pub body: Body,
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The object must be absent.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// One change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The object.
    pub key: ObjectKey,
    /// The store version of the change, to be given as `since` to the next watch.
    pub version: Version,
    /// True if the object was deleted.
    pub deleted: bool,
}
