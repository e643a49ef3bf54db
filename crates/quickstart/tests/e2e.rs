//! End-to-end tests with real processes on loopback.
//!
//! The programs must be built before, by `./check` or by `cargo build --workspace --bins`.

mod e2e {
    mod callers;
    mod claims;
    mod config;
    mod happy_path;
    mod money;
    mod pools;
    mod reports;
    mod shutdown;
    mod support;
}
