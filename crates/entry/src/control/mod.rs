//! The controllers: tasks that each keep one part of the state in step with the rest of the
//! system.

pub mod contacts;
pub mod duty;
pub mod follow;
pub mod gauges;
pub mod heartbeat;
pub mod lend;
pub mod merge;
pub mod reclaim;
pub mod release;
pub mod vms;
