//! The data model of the object API: keys, versioned objects, preconditions and changes.

use std::fmt;

use bytes::Bytes;
use cyc_types::Version;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The value of an object, as bytes.
pub type Body = Bytes;

/// The kinds of objects that are stored in the platform.
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
    /// Registrations of processes, one object per VM and role.
    Member,
    /// Budget shards.
    Budget,
    /// Immutable segments of receipts.
    Segment,
    /// Claims on non-idempotent requests, grouped in buckets.
    Claim,
    /// Fences: for each VM, the lowest incarnation that may still spend tokens.
    Fence,
    /// Merge records, which credit requests that were billed twice.
    Merge,
}

/// The key of an object: its kind and a name of letters, digits, `-`, `_`, `.`, `@` and `:`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: SmolStr,
}

impl ObjectKey {
    /// Creates the key of the object `name` of `kind`.
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

/// An object as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The key.
    pub key: ObjectKey,
    /// The version, the precondition of the next update.
    pub version: Version,
    /// The value at that version.
    pub body: Body,
}

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key of the changed object.
    pub key: ObjectKey,
    /// The store version of the change, which the next watch passes as `since`.
    pub version: Version,
    /// True if the change is a deletion.
    pub deleted: bool,
}
