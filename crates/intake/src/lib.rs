//! Overload of an entry by its own callers. This crate does no I/O and has no clock of its own.
//!
//! [`Link`] measures how full the link of the entry is, [`Accounts`] which client account sends more
//! than its usual share, and [`Readiness`] whether the entry leaves the platform's rotation.
//! [`Intake`] combines them: it decides about each new request, about readiness, and about closing
//! callers' connections. It is evaluated when requests arrive and when readiness is asked.

mod accounts;
mod intake;
mod link;
mod readiness;

pub use accounts::{Accounts, MAX_ACCOUNTS};
pub use intake::{Arrival, Change, Intake, Rejection};
pub use link::{Direction, Link, LinkRate};
pub use readiness::{Readiness, ReturnReason};
