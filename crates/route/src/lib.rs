//! Routing decisions with plain inputs. Nothing here does I/O.
//!
//! [`mod@candidates`] and [`mod@choose`] decide which targets a request goes to, from what
//! [`target`] knows of each. [`pool`] bounds how many requests run at a time, [`health`] decides
//! which targets are ejected, [`retry`] when to send a request again.

pub mod candidates;
pub mod choose;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod retry;
pub mod target;

pub use candidates::candidates;
pub use choose::{Ask, Options, Rule, choose};
pub use health::{Failure, Health, Standing};
pub use pool::{Permit, Pool, Pools};
pub use prefix::PrefixCache;
pub use retry::{Hedge, RetryBudget};
pub use target::{Load, Target};
