//! Idempotency keys, claims and complete answers under failure.

mod booking;
mod drafting;
mod network_faults;
mod support;
