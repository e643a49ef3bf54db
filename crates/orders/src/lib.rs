//! Orders to engines: which models, adapters and versions to load, and which role to take.
//!
//! [`plan`] derives the next order from the desired and the observed state. [`reconcile`]
//! reconciles the states: it sends orders one at a time, each with a fencing number from [`fence`].
//! An order names the state to reach rather than a change, so repeating it is harmless.
//!
//! An engine that checks fencing numbers rejects the orders of a sidecar that was replaced. Three
//! rules protect an engine that ignores them: only the sidecar on its VM sends orders, one at a
//! time; right before each order the sidecar verifies that it was not replaced and reads the state
//! again; and the states are compared periodically, which corrects the effect of an order that was
//! delayed in transit.

pub mod fence;
pub mod plan;
pub mod reconcile;

pub use fence::Fence;
pub use plan::{Adapter, Desired, Model, Observed, Order, Role, next_order};
pub use reconcile::{Engine, EngineError, FenceCheck, Reconciler, Step};
