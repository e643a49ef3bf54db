//! End-to-end tests with real processes on loopback.
//!
//! The programs have to be built before: `./check` does it, or `cargo build --workspace --bins`.

mod e2e {
    mod callers;
    mod claims;
    mod config;
    mod money;
    mod path;
    mod pools;
    mod reports;
    mod stops;
    mod support;
}
