//! Stand-ins for the external systems of the product: the platform, model engines and plain
//! services.
//!
//! Each is available as a library for in-process tests and as a program for multi-process tests.
//! All keep their state in memory and inject faults that can be changed at run time. [`relay`] and
//! [`process`] are for tests only.

pub mod client;
pub mod engine;
pub mod lagged;
pub mod platform;
pub mod process;
pub mod relay;
pub mod serve;
pub mod service;
pub mod store;
