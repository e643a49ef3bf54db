//! Tests of orders: the planner, fencing numbers, and the driver with both kinds of engine.

#[path = "orders/drive.rs"]
mod drive;
#[path = "orders/fake.rs"]
mod fake;
#[path = "orders/plan.rs"]
mod plan;
