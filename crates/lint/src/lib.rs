//! Checks of a configuration before its rollout, without I/O.
//!
//! [`plan`] is what the checks need of a document, whatever its format; each format has one
//! translation into it beside its decoder. [`check()`](check::check) finds entries that never match
//! and limits that contradict each other, [`diff()`](diff::diff) compares a document with the one in
//! force, and [`line_of`](line::line_of) finds the line of a path.

pub mod check;
pub mod diff;
pub mod finding;
pub mod line;
pub mod plan;

pub use finding::{Finding, Rule};
pub use plan::{AccountPlan, Match, Plan, RoutePlan, ServicePlan, SplitPlan};
