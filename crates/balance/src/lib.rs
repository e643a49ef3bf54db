//! Target selection of an entry. All modules decide on plain inputs, without I/O or a clock.
//!
//! [`choose`] selects a target, [`group`] and [`affinity`] narrow the choice of a large service, and
//! [`lane`] sets targets aside for short prompts. Where targets report how long work takes at the
//! moment, [`timely`] selects by what is late, [`service`], [`load`] and [`speed`] learn what it
//! needs. [`evenness`] shows operators how even the load is, [`decay`] averages over time, and [`prompt`] contains the prompts of requests.

pub mod affinity;
pub mod choose;
pub mod decay;
pub mod evenness;
pub mod group;
pub mod lane;
pub mod load;
pub mod prompt;
pub mod service;
pub mod speed;
pub mod timely;
