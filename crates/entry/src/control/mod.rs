//! The controllers: background tasks that each synchronize one part of the state with the platform,
//! the sidecars or the peers.

pub mod config_watch;
pub mod contacts;
pub mod gauges;
pub mod heartbeat;
pub mod loans;
pub mod merge;
pub mod reclaim;
pub mod release;
pub mod schedule;
pub mod vms;
