//! The callers' HTTP API.

pub mod call;
pub mod chat;
pub mod headers;
pub mod problem;
pub mod server;
