//! Calls between entries.

use cyc_types::{BudgetId, Incarnation, Revision, Tokens};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::receipt::GrantId;

/// Asks a peer for tokens of a budget while the platform is out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendRequest {
    /// The entry that asks.
    pub borrower: Incarnation,
    /// Number of the loan within the borrower; a repeated call returns the same loan.
    pub loan: u64,
    /// The budget.
    pub budget: BudgetId,
    /// The tokens wanted.
    pub want: Tokens,
    /// The fewest tokens that help.
    pub least: Tokens,
}

/// The donor's answer. The donor has debited the loan before it answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendReply {
    /// The grant that the tokens come from, if there is a loan.
    pub grant: Option<GrantId>,
    /// The tokens lent; zero if the donor has none to spare.
    pub lent: Tokens,
}

/// Gives back what is left of a loan. The borrower has debited it before it sends this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepayRequest {
    /// The entry that borrowed.
    pub borrower: Incarnation,
    /// Number of the repayment within the borrower; a repeated call has no further effect.
    pub repayment: u64,
    /// The grant.
    pub grant: GrantId,
    /// The tokens given back.
    pub tokens: Tokens,
}

/// A configuration that is in force at a peer.
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

/// Asks for the configuration if it is newer than `have`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The revision that the caller has; zero for none.
    pub have: Revision,
}

/// The state of an entry, for `cyclamen status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: Incarnation,
    /// The configuration revision in force.
    pub revision: Revision,
    /// True if the entry takes no new work.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Tokens held in grants and not reserved.
    pub idle: Tokens,
    /// Tokens reserved by requests in flight.
    pub reserved: Tokens,
    /// Receipts that are not in the ledger yet.
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
    /// True if it takes no new work.
    pub draining: bool,
    /// True if the last heartbeat was answered.
    pub reachable: bool,
}

/// Calls that an entry serves to its peers.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Lends tokens.
    #[method(name = "lend")]
    async fn lend(&self, req: LendRequest) -> RpcResult<LendReply>;

    /// Takes back tokens.
    #[method(name = "repay")]
    async fn repay(&self, req: RepayRequest) -> RpcResult<()>;

    /// Returns the configuration in force here if it is newer.
    #[method(name = "config")]
    async fn config(&self, req: ConfigRequest) -> RpcResult<Option<ConfigSnapshot>>;

    /// Returns the state of this entry.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<EntryStatus>;
}
