//! Logging, metrics, signal handling and start-up, shared by the daemons.

pub mod daemon;
pub mod log;
pub mod metrics;
pub mod names;
pub mod registry;
pub mod signal;

pub use daemon::{Args, EXIT_FAILED, EXIT_USAGE, load_settings, run_daemon, run_local_daemon};
pub use log::{finish_logs, start_stderr_logs, start_stdout_logs};
pub use metrics::Metrics;
pub use signal::{ReloadSignal, wait_for_shutdown};
