//! Tests of the planner, the fencing numbers and the reconciler, with engines that check or ignore
//! fencing numbers.

#[path = "orders/fake.rs"]
mod fake;
#[path = "orders/plan.rs"]
mod plan;
#[path = "orders/reconcile.rs"]
mod reconcile;
