//! `entry`: takes callers' requests and forwards them to targets within prepaid budgets.

use std::{path::PathBuf, process::ExitCode};

use cyc_settings::EntrySettings;

mod flags {
    #![allow(missing_docs, reason = "the macro generates undocumented items")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Takes callers' requests and forwards them to targets within prepaid budgets.
        ///
        /// Stops gracefully on SIGTERM. Exit codes: 0 stopped, 1 failed, 2 wrong settings.
        cmd entry {
            /// The settings file.
            optional settings: PathBuf
            /// Checks the settings file, prints every fault and exits.
            optional --check
            /// Prints the version.
            optional --version
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Entry::from_env_or_exit();
    if flags.version {
        println!("entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = flags.settings else {
        eprintln!("error: the settings file is missing; see `entry --help`");
        return ExitCode::from(cyc_obs::EXIT_USAGE);
    };
    start(path, flags.check)
}

fn start(path: PathBuf, check: bool) -> ExitCode {
    let settings = match EntrySettings::load(&path) {
        Ok(settings) => settings,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("error: {error}"));
            return ExitCode::from(cyc_obs::EXIT_USAGE);
        }
    };
    if check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    cyc_obs::run_daemon(settings.process.log_level, cyc_entry::daemon::run(settings))
}
