//! The process beside each target, through which all requests to the target go.
//!
//! It admits requests ([`admission`]), makes claims of non-idempotent requests durable before they
//! run, runs each request once ([`run`]) at its target ([`target`]), buffers the answer
//! ([`answer`]), and keeps the receipt until the ledger has it ([`table`]).

pub mod admission;
pub mod answer;
pub mod claims;
mod closed_attempts;
pub mod daemon;
pub mod load;
pub mod orders;
mod replay;
pub mod rpc;
pub mod run;
pub mod slots;
pub mod table;
pub mod target;

pub use admission::{Options, Sidecar};
