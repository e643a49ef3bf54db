//! The operators' configuration: the document, its checks, its parts in the platform, and the
//! builder that operators write it with.
//!
//! A document is accepted by one conditional update of the head object ([`store::submit`]). A
//! process holds the newest configuration it has seen in a [`Latest`] cell, which never goes back
//! to a smaller revision.

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
pub use latest::{InForce, Latest, Revised, ServicesInForce};
pub use part::{Head, Part, PartRef};
pub use problem::Problem;
pub use route::{CHAT_METHOD, CHAT_PATH, Route, RoutePath};
pub use service::{Objective, Policy, Retry, Service, ServiceKind, Services};
pub use snapshot::{Accounts, KeyOwner, LoadError, ServicesSnapshot, Snapshot};
pub use store::SubmitError;
pub use target::{EngineRole, EngineState, Slots, Target};
