//! Routing decisions on in-memory state. This crate does no I/O.
//!
//! [`mod@candidates`] and [`mod@choose`] rank the targets for a request, based on the state in
//! [`target`]. [`pool`] limits concurrent requests, [`health`] ejects failing targets, and
//! [`retry`] limits retries and times hedged requests.

pub mod candidates;
pub mod choose;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod retry;
pub mod target;

pub use candidates::candidates;
pub use choose::{Options, RoutingRequest, Rule, choose};
pub use health::{Availability, Failure, Health};
pub use pool::{Permit, Pool, Pools};
pub use prefix::PrefixCache;
pub use retry::{Hedge, RetryBudget};
pub use target::{Load, Target};
