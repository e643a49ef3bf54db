//! Calls from an entry to a sidecar.

use cyc_types::{
    ClientAccountId, ErrorKind, Incarnation, Millis, Refusal, RequestId, Revision, ServiceId,
    TargetId, Tokens,
};
use jsonrpsee::{core::RpcResult, core::SubscriptionResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::receipt::{GrantId, Receipt};

/// The class of a route. Each class has a concurrency pool of its own.
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
    /// Short look-ups that must always answer.
    Status,
    /// Bookings, deposits and parts orders.
    Booking,
    /// Long generation by a model engine.
    Drafting,
}

/// What the target is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A chat completion by a model engine; the body is the caller's JSON.
    Chat {
        /// The caller's JSON body.
        body: String,
        /// The most tokens that the engine may generate.
        max_output: Tokens,
    },
    /// A call of a plain service.
    Call {
        /// HTTP method.
        method: SmolStr,
        /// Path and query below the service, starting with `/`.
        path: String,
        /// Content type of the body, if any.
        content_type: Option<SmolStr>,
        /// The body, as text.
        body: String,
    },
}

/// Asks a sidecar to run a request, or to join the run that it already has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The request, the same for every retry.
    pub request: RequestId,
    /// The entry incarnation that asks.
    pub entry: Incarnation,
    /// The sidecar incarnation that is asked; any other refuses. So a request that may have
    /// reached a sidecar is never taken for one that its successor has not seen.
    pub sidecar: Incarnation,
    /// Number of the attempt within this entry; with `entry` it names one attempt.
    pub attempt: u64,
    /// The client account.
    pub account: ClientAccountId,
    /// The service.
    pub service: ServiceId,
    /// The class, which chooses the pool.
    pub class: RouteClass,
    /// True if the request may be run more than once.
    pub idempotent: bool,
    /// Hash of the body, to tell a retry from another request under the same key.
    pub fingerprint: u64,
    /// The grant that pays.
    pub grant: GrantId,
    /// The tokens reserved from the grant: the worst case of the request.
    pub reserved: Tokens,
    /// The claimant from which the entry could not get the answer: if its claim has a stored
    /// answer, that may be given and billed here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replay: Option<Incarnation>,
    /// How long the caller still waits. It is counted down by the receiver's own clock.
    pub deadline: Millis,
    /// What the target does.
    pub work: Work,
}

/// The sidecar's answer to [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunReply {
    /// The request runs under this attempt's grant, or has run.
    Started,
    /// The request was already here under another attempt; this attempt's reservation is free.
    Joined,
    /// Refused; the kind's outcome says whether it may have run elsewhere.
    Refused(Refusal),
    /// A durable claim of another sidecar incarnation exists; ask that one.
    ClaimedBy {
        /// The sidecar incarnation that claimed the request.
        sidecar: Incarnation,
        /// The target of that sidecar.
        target: TargetId,
    },
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Status and content type; always the first frame (sequence number 0).
    Head {
        /// HTTP status code of the target's answer.
        status: u16,
        /// Content type.
        content_type: SmolStr,
    },
    /// A piece of text: generated text of a chat, or the body of a call.
    Data {
        /// The text.
        text: String,
        /// Tokens that this piece stands for.
        tokens: Tokens,
    },
    /// The end marker; always the last frame.
    End {
        /// Prompt tokens, as the target counted them.
        prompt: Tokens,
        /// Generated tokens, as the target counted them.
        output: Tokens,
        /// Why the run ended, for example `stop` or `length`.
        reason: SmolStr,
        /// The bill, if this run is billed.
        receipt: Option<Receipt>,
    },
    /// The end marker of a run that failed.
    Failed {
        /// What happened.
        refusal: Refusal,
        /// The bill, if part of the run is billed.
        receipt: Option<Receipt>,
    },
}

impl Frame {
    /// Returns true for the frames that end an answer.
    pub const fn is_end(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed { .. })
    }
}

/// Consecutive frames of one answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request that the frames belong to.
    pub request: RequestId,
    /// Number of the run within the sidecar. A request that failed may run again there; the
    /// frames of two runs are never put together.
    #[serde(default)]
    pub run: u64,
    /// Sequence number of the first frame.
    pub first: u64,
    /// The frames, in order, without gaps.
    pub frames: Vec<Frame>,
}

/// Asks for the frames of an answer from a sequence number on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrom {
    /// The request.
    pub request: RequestId,
    /// The sequence number of the first frame wanted.
    pub from: u64,
}

/// Asks what became of an attempt, and bars it if the sidecar has not seen it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// The request.
    pub request: RequestId,
    /// The entry incarnation of the attempt; with `attempt` it names what is barred.
    pub entry: Incarnation,
    /// The attempt.
    pub attempt: u64,
    /// The sidecar incarnation that the attempt was sent to.
    pub sidecar: Incarnation,
}

