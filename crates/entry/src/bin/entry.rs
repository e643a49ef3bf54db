//! `entry`: takes callers' requests and forwards them to targets within prepaid budgets.

use std::process::ExitCode;

use cyc_obs::{Args, load_settings, run_daemon};
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
    let args = Args {
        program: "entry",
        version: env!("CARGO_PKG_VERSION"),
        settings: flags.settings,
        check: flags.check,
        print_version: flags.version,
    };
    match load_settings(&args, EntrySettings::load) {
        Ok(settings) => run_daemon(settings.process.log_level, cyc_entry::daemon::run(settings)),
        Err(code) => code,
    }
}
