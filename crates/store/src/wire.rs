//! The JSON forms of the platform's HTTP interface, shared by the client and the stand-in.

use cyc_types::{ByteSize, Millis, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One object in the answer to a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// The name within the kind.
    pub name: SmolStr,
    /// The version.
    pub version: Version,
    /// The value.
    pub body: String,
}

/// One change in the answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeItem {
    /// The name within the kind.
    pub name: SmolStr,
    /// The store version of the change.
    pub version: Version,
    /// True if the object was deleted.
    pub deleted: bool,
}

/// The query of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListQuery {
    /// What the names start with.
    pub prefix: String,
}

/// The query of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchQuery {
    /// What the names start with.
    pub prefix: String,
    /// Changes after this store version are wanted.
    pub since: Version,
    /// How long to wait for the first change.
    pub wait_ms: Millis,
}

/// Asks for leave to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The size of the weights.
    pub bytes: ByteSize,
}

/// The answer to [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Zero if the load may start now, else the time after which to ask again.
    pub wait_ms: Millis,
}
