//! The RPC interfaces and messages between the product's own processes, carried by `jsonrpsee` over
//! WebSocket.
//!
//! Every call is idempotent: if the reply is lost, the caller may send it again.

pub mod link;
pub mod peer;
pub mod receipt;
pub mod serve;
pub mod sidecar;

pub use link::{Link, LinkError};
pub use receipt::{GrantId, Receipt};
pub use serve::{bind, serve};
