//! Start-up and exit of a daemon: settings, logging, runtime and exit codes.

use std::{
    fmt::Display,
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use cyc_settings::LogLevel;
use tokio::task::LocalSet;

use crate::log::{finish_logs, start_stderr_logs, start_stdout_logs};

/// The exit code of a daemon that failed.
pub const EXIT_FAILED: u8 = 1;
/// The exit code for invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// The command line arguments of a daemon.
#[derive(Debug, Clone)]
pub struct Args {
    /// The name of the program, for messages.
    pub program: &'static str,
    /// The version of the program.
    pub version: &'static str,
    /// The path of the settings file, which is required unless the version is printed.
    pub settings: Option<PathBuf>,
    /// True to check the settings and exit.
    pub check: bool,
    /// True to print the version and exit.
    pub print_version: bool,
}

/// Loads the settings according to the command line. Returns `Err` with the exit code if the
/// process has to exit: after printing the version, after checking the settings, or on an error.
pub fn load_settings<S, E: Display>(
    args: &Args,
    load: impl FnOnce(&Path) -> Result<S, Vec<E>>,
) -> Result<S, ExitCode> {
    if args.print_version {
        println!("{} {}", args.program, args.version);
        return Err(ExitCode::SUCCESS);
    }
    let Some(path) = &args.settings else {
        eprintln!(
            "error: no settings file specified; see `{} --help`",
            args.program
        );
        return Err(ExitCode::from(EXIT_USAGE));
    };
    let settings = load(path).map_err(|errors| {
        errors.iter().for_each(|error| eprintln!("error: {error}"));
        ExitCode::from(EXIT_USAGE)
    })?;
    if args.check {
        println!("{}: ok", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Prints the error of a daemon that could not start or has failed.
fn failed(what: &str, error: &dyn Display) -> ExitCode {
    eprintln!("error: {what}: {error}");
    ExitCode::from(EXIT_FAILED)
}

/// Starts logging to standard error and the runtime, runs the daemon to its end and returns the
/// exit code.
pub fn run_daemon<E: Display>(
    level: LogLevel,
    daemon: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    if let Err(error) = start_stderr_logs(level) {
        return failed("cannot start the logger", &error);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed("cannot start the runtime", &error),
    };
    match runtime.block_on(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("process_failed", kv: { error = error.to_string() });
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Starts logging to standard output and a runtime with a single thread, runs the daemon in a local
/// task set to its end and returns the exit code.
pub fn run_local_daemon<E: Display>(
    level: LogLevel,
    daemon: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    if let Err(error) = start_stdout_logs(level) {
        return failed("cannot start the logger", &error);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed("cannot start the runtime", &error),
    };
    let result = LocalSet::new().block_on(&runtime, daemon);
    if let Err(error) = &result {
        spdlog::error!("process_failed", kv: { error = error.to_string() });
    }
    finish_logs();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed("the process failed", &error),
    }
}
