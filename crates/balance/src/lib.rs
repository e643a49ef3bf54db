//! Target selection of an entry. All modules decide on plain inputs, without I/O or a clock.
//!
//! [`choose`] selects a target, [`group`] and [`affinity`] narrow the choice of a large service,
//! [`lane`] sets targets aside for short prompts,
//! [`speed`] learns the speed of targets, [`decay`] averages over time, and [`prompt`] contains the prompts of requests.

pub mod affinity;
pub mod choose;
pub mod decay;
pub mod group;
pub mod lane;
pub mod prompt;
pub mod speed;
