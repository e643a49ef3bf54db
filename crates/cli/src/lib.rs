//! The operators' command `cyclamen`, as a library that a thin program runs.
//!
//! Results go to standard output, errors to standard error; the exit code says which kind of
//! error it was ([`Exit`]).

pub mod check;
pub mod document;
mod flags;
pub mod output;
pub mod status;

use std::ffi::OsString;

use flags::{Cyclamen, CyclamenCmd};
pub use output::{Exit, Output};

/// Runs the command with `args`, the program's name left out.
pub async fn run(args: Vec<OsString>) -> Output {
    let flags = match Cyclamen::from_vec(args) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return Output::new(Exit::Ok, error.to_string()),
        Err(error) => return Output::error(Exit::Usage, error.to_string()),
    };
    match flags.subcommand {
        CyclamenCmd::Check(check) => check::files(&check.file, flags.json),
        CyclamenCmd::Submit(submit) => {
            document::submit(&submit.document, submit.platform, submit.expect, flags.json).await
        }
        CyclamenCmd::Show(show) => document::show(show.platform, flags.json).await,
    }
}
