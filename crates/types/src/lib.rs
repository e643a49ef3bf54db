//! Identifiers, sizes, rates, the clock and the error kinds that all other crates use.
//!
//! This crate does no I/O. Identifiers, sizes and rates implement [`std::fmt::Display`] and
//! [`std::str::FromStr`]. Identifiers serialize as their text form, sizes and rates as a number.

pub mod backoff;
pub mod clock;
pub mod decay;
pub mod error;
pub mod hash;
pub mod id;
pub mod key;
pub mod size;

pub use backoff::Backoff;
pub use clock::{Clock, Millis};
pub use decay::DecayingSum;
pub use error::{ErrorKind, Outcome, Refusal};
pub use id::{
    AvailabilityZone, BudgetId, ClientAccountId, IdempotencyKey, Incarnation, ModelId, RequestId,
    ServiceId, TargetId, VmId,
};
pub use key::ProcessKey;
pub use size::{ByteSize, Era, PerSecond, Revision, Tokens, Version};
