//! `sidecar`: the process through which all requests to its target go.

use std::process::ExitCode;

use cyc_obs::{Args, load_settings, run_daemon};
use cyc_settings::SidecarSettings;

mod flags {
    #![allow(missing_docs, reason = "the macro generates undocumented items")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Admits requests to the target beside it, runs each once and keeps its receipt.
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
    let args = Args {
        program: "sidecar",
        version: env!("CARGO_PKG_VERSION"),
        settings: flags.settings,
        check: flags.check,
        print_version: flags.version,
    };
    match load_settings(&args, SidecarSettings::load) {
        Ok(settings) => run_daemon(
            settings.process.log_level,
            cyc_sidecar::daemon::run(settings),
        ),
        Err(code) => code,
    }
}
