//! Runs a scenario under several policies with the same seeds, and compares the results.

use std::fmt::Write as _;

use serde_json::{Value, json};

use crate::{Policy, Scenario, report::Summary, sim};

/// The policies and seeds of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Number of seeds per policy; they are counted from 1.
    pub seeds: u64,
}

/// The results of an experiment.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// A summary for each policy, in the order of [`Options::policies`].
    pub rows: Vec<(Policy, Summary)>,
}

/// Runs all seeds under all policies, with a thread per policy.
pub fn run(scenario: &Scenario, options: &Options) -> Outcome {
    let run_policy = |policy: Policy| {
        let seeds = 1..=options.seeds;
        let reports: Vec<_> = seeds.map(|seed| sim::run(scenario, seed, policy)).collect();
        Summary::new(&reports).map(|summary| (policy, summary))
    };
    let rows = std::thread::scope(|scope| {
        let threads: Vec<_> = options
            .policies
            .iter()
            .map(|policy| scope.spawn(move || run_policy(*policy)))
            .collect();
        let joined = threads.into_iter().map(|thread| match thread.join() {
            Ok(row) => row,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        joined.flatten().collect()
    });
    Outcome { rows }
}

impl Outcome {
    /// Returns a table with a row per policy, and one with a row per policy and kind of request.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{:<14} {:>6} {:>13} {:>7} {:>6} {:>8} {:>7} {:>9}\n",
            "policy", "credit", "least, most", "window", "zone", "account", "reread", "imbalance"
        );
        for (policy, summary) in &self.rows {
            let worst = &summary.worst;
            let range = format!(
                "{:.3}, {:.3}",
                summary.credit_ratio_range.0, summary.credit_ratio_range.1
            );
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<14} {:>6.3} {:>13} {:>7.3} {:>6.3} {:>8.3} {:>7.3} {:>9.2}",
                policy.to_string(),
                summary.credit_ratio,
                range,
                worst.window,
                worst.zone,
                worst.account,
                summary.recomputed_fraction,
                summary.imbalance,
            );
        }
        let _ = writeln!(
            text,
            "\n{:<14} {:<14} {:>6} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7}",
            "policy", "kind", "credit", "asked", "late", "refused", "failed", "p50 ms", "p99 ms"
        );
        for (policy, summary) in &self.rows {
            for kind in &summary.kinds {
                let _ = writeln!(
                    text,
                    "{:<14} {:<14} {:>6.3} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7}",
                    policy.to_string(),
                    kind.name,
                    kind.credit.ratio(),
                    kind.requests,
                    kind.late,
                    kind.refused,
                    kind.failed,
                    kind.first_ms.value_at_quantile(0.5),
                    kind.first_ms.value_at_quantile(0.99),
                );
            }
        }
        text
    }

    /// Returns the JSON that `cyclamen --json experiment` prints.
    pub fn to_json(&self) -> Value {
        let rows = self.rows.iter().map(|(policy, summary)| {
            let mut row = summary.to_json();
            row["policy"] = json!(policy.to_string());
            row
        });
        json!({ "policies": rows.collect::<Vec<Value>>() })
    }
}
