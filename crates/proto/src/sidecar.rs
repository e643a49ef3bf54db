//! RPC methods that sidecars serve to entries.

use cyc_types::{
    ClientAccountId, ErrorKind, Incarnation, Millis, Refusal, RequestId, Revision, ServiceId,
    TargetId, Tokens,
};
use jsonrpsee::{core::RpcResult, core::SubscriptionResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::receipt::{GrantId, Receipt};

/// The class of a route. Each class has its own concurrency pool.
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
pub enum RouteClass {
    /// Short status lookups that must always be answered.
    Status,
    /// Bookings, deposits and parts orders.
    Booking,
    /// Long generation by a model engine.
    Drafting,
}

/// The work that a target performs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A chat completion by a model engine.
    Chat {
        /// The request body, as JSON.
        body: String,
        /// The most tokens that the engine may generate.
        max_output: Tokens,
    },
    /// A call to a plain service.
    Call {
        /// The HTTP method.
        method: SmolStr,
        /// Path and query below the service, starting with `/`.
        path: String,
        /// Content type of the body, if any.
        content_type: Option<SmolStr>,
        /// The body, as text.
        body: String,
    },
}

/// Requests the run of a request, or joins the run if the sidecar already has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The request id, the same for every retry.
    pub request: RequestId,
    /// The entry incarnation that sends the attempt.
    pub entry: Incarnation,
    /// The sidecar incarnation that the attempt is addressed to; any other refuses it. This
    /// prevents a restarted sidecar, which has no record of the request, from treating it as new.
    pub sidecar: Incarnation,
    /// The attempt number. Together with `entry` it identifies one attempt.
    pub attempt: u64,
    /// The client account.
    pub account: ClientAccountId,
    /// The service.
    pub service: ServiceId,
    /// The route class, which selects the pool.
    pub class: RouteClass,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Hash of the work, to tell a retry from another request under the same idempotency key.
    pub fingerprint: u64,
    /// The grant that pays.
    pub grant: GrantId,
    /// The tokens reserved from the grant: the most that the request can use.
    pub reserved: Tokens,
    /// The claimant from which the entry could not get the answer. If its claim has a stored
    /// answer, this sidecar may return and bill that one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replay: Option<Incarnation>,
    /// Time that the caller still waits, counted down by the receiver's own clock.
    pub deadline: Millis,
    /// The work to perform.
    pub work: Work,
}

/// The reply to [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunReply {
    /// The request runs, or has run, under this attempt's grant.
    Started,
    /// The sidecar already has the request from another attempt; this attempt's reservation is not
    /// used.
    Joined,
    /// Refused. The outcome of the error kind tells whether the request may have run elsewhere.
    Refused(Refusal),
    /// Another sidecar incarnation holds the durable claim on the request; its answer has to be
    /// read there.
    ClaimedBy {
        /// The sidecar incarnation that holds the claim.
        sidecar: Incarnation,
        /// The target of that sidecar.
        target: TargetId,
    },
}

/// One frame of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Status and content type. Always the first frame, with sequence number 0.
    Head {
        /// The HTTP status code of the target's answer.
        status: u16,
        /// The content type.
        content_type: SmolStr,
    },
    /// A piece of text: generated text of a chat, or the body of a call's answer.
    Data {
        /// The text.
        text: String,
        /// The number of tokens in this piece.
        tokens: Tokens,
    },
    /// The end marker of a complete answer. Always the last frame.
    End {
        /// Prompt tokens, as counted by the target.
        prompt: Tokens,
        /// Generated tokens, as counted by the target.
        output: Tokens,
        /// Why the run ended, for example `stop` or `length`.
        reason: SmolStr,
        /// The receipt, if this run is billed.
        receipt: Option<Receipt>,
    },
    /// The end marker of a failed run. Always the last frame.
    Failed {
        /// The error.
        refusal: Refusal,
        /// The receipt, if part of the run is billed.
        receipt: Option<Receipt>,
    },
}

impl Frame {
    /// Returns true if the frame ends an answer.
    pub const fn is_end(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed { .. })
    }
}

/// Consecutive frames of one answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request that the frames belong to.
    pub request: RequestId,
    /// The run number, unique within the sidecar. A failed request may run again there; frames of
    /// different runs must never be combined.
    #[serde(default)]
    pub run: u64,
    /// The sequence number of the first frame.
    pub first: u64,
    /// The frames, in order and without gaps.
    pub frames: Vec<Frame>,
}

/// Requests the frames of an answer, starting at a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrom {
    /// The request.
    pub request: RequestId,
    /// The sequence number of the first frame wanted.
    pub from: u64,
}

/// Queries the outcome of an attempt. Unless the attempt has started a run there, the sidecar bars
/// it from running later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// The request.
    pub request: RequestId,
    /// The entry incarnation that sent the attempt; with `attempt` it identifies the attempt.
    pub entry: Incarnation,
    /// The attempt number.
    pub attempt: u64,
    /// The sidecar incarnation that the attempt was sent to.
    pub sidecar: Incarnation,
}

