//! Tests of target selection.

#[path = "balance/choose.rs"]
mod choose;
#[path = "balance/service.rs"]
mod service;
#[path = "balance/speed.rs"]
mod speed;
#[path = "balance/timely.rs"]
mod timely;
