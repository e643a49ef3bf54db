//! The HTTP API for callers.

pub mod call;
pub mod chat;
pub mod headers;
pub mod problem;
pub mod server;
