//! `sidecar`: the only door to the target beside it.

use std::{path::PathBuf, process::ExitCode};

use cyc_settings::SidecarSettings;

mod flags {
    #![allow(missing_docs, reason = "the macro generates undocumented items")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Admits requests to the target beside it, runs each once and keeps its bill.
        ///
        /// Stops gracefully on SIGTERM. Exit codes: 0 stopped, 1 failed, 2 wrong settings.
        cmd sidecar {
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
    let flags = flags::Sidecar::from_env_or_exit();
    if flags.version {
        println!("sidecar {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = flags.settings else {
        eprintln!("error: the settings file is missing; see `sidecar --help`");
        return ExitCode::from(cyc_obs::EXIT_USAGE);
    };
    start(path, flags.check)
}

fn start(path: PathBuf, check: bool) -> ExitCode {
    let settings = match SidecarSettings::load(&path) {
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
    cyc_obs::run_daemon(
        settings.process.log_level,
        cyc_sidecar::daemon::run(settings),
    )
}
