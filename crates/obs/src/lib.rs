//! Logs, metrics and signals, set up the same way in both daemons.

pub mod log;
pub mod metrics;
pub mod signal;

pub use log::start_logs;
pub use metrics::Metrics;
pub use signal::shutdown;
