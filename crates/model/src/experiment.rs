//! Policies side by side, over the same seeds.

use std::fmt::Write as _;

use serde_json::{Value, json};

use crate::{Policy, Scenario, report::Summary, sim};

/// What is compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The policies.
    pub policies: Vec<Policy>,
    /// Seeds from 1 on.
    pub seeds: u64,
}

/// The summaries, in the order of the policies.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// A policy and what callers got under it.
    pub rows: Vec<(Policy, Summary)>,
}

/// Plays all seeds under all policies, one thread a policy.
pub fn run(scenario: &Scenario, options: &Options) -> Outcome {
    let play = |policy: Policy| {
        let seeds = 1..=options.seeds;
        let reports: Vec<_> = seeds.map(|seed| sim::run(scenario, seed, policy)).collect();
        Summary::new(&reports).map(|summary| (policy, summary))
    };
    let rows = std::thread::scope(|scope| {
        let threads: Vec<_> = options
            .policies
            .iter()
            .map(|policy| scope.spawn(move || play(*policy)))
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
    /// Returns a table of the policies, and one of the kinds of request under each.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{:<14} {:>6} {:>13} {:>7} {:>6} {:>8} {:>7} {:>9}\n",
            "policy", "credit", "least, most", "window", "zone", "account", "reread", "imbalance"
        );
        for (policy, summary) in &self.rows {
            let worst = &summary.worst;
            let spread = format!("{:.3}, {:.3}", summary.spread.0, summary.spread.1);
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<14} {:>6.3} {:>13} {:>7.3} {:>6.3} {:>8.3} {:>7.3} {:>9.2}",
                policy.to_string(),
                summary.credit,
                spread,
                worst.window,
                worst.zone,
                worst.account,
                summary.reread,
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
                    kind.credit.part(),
                    kind.asked,
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

    /// Returns the summaries as JSON.
    pub fn to_json(&self) -> Value {
        let rows = self.rows.iter().map(|(policy, summary)| {
            let mut row = summary.to_json();
            row["policy"] = json!(policy.to_string());
            row
        });
        json!({ "policies": rows.collect::<Vec<Value>>() })
    }
}
