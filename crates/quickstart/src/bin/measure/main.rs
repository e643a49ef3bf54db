//! Measures a deployment on loopback: `measure config|restart|latency|memory|slopes`.
//!
//! Needs the release builds of all programs beside it: `cargo build --release --workspace --bins`.

mod config;
mod latency;
mod memory;
mod process;
mod requests;
mod slopes;
mod slopes_inside;

use std::process::ExitCode;

use cyc_quickstart::Error;
use strum::{EnumString, VariantNames};

/// What can be measured.
#[derive(Debug, Clone, Copy, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
enum Subject {
    /// How fast configurations and the news of leaving targets spread.
    Config,
    /// What a rolling restart cuts off.
    Restart,
    /// The latency that entry and sidecar add.
    Latency,
    /// Memory and CPU time of each process, idle and under load.
    Memory,
    /// Costs of real processes against the numbers of targets, accounts and entries.
    Slopes,
    /// Costs of single operations and objects within one process.
    Inside,
}

#[tokio::main]
async fn main() -> ExitCode {
    let given = std::env::args().nth(1).unwrap_or_default();
    let Ok(subject) = given.parse() else {
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
        Subject::Inside => slopes_inside::measure(),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns an error with a reason.
fn refused(why: impl std::fmt::Display) -> Error {
    Error::Refused(why.to_string())
}
