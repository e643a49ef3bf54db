//! An entry that connects to its targets directly over HTTP.
//!
//! Modules that decide without I/O: [`config`] selects the route and the account, [`member`] lists
//! the targets, [`peers`] the running entries, [`store_health`] whether the store answers, [`prepaid`] (a crate
//! of its own) manages prepaid tokens, [`fleet`] tracks
//! the state of each target, [`group`] and [`affinity`] narrow the choice of a large service,
//! [`choose`] selects a target, [`intake`] applies what an overloaded entry decides, [`crash`] refuses prompts that crash targets, [`news`] spreads what
//! one entry has learnt to the others, [`retry_budget`] limits retries, [`buffer`] bounds the memory of incomplete answers, [`crowd`] the connections of callers, and
//! [`event`] splits event streams. [`proxy`] takes a request through them, [`stream`] relays the
//! response, [`control`] maintains the state, and [`port`] contains the traits for the protocol and
//! the store.

pub mod answer;
pub mod buffer;
pub mod call;
pub mod config;
pub mod conn;
pub mod control;
pub mod crash;
pub mod crowd;
pub mod daemon;
pub mod event;
pub mod fleet;
pub mod intake;
pub mod limit;
pub mod member;
pub mod news;
pub mod peers;
pub mod port;
pub mod proxy;
pub mod retry_budget;
pub mod serve;
pub mod shutdown;
pub mod state;
pub mod store_health;
pub mod stream;

pub use cyc_balance::{
    affinity, choose, decay, evenness, group, lane, load, service, speed, timely,
};
/// Decisions on prepaid tokens.
pub use cyc_prepaid as prepaid;
pub use daemon::{Settings, run};
