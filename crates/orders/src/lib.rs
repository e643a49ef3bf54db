//! Orders to engines: which models, adapters and versions to load, and which role to take.
//!
//! [`plan`] compares the desired with the observed state and names the next order. [`drive`] sends
//! it, with a fencing number of [`fence`]. Orders name a state rather than a change, so that a
//! repeated order is harmless.
//!
//! An engine that checks fencing numbers refuses the orders of a sidecar that was replaced. An
//! engine that ignores them is protected by three rules: only the sidecar of its VM orders, one
//! order at a time; the sidecar makes sure that it was not replaced and reads the state again
//! right before each order; and the state is compared again later, so that an order that was
//! delayed on the way is put right.

pub mod drive;
pub mod fence;
pub mod plan;

pub use drive::{Driver, Engine, EngineError, FenceCheck, Step};
pub use fence::Fence;
pub use plan::{Adapter, Desired, Model, Observed, Order, Role, next_order};