/// The reply to [`OutcomeQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeReply {
    /// The addressed sidecar incarnation has ended, and its runs with it. The attempt may have run.
    #[serde(rename = "gone")]
    SidecarEnded,
    /// The attempt has not started a run and is now barred: it will not run at this sidecar.
    Barred,
    /// The request waits for a claim or a slot; it may still run.
    Waiting,
    /// The request is running, or its answer is buffered.
    #[serde(rename = "here")]
    Present {
        /// True if the queried attempt started the run and is billed.
        mine: bool,
    },
    /// The run of this attempt has ended and is not billed.
    Unbilled,
    /// The request was refused and did not run here.
    NotRun(ErrorKind),
}

/// Queries whether the sidecar has a request. Bars nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindRequest {
    /// The request.
    pub request: RequestId,
}

/// Fences all incarnations of a VM below `lowest`, and requests the evidence of what they spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Incarnations of this VM with a smaller number are fenced.
    pub lowest: Incarnation,
}

/// The evidence that a reclaim needs from a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// The sidecar incarnation that replies. From now on it starts no run for fenced entries or
    /// fenced grants.
    pub sidecar: Incarnation,
    /// Unreleased receipts of fenced entries or from fenced grants.
    pub receipts: Vec<Receipt>,
    /// Runs of fenced entries or from fenced grants that have not ended.
    pub running: Vec<RunningReservation>,
}

/// The reservation of a run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningReservation {
    /// The request.
    pub request: RequestId,
    /// The grant that pays.
    pub grant: GrantId,
    /// The tokens reserved.
    pub reserved: Tokens,
}

/// Tells a sidecar that receipts are settled in the ledger and can be dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The entry incarnation that started the runs.
    pub entry: Incarnation,
    /// The requests whose receipts are settled.
    pub requests: Vec<RequestId>,
}

/// Cancels the run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
}

/// A heartbeat from an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry.
    pub entry: Incarnation,
    /// The configuration revision in force at the entry.
    pub revision: Revision,
    /// True if the VM list reports the sidecar's VM as leaving; the sidecar then drains.
    pub leaving: bool,
}

/// The reply to [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The sidecar incarnation.
    pub sidecar: Incarnation,
    /// The target beside the sidecar.
    pub target: TargetId,
    /// The configuration revision in force at the sidecar; if it is older than the entry's, the
    /// entry pushes its own.
    pub revision: Revision,
    /// True if the sidecar refuses new requests.
    pub draining: bool,
    /// The load of the target.
    pub load: LoadReport,
    /// Receipts of this entry that have not been released yet.
    pub receipts: Vec<Receipt>,
}

/// The load of a target, as measured by its sidecar.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Increases with each report of the sidecar.
    pub sequence: u64,
    /// Running requests per class, in the order of [`RouteClass`].
    pub running: [u32; 3],
    /// Queued requests per class, in the order of [`RouteClass`].
    pub queued: [u32; 3],
    /// Load reported by the target itself, in requests. Lags behind `running` and `queued`.
    pub reported: f64,
    /// Models currently loaded in the target.
    pub models: Vec<cyc_types::ModelId>,
    /// Hashes of prompt prefixes from the target's cache events. May be late and incomplete.
    pub prefixes: Vec<u64>,
}

/// Pushes the part of an accepted configuration that a sidecar needs, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPush {
    /// The configuration revision. A sidecar ignores a push that is not newer than its own.
    pub revision: Revision,
    /// The services part of the configuration, as JSON text.
    pub services: String,
}

/// RPC methods that a sidecar serves.
#[rpc(server, client, namespace = "sidecar")]
pub trait Sidecar {
    /// Runs a request or joins its run. Returns when the run has started or the request is refused.
    #[method(name = "run")]
    async fn run(&self, req: RunRequest) -> RpcResult<RunReply>;

    /// Streams the frames of an answer until its end marker.
    #[subscription(name = "answer" => "frames", unsubscribe = "answer_end", item = Chunk)]
    async fn answer(&self, req: AnswerFrom) -> SubscriptionResult;

    /// Returns the outcome of an attempt, and bars the attempt unless it has started a run.
    #[method(name = "outcome")]
    async fn outcome(&self, req: OutcomeQuery) -> RpcResult<OutcomeReply>;

    /// Returns whether a request waits, runs or has an answer here, so that a retry would join it.
    #[method(name = "find")]
    async fn find(&self, req: FindRequest) -> RpcResult<bool>;

    /// Cancels a run; what it has used so far is billed. Returns true if it had not ended.
    #[method(name = "cancel")]
    async fn cancel(&self, req: CancelRequest) -> RpcResult<bool>;

    /// Fences old incarnations and returns evidence for the reclaim.
    #[method(name = "fence")]
    async fn fence(&self, req: FenceRequest) -> RpcResult<FenceReply>;

    /// Drops receipts that are in the ledger.
    #[method(name = "release")]
    async fn release(&self, req: ReleaseRequest) -> RpcResult<()>;

    /// Exchanges state with an entry.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, req: Heartbeat) -> RpcResult<HeartbeatReply>;

    /// Applies a newer configuration. Returns the revision in force afterwards.
    #[method(name = "configure")]
    async fn configure(&self, req: ConfigPush) -> RpcResult<Revision>;

    /// Returns all fences known to this sidecar, for a peer that starts while the platform is
    /// unavailable.
    #[method(name = "fences")]
    async fn fences(&self) -> RpcResult<Vec<Incarnation>>;
}
