//! Experiments with the model of the systems that entries serve.

use std::{fmt, str::FromStr};

use cyc_model::{
    Policy, Scenario,
    experiment::{self, Options},
    plot,
};
use strum::IntoEnumIterator as _;

use crate::{
    flags::Experiment,
    output::{Exit, Output, write_plot},
};

/// Seeds that each policy plays unless told otherwise: enough to see how they differ.
const SEEDS: u64 = 4;
/// The most seeds of one experiment.
const MAX_SEEDS: u64 = 1_000;

/// Policies, separated by commas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policies(Vec<Policy>);

/// Why a text is not a list of policies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoliciesError {
    /// The text.
    pub given: String,
}

impl fmt::Display for PoliciesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<String> = Policy::iter().map(|policy| policy.to_string()).collect();
        write!(f, "`{}`: allowed: {}", self.given, known.join(", "))
    }
}

impl std::error::Error for PoliciesError {}

impl FromStr for Policies {
    type Err = PoliciesError;

    fn from_str(text: &str) -> Result<Self, PoliciesError> {
        let names = text.split(',').map(str::trim);
        let policies: Result<Vec<Policy>, _> = names.map(str::parse).collect();
        match policies {
            Ok(policies) => Ok(Self(policies)),
            Err(_) => Err(PoliciesError { given: text.into() }),
        }
    }
}

/// Plays the scenario and prints what callers got.
pub(crate) fn run(flags: &Experiment, as_json: bool) -> Output {
    let seeds = flags.seeds.unwrap_or(SEEDS);
    if !(1..=MAX_SEEDS).contains(&seeds) {
        let why = format!("--seeds: `{seeds}`: allowed: 1 to {MAX_SEEDS}");
        return Output::error(Exit::Usage, why);
    }
    let scenario = match Scenario::load(&flags.scenario) {
        Ok(scenario) => scenario,
        Err(error) => {
            let why = format!("{}: {error}", flags.scenario.display());
            return Output::error(Exit::Usage, why);
        }
    };
    let all = || Policies(Policy::iter().collect());
    let policies = flags.policies.clone().unwrap_or_else(all).0;
    let outcome = experiment::run(&scenario, &Options { policies, seeds });
    if let Some(file) = &flags.plot
        && let Err(output) = write_plot(file, plot::plot(&outcome))
    {
        return output;
    }
    let text = match as_json {
        true => outcome.to_json().to_string(),
        false => outcome.to_table(),
    };
    Output::new(Exit::Ok, text)
}
