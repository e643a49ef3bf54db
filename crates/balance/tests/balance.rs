//! Tests of target selection.

#[path = "balance/choose.rs"]
mod choose;
