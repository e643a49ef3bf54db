//! Tests of the routing decisions.

#[path = "route/choose.rs"]
mod choose;
#[path = "route/health.rs"]
mod health;
#[path = "route/pool.rs"]
mod pool;
