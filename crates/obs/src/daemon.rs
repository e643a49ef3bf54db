//! The frame of a daemon: logs, runtime and exit codes.

use std::{fmt::Display, future::Future, process::ExitCode};

use cyc_settings::LogLevel;

use crate::log::start_logs;

/// Exit code of a process that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// Starts logs and runtime, runs the daemon, and says how it ended.
pub fn run_daemon<E: Display>(
    level: LogLevel,
    daemon: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let failed = |what: &str, error: &dyn Display| {
        eprintln!("error: cannot start the {what}: {error}");
        ExitCode::from(EXIT_FAILED)
    };
    if let Err(error) = start_logs(level) {
        return failed("logs", &error);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed("runtime", &error),
    };
    match runtime.block_on(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("failed", kv: { error:? = error.to_string() });
            ExitCode::from(EXIT_FAILED)
        }
    }
}
