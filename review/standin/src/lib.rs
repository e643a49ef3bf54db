//! Stand-ins for the cases of the review: the platform's store, engines, clients, and the links
//! between them. Only the standard library is used.

pub mod client;
pub mod engine;
pub mod http;
pub mod json;
pub mod proxy;
pub mod store;
pub mod world;
