//! Prepaid budgets: the shards stored in the platform, the wallet of an entry with the tokens drawn
//! from the shards, and the controller that moves tokens between the two.
//!
//! Invariant of every budget, after every operation: `settled + sum(grant.amount) <= paid`.

mod batch;
pub mod close;
pub mod controller;
mod loan;
pub mod op;
pub mod policy;
mod rate;
pub mod shard;
pub mod shortfall;
pub mod top_up;
pub mod wallet;
pub mod wallet_handle;

pub use close::CloseReport;
pub use controller::{BudgetController, RecordSummary};
pub use op::{Applied, Op, OpError, apply};
pub use policy::Policy;
pub use shard::{Grant, Record, SHARDS, Shard, TopUp, shard_of};
pub use shortfall::Shortfall;
pub use top_up::{Payment, TopUpError, top_up};
pub use wallet::{Reservation, ReserveOutcome, Wallet};
pub use wallet_handle::WalletHandle;
