//! The traits behind which callers, targets and the store are spoken to.

use cyc_types::{ClientAccountId, Millis, TargetId, Version};
use http::{HeaderMap, request, response};
use smol_str::SmolStr;

use crate::{
    call::Call,
    config::Configuration,
    fleet::Load,
    member::Change,
    peers::Sign,
    share::{Plan, Record},
};

/// What is wrong with the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadCall {
    /// The header.
    pub field: &'static str,
    /// Its value, or why there is none.
    pub value: SmolStr,
}

/// What a request to a target says beyond the caller's own words.
#[derive(Debug, Clone)]
pub struct Sending<'a> {
    /// The target that is meant; any other one must refuse.
    pub target: &'a TargetId,
    /// The time that is left for the answer.
    pub left: Millis,
    /// The account that pays.
    pub account: Option<&'a ClientAccountId>,
    /// 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The stream goes on after this event.
    pub resume_after: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The attempt that the answer belongs to.
    pub id: Option<SmolStr>,
    /// The answer bears the target's signature.
    pub is_signed: bool,
    /// The target says that it has not run the request.
    pub is_not_run: bool,
    /// The address belongs to another target, which has not run the request.
    pub is_misdirected: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// How long the target keeps the connection open while it is idle.
    pub keep_alive: Option<Millis>,
}

/// The protocol of callers and targets.
pub trait Wire: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// The header that cannot be used.
    fn decode_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// Returns the headers for a target, without those that concern one connection.
    fn target_headers(&self, caller: &HeaderMap, sending: &Sending<'_>) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn decode_answer(&self, head: &response::Parts) -> AnswerFacts;
}

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it refused the call, or the call was not sent.
    Refused(String),
    /// No answer came. A write may have been made, or may be made later.
    Unanswered(String),
    /// The changes since the given version are no longer known.
    HistoryGone,
    /// The answer cannot be read. A write may have been made.
    Malformed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Unanswered(why) => write!(f, "no answer: {why}"),
            Self::HistoryGone => f.write_str("the history is gone"),
            Self::Malformed(why) => write!(f, "the answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The record has this version now.
    Done(Version),
    /// The record has another version, or it exists already; nothing was written. The record as
    /// it is, if the store has sent it.
    Conflict(Option<(Version, Record)>),
}

/// How old an answer of the store may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It holds everything that was written before.
    Newest,
    /// It may lack the writes of the last seconds, and is cheaper.
    SecondsOld,
}

/// The store: configuration, list of targets, entries and the records of prepaid tokens.
#[allow(
    async_fn_in_trait,
    reason = "an entry runs on one thread, so futures need not be Send"
)]
pub trait Store: 'static {
    /// Reads the newest configuration, `None` if there is none yet, and the store's version.
    async fn configuration(&self) -> Result<(Option<Configuration>, Version), StoreError>;

    /// Waits up to `wait` for a newer configuration after `since`.
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

    /// Reads the record of an account's prepaid tokens; no version if there is none.
    async fn share(
        &self,
        account: &ClientAccountId,
    ) -> Result<(Option<Version>, Record), StoreError>;

    /// Writes the record of an account if it has the version that the plan is based on.
    async fn write_share(&self, plan: &Plan) -> Result<Written, StoreError>;

    /// Reads the signs of all entries.
    async fn signs(&self, freshness: Freshness) -> Result<Vec<Sign>, StoreError>;

    /// Writes the sign of this entry, whose only writer it is. `is_known` tells whether the store
    /// had one when it was last read.
    async fn write_sign(&self, sign: &Sign, is_known: bool) -> Result<(), StoreError>;
}
