//! A discrete-event simulation of callers, entries, batching engines and plain services.
//!
//! The simulated entries call the code of [`cyc_gateway`] for the choice of a target, the retry
//! budget and the health of targets. Everything else is modelled: engines with chunked prefill and
//! a prefix cache, plain services with a queue, and callers whose load has bursts and shared
//! prefixes and who retry after refusals.
//!
//! [`scenario`] parses scenario files, [`sim::run`] runs a scenario with one seed under one policy,
//! and [`experiment`] compares policies over several seeds.

pub mod engine;
pub mod entry;
pub mod experiment;
pub mod plain;
pub mod plot;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod sim;
pub mod traffic;

pub use entry::Policy;
pub use scenario::Scenario;
