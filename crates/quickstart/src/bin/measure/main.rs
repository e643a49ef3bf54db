//! Measures a deployment on loopback: `measure config|restart|latency|memory|slopes|inside`.
//!
//! Needs release builds of all programs in the same directory:
//! `cargo build --release --workspace --bins`.

mod config;
mod in_process;
mod latency;
mod memory;
mod process;
mod requests;
mod slopes;

use std::process::ExitCode;

use cyc_quickstart::Error;
use strum::{EnumString, VariantNames};

/// What to measure.
#[derive(Debug, Clone, Copy, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
enum Subject {
    /// Propagation time of configurations and of notices that a target is leaving.
    Config,
    /// Requests that fail during a rolling restart.
    Restart,
    /// Latency added by the entry and the sidecar.
    Latency,
    /// Memory and CPU time of the processes, idle and under load.
    Memory,
    /// Resource use of the processes as the numbers of targets, entries and accounts grow.
    Slopes,
    /// Time and memory of single operations and objects in one process.
    Inside,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arg = std::env::args().nth(1).unwrap_or_default();
    let Ok(subject) = arg.parse() else {
        eprintln!("usage: measure {}", Subject::VARIANTS.join("|"));
        return ExitCode::from(2);
    };
    println!("machine: {}", process::machine());
    let measured = match subject {
        Subject::Config => config::measure().await,
        Subject::Restart => config::rolling_restart().await,
        Subject::Latency => latency::measure().await,
        Subject::Memory => memory::measure().await,
        Subject::Slopes => slopes::measure().await,
        Subject::Inside => in_process::measure(),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Creates an [`Error::Refused`] from the reason.
fn refused(why: impl std::fmt::Display) -> Error {
    Error::Refused(why.to_string())
}
