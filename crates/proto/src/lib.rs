//! The typed messages between the product's own processes, carried by `jsonrpsee` over websockets.
//!
//! Every call is idempotent: a caller that lost the answer may send it again.

pub mod link;
pub mod peer;
pub mod receipt;
pub mod serve;
pub mod sidecar;

pub use link::{Link, LinkError};
pub use receipt::{GrantId, Receipt};
pub use serve::{bind, serve};
