//! Non-idempotent requests and whole answers under failure.
