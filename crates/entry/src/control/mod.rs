//! The controllers: tasks that each keep one part of the state in step with the rest of the
//! system.

pub mod contacts;
pub mod follow;
pub mod heartbeat;
pub mod release;
pub mod vms;
