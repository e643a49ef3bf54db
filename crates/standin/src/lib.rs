//! Stand-ins for what the product meets: the platform, model engines and plain services.
//!
//! Each is a library for tests in one process and a program for tests with real processes. All
//! keep their state in memory and have faults that can be switched at run time. [`relay`] and
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