/// What a sidecar knows of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeReply {
    /// The incarnation that was asked has ended, with all its runs. They may have run.
    Gone,
    /// Not seen, and the attempt is barred now: it will not run here.
    Barred,
    /// Waiting for a claim or a slot; it may still run.
    Waiting,
    /// Running, or finished and buffered.
    Here {
        /// True if the attempt that was asked about is the one that runs and is billed.
        mine: bool,
    },
    /// Finished, and nothing is billed for it.
    Unbilled,
    /// Refused, not run here.
    NotRun(ErrorKind),
}

/// Asks whether a request is here, without barring anything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindRequest {
    /// The request.
    pub request: RequestId,
}

/// Fences every incarnation of a VM below `lowest` and asks for its receipts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The fenced incarnations: those of this VM with a smaller number.
    pub lowest: Incarnation,
}

/// Evidence for a reclaim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// The sidecar incarnation that answers; it starts nothing more for what is fenced.
    pub sidecar: Incarnation,
    /// Receipts of fenced entries or from fenced grants that nobody has released yet.
    pub receipts: Vec<Receipt>,
    /// Runs that go on, with their grants and reservations.
    pub running: Vec<RunningHold>,
}

/// A reservation of a run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningHold {
    /// The request.
    pub request: RequestId,
    /// The grant that pays.
    pub grant: GrantId,
    /// The tokens reserved.
    pub reserved: Tokens,
}

/// Tells a sidecar that the ledger has these receipts, so that it may drop them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The entry incarnation that started the runs.
    pub entry: Incarnation,
    /// The requests whose receipts are settled.
    pub requests: Vec<RequestId>,
}

/// Cancels a run on behalf of the entry that started it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
}

/// A sign of life from an entry, with what the sidecar should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry.
    pub entry: Incarnation,
    /// The configuration revision in force at the entry.
    pub revision: Revision,
    /// True if the VM list says that the sidecar's VM is leaving.
    pub leaving: bool,
}

/// What a sidecar reports to each entry that sends heartbeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The sidecar.
    pub sidecar: Incarnation,
    /// Its target.
    pub target: TargetId,
    /// The configuration revision in force at the sidecar; the entry sends a newer one.
    pub revision: Revision,
    /// True if the sidecar takes no new work.
    pub draining: bool,
    /// The load of the target.
    pub load: LoadReport,
    /// Receipts of this entry that it has not released yet.
    pub receipts: Vec<Receipt>,
}

/// The load of a target, as its sidecar sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Grows with each report of the sidecar.
    pub sequence: u64,
    /// Requests that run, by class in the order of [`RouteClass`].
    pub running: [u32; 3],
    /// Requests that wait, by class in the order of [`RouteClass`].
    pub queued: [u32; 3],
    /// Load that the target itself reports, in requests; it lags.
    pub reported: f64,
    /// Models loaded in the target.
    pub models: Vec<cyc_types::ModelId>,
    /// Hashes of prompt prefixes that the target's cache events name; late and with gaps.
    pub prefixes: Vec<u64>,
}

/// Sends the part of an accepted configuration that a sidecar needs, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPush {
    /// The revision. A sidecar ignores one that is not larger than its own.
    pub revision: Revision,
    /// The services part of the document, as JSON text.
    pub services: String,
}

/// Calls that a sidecar serves.
#[rpc(server, client, namespace = "sidecar")]
pub trait Sidecar {
    /// Runs a request or joins its run. Returns when it has started or is refused.
    #[method(name = "run")]
    async fn run(&self, req: RunRequest) -> RpcResult<RunReply>;

    /// Streams the frames of an answer until its end marker.
    #[subscription(name = "answer" => "frames", unsubscribe = "answer_end", item = Chunk)]
    async fn answer(&self, req: AnswerFrom) -> SubscriptionResult;

    /// Tells what became of an attempt; one that was not seen is barred.
    #[method(name = "outcome")]
    async fn outcome(&self, req: OutcomeQuery) -> RpcResult<OutcomeReply>;

    /// Tells whether a request waits, runs or is buffered here.
    #[method(name = "find")]
    async fn find(&self, req: FindRequest) -> RpcResult<bool>;

    /// Cancels a run; what it has used so far is billed. Answers true if it was running.
    #[method(name = "cancel")]
    async fn cancel(&self, req: CancelRequest) -> RpcResult<bool>;

    /// Fences old incarnations and hands over evidence.
    #[method(name = "fence")]
    async fn fence(&self, req: FenceRequest) -> RpcResult<FenceReply>;

    /// Drops receipts that the ledger has.
    #[method(name = "release")]
    async fn release(&self, req: ReleaseRequest) -> RpcResult<()>;

    /// Exchanges signs of life.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, req: Heartbeat) -> RpcResult<HeartbeatReply>;

    /// Puts a newer configuration in force.
    #[method(name = "configure")]
    async fn configure(&self, req: ConfigPush) -> RpcResult<Revision>;

    /// Returns all fences that this sidecar knows, for a peer that starts without the platform.
    #[method(name = "fences")]
    async fn fences(&self) -> RpcResult<Vec<Incarnation>>;
}
