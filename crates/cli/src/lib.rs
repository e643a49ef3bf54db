//! The operators' command `cyclamen` as a library; the program only calls [`run`] and prints.
//!
//! Results go to standard output and errors to standard error. The exit code gives the kind of
//! error ([`Exit`]).

pub mod burn;
pub mod check;
pub mod config_check;
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

/// Runs the command with `args`, which do not include the program's name.
pub async fn run(args: Vec<OsString>) -> Output {
    let flags = match Cyclamen::from_vec(args) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return Output::new(Exit::Ok, error.to_string()),
        Err(error) => return Output::error(Exit::Usage, error.to_string()),
    };
    match flags.subcommand {
        CyclamenCmd::Check(check) => check::run(&check.file, flags.json),
        CyclamenCmd::Config(config) => {
            let format = config.format.unwrap_or(match flags.json {
                true => config_check::Format::Json,
                false => config_check::Format::Text,
            });
            match config.action {
                config_check::ConfigAction::Check => {
                    let options = config_check::Options {
                        against: config.against.as_deref(),
                        settings: config.settings.as_deref(),
                        format,
                    };
                    config_check::run(&config.file, options)
                }
            }
        }
        CyclamenCmd::Submit(submit) => document::submit(&submit, flags.json).await,
        CyclamenCmd::Show(show) => match input::parse_platform(&show.platform) {
            Ok(addr) => document::show(addr, flags.json).await,
            Err(error) => error.into(),
        },
        CyclamenCmd::Topup(topup) => top_up::run(&topup, flags.json).await,
        CyclamenCmd::Status(status) => status::run(&status, flags.json).await,
        CyclamenCmd::Spend(flag) => {
            let options = spend::Options {
                account: flag.account,
                month: flag.month,
            };
            match input::parse_platform(&flag.platform) {
                Ok(addr) => spend::run(addr, &options, flags.json).await,
                Err(error) => error.into(),
            }
        }
        CyclamenCmd::Experiment(flag) => experiment::run(&flag, flags.json),
        CyclamenCmd::Burn(flag) => match input::parse_platform(&flag.platform) {
            Ok(addr) => burn::run(addr, flag.window, flag.plot, flags.json).await,
            Err(error) => error.into(),
        },
    }
}
