//! `cyclamen experiment`: compares policies in a simulation.

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

/// Seeds per policy if the flag is absent: enough to see differences between policies.
const DEFAULT_SEEDS: u64 = 4;
/// Upper limit for the number of seeds.
const MAX_SEEDS: u64 = 1_000;

/// A list of policies in the syntax of the command line, separated by commas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policies(Vec<Policy>);

/// The error for a text that is not a list of policies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoliciesError {
    /// The invalid text.
    pub given: String,
}

impl fmt::Display for PoliciesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let allowed: Vec<String> = Policy::iter().map(|policy| policy.to_string()).collect();
        write!(f, "`{}`: allowed: {}", self.given, allowed.join(", "))
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

/// Simulates the scenario under the policies and reports the results.
pub(crate) fn run(flags: &Experiment, as_json: bool) -> Output {
    let seeds = flags.seeds.unwrap_or(DEFAULT_SEEDS);
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
