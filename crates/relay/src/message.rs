//! Messages between entries and relays: the calls of the trait
//! [`Store`](cyc_gateway::port::Store), as JSON in the bodies of HTTP requests.

use cyc_gateway::{
    config::Configuration,
    member::Change,
    peers::Heartbeat,
    port::{Freshness, StoreError, Written},
    prepaid::{Record, RecordWrite},
};
use cyc_types::{ClientAccountId, Millis, Version};
use serde::{Deserialize, Serialize};

/// A call of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// The newest configuration.
    Configuration,
    /// A configuration newer than `since`.
    NextConfiguration {
        /// Version of the store that the entry knows.
        since: Version,
        /// Maximum wait for one.
        wait: Millis,
    },
    /// The list of targets.
    Targets,
    /// Changes of the list of targets after `since`.
    NextTargets {
        /// Version of the store that the entry knows.
        since: Version,
        /// Maximum wait for a change.
        wait: Millis,
    },
    /// The requested evacuations.
    Evacuations,
    /// Changes of the requested evacuations after `since`.
    NextEvacuations {
        /// Version of the store that the entry knows.
        since: Version,
        /// Maximum wait for a change.
        wait: Millis,
    },
    /// The record of an account's prepaid tokens.
    PrepaidRecord(ClientAccountId),
    /// A compare-and-swap write of a record.
    WritePrepaidRecord(RecordWrite),
    /// The heartbeats of all entries.
    Heartbeats(Freshness),
    /// The entry's own heartbeat, which the relay writes with those of its other entries.
    RecordHeartbeat(Heartbeat),
}

/// The result of a [`Call`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A configuration, if there is a newer one, and the store's version.
    Configuration(Option<Configuration>, Version),
    /// The list of targets or its changes, and the store's version.
    Targets(Vec<Change>, Version),
    /// The requested evacuations or their changes, and the store's version.
    Evacuations(Vec<cyc_evac::Change>, Version),
    /// A record and its version; no version if it does not exist.
    PrepaidRecord(Option<Version>, Record),
    /// The outcome of a write.
    Written(Written),
    /// The heartbeats of all entries.
    Heartbeats(Vec<Heartbeat>),
    /// The relay has the entry's heartbeat.
    HeartbeatRecorded,
}

/// What a relay responds.
pub type Response = Result<Reply, StoreError>;

/// Path of the calls.
pub const CALL_PATH: &str = "/store-call";
/// Maximum size of a message, which contains a whole configuration or list of targets.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
