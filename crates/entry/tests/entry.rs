//! Tests of the entry's parts.

#[path = "entry/observe.rs"]
mod observe;
