//! A model of callers, entries, batching engines and plain services, driven by its own clock.
//!
//! The entries run the decisions of [`cyc_gateway`] itself: the choice of a target, the bound on
//! repeats, the health of targets. Everything else is modelled: engines that read prompts in
//! steps beside running streams and keep common starts cached, services with a queue, callers
//! that come in bursts, ask about the same things and come back after a refusal.
//!
//! [`scenario`] reads what is modelled, [`run`](sim::run) plays one seed of it under one policy, and
//! [`experiment`] compares policies over seeds.

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
