//! The frame of a daemon: logs, runtime and exit codes.

use std::{
    fmt::Display,
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use cyc_settings::LogLevel;

use crate::log::start_logs;

/// Exit code of a process that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// What the command line of a daemon says.
#[derive(Debug, Clone)]
pub struct Args {
    /// The name of the program.
    pub program: &'static str,
    /// Its version.
    pub version: &'static str,
    /// The settings file.
    pub settings: Option<PathBuf>,
    /// True if the settings are only to be checked.
    pub check: bool,
    /// True if the version is to be printed.
    pub print_version: bool,
}

/// Loads the settings as the command line says; `Err` if the process is to end.
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
            "error: the settings file is missing; see `{} --help`",
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
            spdlog::error!("failed", kv: { error = error.to_string() });
            ExitCode::from(EXIT_FAILED)
        }
    }
}
