//! The process beside each target, and the only door to it.
//!
//! It admits requests ([`admission`]), makes claims of non-idempotent requests durable before they
//! run, runs each request once ([`run`]) at its target ([`target`]), buffers the answer
//! ([`answer`]), and keeps the bill until the ledger has it ([`table`]).

pub mod admission;
pub mod answer;
pub mod claims;
pub mod daemon;
pub mod load;
mod over;
mod replay;
pub mod rpc;
pub mod run;
pub mod slots;
pub mod table;
pub mod target;

pub use admission::{Options, Sidecar};
