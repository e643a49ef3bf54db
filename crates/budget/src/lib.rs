//! Budgets held in escrow: the shards in the platform, the wallet of an entry and the controller
//! that moves tokens between the two.
//!
//! Invariant of every budget, after every operation: `settled + sum(grant.amount) <= paid`.

mod batch;
pub mod close;
pub mod keeper;
pub mod lack;
mod loan;
pub mod op;
pub mod policy;
pub mod purse;
mod rate;
pub mod shard;
pub mod top_up;
pub mod wallet;

pub use close::CloseReport;
pub use keeper::{Keeper, Known};
pub use lack::Lack;
pub use op::{Applied, Op, OpError, apply};
pub use policy::Policy;
pub use purse::Purse;
pub use shard::{Grant, Record, SHARDS, Shard, TopUp, shard_of};
pub use top_up::{Payment, TopUpError, top_up};
pub use wallet::{Reservation, Reserve, Wallet};
