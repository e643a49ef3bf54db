//! Traits that abstract the protocol of callers and targets, and the store.

use cyc_signal::Signals;
use cyc_types::{ClientAccountId, Era, Millis, PerSecond, TargetId, Version, VmId};
use http::{HeaderMap, request, response};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    call::Call,
    config::Configuration,
    fleet::Load,
    member::Change,
    peers::Heartbeat,
    prepaid::{Record, RecordWrite},
};

/// An invalid header in a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadCall {
    /// Name of the header.
    pub field: &'static str,
    /// Its value, or why it is missing.
    pub value: SmolStr,
}

/// Fields of a request to a target beyond the caller's own headers.
#[derive(Debug, Clone)]
pub struct TargetRequestInfo<'a> {
    /// The intended target; any other target must refuse the request.
    pub target: &'a TargetId,
    /// Time left for the response.
    pub time_left: Millis,
    /// The account that pays.
    pub account: Option<&'a ClientAccountId>,
    /// Priority; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<u64>,
}

/// What a response says about a limit of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// The target names no limit.
    #[default]
    Absent,
    /// The limit cannot be read.
    Invalid,
    /// The limit.
    Rate(PerSecond),
}

/// Decoded fields of the head of a target's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the attempt that the response belongs to.
    pub id: Option<SmolStr>,
    /// The response carries the target's signature.
    pub is_signed: bool,
    /// The target states that it has not run the request.
    pub is_not_run: bool,
    /// The address belongs to another target, which has not run the request.
    pub is_misdirected: bool,
    /// Reported load of the target.
    pub load: Option<Load>,
    /// Limit of requests a second that the target names for all entries together.
    pub limit: StatedLimit,
    /// How long the target stays cold, if it says so.
    pub cold_left: Option<Millis>,
    /// What the target announces about itself.
    pub signals: Signals,
    /// How long the target keeps an idle connection open.
    pub keep_alive: Option<Millis>,
}

/// Protocol of callers and targets.
pub trait Protocol: 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// The invalid header.
    fn decode_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// Builds the headers for a target, without hop-by-hop headers.
    fn target_headers(&self, caller: &HeaderMap, info: &TargetRequestInfo<'_>) -> HeaderMap;

    /// Decodes the head of a target's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseInfo;
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// The call had no effect: the store was not reached.
    Unreachable(String),
    /// The call had no effect: the store refused it.
    Refused(String),
    /// No response. A write may have been applied, or may be applied later.
    Unanswered(String),
    /// The store no longer keeps the changes since the given version.
    HistoryUnavailable,
    /// The response cannot be decoded. A write may have been applied.
    Malformed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "not reached: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Unanswered(why) => write!(f, "no answer: {why}"),
            Self::HistoryUnavailable => f.write_str("change history is no longer available"),
            Self::Malformed(why) => write!(f, "response cannot be decoded: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Outcome of a compare-and-swap write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Written {
    /// The write was applied; the record now has this version.
    Done(Version),
    /// The record has another version, or exists although it should not; nothing was written.
    /// Contains the current record if the store has returned it.
    Conflict(Option<(Version, Record)>),
}

/// Required freshness of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// Includes all preceding writes.
    Newest,
    /// May lack the writes of the last seconds; cheaper.
    SecondsOld,
}

/// The store: configuration, list of targets, evacuations, heartbeats of entries, and records of prepaid tokens.
#[allow(
    async_fn_in_trait,
    reason = "an entry runs on one thread, so futures need not be Send"
)]
pub trait Store: 'static {
    /// The newest era that an answer of the store has named, zero if none does; `None` before the first
    /// answer.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Reads the newest configuration, `None` if there is none yet, and the store's version.
    async fn configuration(&self) -> Result<(Option<Configuration>, Version), StoreError>;

    /// Waits up to `wait` for a configuration newer than `since`.
    async fn next_configuration(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Option<Configuration>, Version), StoreError>;

    /// Reads the list of targets and the store's version.
    async fn targets(&self) -> Result<(Vec<Change>, Version), StoreError>;

    /// Waits up to `wait` for changes of the list after `since`.
    async fn next_targets(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<Change>, Version), StoreError>;

    /// Reads the requested evacuations and the store's version.
    async fn evacuations(&self) -> Result<(Vec<cyc_evac::Change>, Version), StoreError>;

    /// Waits up to `wait` for changes of the requested evacuations after `since`.
    async fn next_evacuations(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<cyc_evac::Change>, Version), StoreError>;

    /// Reads the record of an account's prepaid tokens; no version if it does not exist.
    async fn prepaid_record(
        &self,
        account: &ClientAccountId,
    ) -> Result<(Option<Version>, Record), StoreError>;

    /// Writes the record of an account if its version is still the base version of `write`.
    async fn write_prepaid_record(&self, write: &RecordWrite) -> Result<Written, StoreError>;

    /// Reads the heartbeats of all entries, one of each.
    async fn heartbeats(&self, freshness: Freshness) -> Result<Vec<Heartbeat>, StoreError>;

    /// Writes the heartbeats of the entries that a process writes for: an entry its own one, or a
    /// store relay those of its entries. The process on `writer` is the only writer of its object.
    /// `is_known` tells whether the object exists as far as the process knows.
    async fn write_heartbeats(
        &self,
        writer: &VmId,
        heartbeats: &[Heartbeat],
        is_known: bool,
    ) -> Result<(), StoreError>;
}
