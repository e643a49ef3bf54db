//! Message types of the platform's HTTP API, shared by the client and the simulated platform.

use cyc_types::{ByteSize, Millis, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An object in the response to a list request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// The name, unique within the kind.
    pub name: SmolStr,
    /// The version of the object.
    pub version: Version,
    /// The value, as text.
    pub body: String,
}

/// A change in the response to a watch request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeItem {
    /// The name, unique within the kind.
    pub name: SmolStr,
    /// The store version of the change.
    pub version: Version,
    /// True if the change is a deletion.
    pub deleted: bool,
}

/// The query parameters of a list request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListQuery {
    /// The prefix that object names must have.
    pub prefix: String,
}

/// The query parameters of a watch request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchQuery {
    /// The prefix that object names must have.
    pub prefix: String,
    /// The store version after which changes are reported.
    pub since: Version,
    /// The maximum time to wait for a change.
    pub wait_ms: Millis,
}

/// The body of a request for a permit to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The size of the weights to load.
    pub bytes: ByteSize,
}

/// The response to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Zero if the permit is granted, otherwise the delay before the next request.
    pub wait_ms: Millis,
}
