//! An entry that reaches its targets directly over HTTP.
//!
//! Decisions stand in modules without network: [`config`] selects the route and the account,
//! [`member`] says which targets exist, [`peers`] which entries run, [`share`] keeps the prepaid tokens of this entry,
//! [`choose`] selects the target, [`repeat`] bounds what is sent a second time, [`event`] splits
//! and checks event streams. [`proxy`] carries a request through them, [`control`] keeps the
//! state, and [`port`] holds the traits behind which the wire and the store are spoken.

pub mod answer;
pub mod call;
pub mod choose;
pub mod config;
pub mod conn;
pub mod control;
pub mod daemon;
pub mod event;
pub mod fleet;
pub mod member;
pub mod peers;
pub mod port;
pub mod proxy;
pub mod repeat;
pub mod serve;
pub mod share;
pub mod state;
pub mod stop;
pub mod stream;
pub mod subset;

pub use daemon::{Settings, run};
