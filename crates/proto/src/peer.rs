//! RPC methods that entries serve to each other and to the operators' command.

use cyc_types::{BudgetId, Incarnation, Revision, Tokens};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::receipt::GrantId;

/// Requests tokens of a budget from a peer while the platform is unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendRequest {
    /// The entry that requests the loan.
    pub borrower: Incarnation,
    /// The loan number, unique within the borrower. A repeated call returns the same loan.
    pub loan: u64,
    /// The budget of the tokens.
    pub budget: BudgetId,
    /// The tokens wanted.
    pub want: Tokens,
    /// The smallest loan that is useful to the borrower.
    pub least: Tokens,
}

/// The reply to [`LendRequest`]. The lender debits the loan before it replies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendReply {
    /// The grant that the tokens come from; `None` if nothing was lent.
    pub grant: Option<GrantId>,
    /// The tokens lent; zero if the lender has none to spare.
    pub lent: Tokens,
}

/// Repays the rest of a loan. The borrower debits it before it sends this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepayRequest {
    /// The entry that borrowed.
    pub borrower: Incarnation,
    /// The repayment number, unique within the borrower. A repeated call has no further effect.
    pub repayment: u64,
    /// The grant that the tokens were lent from.
    pub grant: GrantId,
    /// The tokens repaid.
    pub tokens: Tokens,
}

/// A configuration in force at a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The revision; zero if the peer has none.
    pub revision: Revision,
    /// The head object, as JSON text.
    pub head: String,
    /// The parts by name, as JSON text.
    pub parts: Vec<ConfigPart>,
}

/// One part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// The name of the part.
    pub name: SmolStr,
    /// The revision that last changed it.
    pub revision: Revision,
    /// Its value, as JSON text.
    pub body: String,
}

/// Requests the configuration if it is newer than `have`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The revision in force at the caller; zero if there is none.
    pub have: Revision,
}

/// The state of an entry, for `cyclamen status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: Incarnation,
    /// The configuration revision in force.
    pub revision: Revision,
    /// True if the entry refuses new requests.
    pub draining: bool,
    /// Handlers and tasks of requests in flight; one request may count several times.
    pub in_flight: u64,
    /// Unreserved tokens in the entry's grants.
    pub idle: Tokens,
    /// Tokens reserved by requests in flight.
    pub reserved: Tokens,
    /// Receipts that are not settled in the ledger yet.
    pub unflushed: u64,
    /// The sidecars that this entry knows.
    pub sidecars: Vec<SidecarStatus>,
}

/// The state of a sidecar, as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarStatus {
    /// The target.
    pub target: cyc_types::TargetId,
    /// The sidecar incarnation, if it has answered a heartbeat.
    pub sidecar: Option<Incarnation>,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// True if new requests are not sent there.
    pub draining: bool,
    /// True if the last heartbeat was answered.
    pub reachable: bool,
}

/// RPC methods that an entry serves.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Lends tokens from a grant of this entry.
    #[method(name = "lend")]
    async fn lend(&self, req: LendRequest) -> RpcResult<LendReply>;

    /// Accepts the repayment of a loan.
    #[method(name = "repay")]
    async fn repay(&self, req: RepayRequest) -> RpcResult<()>;

    /// Returns the configuration in force here if it is newer than the caller's.
    #[method(name = "config")]
    async fn config(&self, req: ConfigRequest) -> RpcResult<Option<ConfigSnapshot>>;

    /// Returns the state of this entry.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<EntryStatus>;
}
