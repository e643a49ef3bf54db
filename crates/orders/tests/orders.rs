//! Tests of the planner, the fencing numbers and the driver, with engines that check or ignore
//! fencing numbers.

#[path = "orders/drive.rs"]
mod drive;
#[path = "orders/fake.rs"]
mod fake;
#[path = "orders/plan.rs"]
mod plan;
