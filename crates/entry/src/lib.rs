//! The entry process, which accepts callers' requests and forwards them to targets.
//!
//! Requests arrive through [`api`], pass the filters of [`chain`] and are sent to targets by
//! [`forward`] and [`attempt`]; [`relay`] reads the answers. [`pending`] keeps the reservation of
//! each attempt until its outcome is known, and hands receipts to the ledger. The background tasks
//! in [`control`] synchronize the process with the platform, the sidecars and its peers.

pub mod api;
pub mod app;
pub mod attempt;
pub mod chain;
pub mod control;
pub mod cx;
pub mod daemon;
pub mod fleet;
pub mod forward;
pub mod hedge;
pub mod listen;
pub mod observe;
pub mod peer;
pub mod pending;
pub mod relay;

pub use app::{App, Options};
