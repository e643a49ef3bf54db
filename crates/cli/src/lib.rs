//! The operators' command `cyclamen`, as a library that a thin program runs.
//!
//! Results go to standard output, errors to standard error; the exit code says which kind of
//! error it was ([`Exit`]).

pub mod burn;
pub mod check;
pub mod document;
pub mod experiment;
mod flags;
pub mod input;
pub mod output;
pub mod spend;
pub mod status;
pub mod top_up;

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
        CyclamenCmd::Submit(submit) => document::submit(&submit, flags.json).await,
        CyclamenCmd::Show(show) => match input::platform(&show.platform) {
            Ok(addr) => document::show(addr, flags.json).await,
            Err(error) => error.into(),
        },
        CyclamenCmd::Topup(topup) => top_up::pay(&topup, flags.json).await,
        CyclamenCmd::Status(status) => status::print(&status, flags.json).await,
        CyclamenCmd::Spend(flag) => {
            let options = spend::Options {
                account: flag.account,
                month: flag.month,
            };
            match input::platform(&flag.platform) {
                Ok(addr) => spend::spend(addr, &options, flags.json).await,
                Err(error) => error.into(),
            }
        }
        CyclamenCmd::Experiment(flag) => experiment::run(&flag, flags.json),
        CyclamenCmd::Burn(flag) => match input::platform(&flag.platform) {
            Ok(addr) => burn::burn(addr, flag.window, flag.plot, flags.json).await,
            Err(error) => error.into(),
        },
    }
}
