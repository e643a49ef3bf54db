//! The operators' configuration: the document and its validation, the objects that store it in
//! the platform, and a builder for documents written in Rust.
//!
//! A document is accepted by one conditional update of the head object ([`store::submit`]). A
//! process keeps the newest configuration that it has received in a [`Latest`] cell, which ignores
//! revisions that are not larger than the current one.

pub mod account;
pub mod builder;
mod check;
pub mod document;
pub mod latest;
pub mod part;
pub mod problem;
pub mod route;
pub mod service;
pub mod snapshot;
pub mod store;
pub mod target;

pub use account::{Account, ApiKey, KeyDigest};
pub use builder::Builder;
pub use document::Document;
pub use latest::{CurrentConfig, CurrentServices, HasRevision, Latest};
pub use part::{Head, Part, PartRef};
pub use problem::Problem;
pub use route::{CHAT_METHOD, CHAT_PATH, Route, RoutePath};
pub use service::{Objective, Policy, Retry, Service, ServiceKind, Services};
pub use snapshot::{Accounts, KeyOwner, LoadError, ServicesSnapshot, Snapshot};
pub use store::SubmitError;
pub use target::{EngineRole, EngineState, Slots, Target};
