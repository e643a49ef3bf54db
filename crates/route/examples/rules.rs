//! Compares the routing rules in a small queueing simulation of engines with prefix caches.
//!
//! `cargo run --release -p cyc-route --example rules` prints, for each fleet and rule, the prefix
//! cache hit rate by prompt block and the time to first token. The output is deterministic.

#[path = "rules/engine.rs"]
mod engine;
#[path = "rules/model.rs"]
mod model;

use cyc_route::{Options, Rule};
use cyc_types::size::ParseValueError;
use model::{Fleet, RunResults};

const SEEDS: u64 = 5;

/// Sets the terms of the estimate to the delays of the simulation.
fn options(fleet: &Fleet) -> Options {
    Options {
        request_ms: 60.0,
        block_ms: engine::BLOCK_MS as f64,
        zone_ms: fleet.zone_ms,
        ..Options::default()
    }
}

fn variants(fleet: &Fleet) -> Vec<(String, Options)> {
    let base = options(fleet);
    let with_candidates = |candidates| Options {
        candidates,
        ..base.clone()
    };
    let mut variants: Vec<_> = [2, 4, 8]
        .map(|k| (format!("estimate, {k} candidates"), with_candidates(k)))
        .into();
    let all = base.candidates.max(fleet.engines);
    variants.push(("estimate, all".into(), with_candidates(all)));
    let without_prefixes = Options {
        block_ms: 0.0,
        ..with_candidates(all)
    };
    variants.push(("estimate, all, no prefixes".into(), without_prefixes));
    for rule in [Rule::LeastLoaded, Rule::RoundRobin] {
        variants.push((
            rule.to_string(),
            Options {
                rule,
                ..base.clone()
            },
        ));
    }
    variants
}

fn main() -> Result<(), ParseValueError> {
    println!(
        "| fleet | request interval per engine | rule | prefix hits | first token p50 | p95 | p95 by seed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for fleet in [Fleet::DALA, Fleet::HANBIT] {
        for interval_ms in model::REQUEST_INTERVALS_MS {
            for (name, options) in variants(&fleet) {
                print_row(&fleet, interval_ms, &name, &options)?;
            }
        }
    }
    Ok(())
}

fn print_row(
    fleet: &Fleet,
    interval_ms: f64,
    name: &str,
    options: &Options,
) -> Result<(), ParseValueError> {
    let mut all = RunResults::default();
    let mut by_seed = Vec::new();
    for seed in 0..SEEDS {
        let one = model::run(fleet, interval_ms, options, seed)?;
        by_seed.push(one.percentile(95));
        all.add(one);
    }
    by_seed.sort_unstable();
    println!(
        "| {} | {interval_ms} ms | {name} | {:.1} % | {} ms | {} ms | {} to {} ms |",
        fleet.name,
        100.0 * all.hit_rate(),
        all.percentile(50),
        all.percentile(95),
        by_seed.first().unwrap_or(&0),
        by_seed.last().unwrap_or(&0),
    );
    Ok(())
}
