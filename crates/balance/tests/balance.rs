//! Tests of target selection.

#[path = "balance/choose.rs"]
mod choose;
#[path = "balance/lane.rs"]
mod lane;
#[path = "balance/speed.rs"]
mod speed;
