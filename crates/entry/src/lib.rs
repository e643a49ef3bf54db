//! The process on each entry VM.
//!
//! A request comes in at [`api`], passes the filters of [`chain`], is sent to targets by
//! [`forward`] and [`attempt`], and its answer comes back through [`relay`]. What it used is
//! settled in [`books`]. The tasks in [`control`] keep the rest of the state in step.

pub mod api;
pub mod app;
pub mod attempt;
pub mod books;
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
pub mod relay;

pub use app::{App, Options};
