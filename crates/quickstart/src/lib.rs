//! Runs a whole deployment as separate processes on loopback: stand-ins, sidecars and entries.
//!
//! Used only by the quick start, the measurements and the end-to-end tests; no process of the
//! product starts another.

pub mod caller;
pub mod deploy;
pub mod layout;
pub mod load;

pub use caller::{Caller, Reply};
pub use deploy::{Deployment, Error};
pub use layout::{Layout, TargetKind};
