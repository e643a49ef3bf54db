//! Non-idempotent requests and whole answers under failure.

mod booking;
mod cut;
mod drafting;
mod support;
