//! Tests of target selection.

#[path = "balance/choose.rs"]
mod choose;
#[path = "balance/speed.rs"]
mod speed;
#[path = "balance/timely.rs"]
mod timely;
