//! Policies compared under several load patterns.

use cyc_model::{
    Policy, Scenario,
    experiment::{self, Options, Outcome},
    plot,
    report::Summary,
};
use googletest::prelude::*;

/// Seeds per policy. The differences checked below are larger than those between seeds.
const SEEDS: u64 = 3;

fn scenario(name: &str) -> Scenario {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/experiments/");
    let mut scenario = Scenario::load(format!("{dir}{name}.ini").as_ref()).unwrap();
    scenario.duration = cyc_types::Millis::new(20_000);
    scenario
}

fn compare(name: &str, policies: &[Policy]) -> Outcome {
    let options = Options {
        policies: policies.to_vec(),
        seeds: SEEDS,
    };
    experiment::run(&scenario(name), &options)
}

fn row(outcome: &Outcome, policy: Policy) -> &Summary {
    let row = outcome.rows.iter().find(|row| row.0 == policy);
    &row.unwrap().1
}

/// Steady load with shared prefixes: without prefix affinity, several engines prefill the same ones.
#[gtest]
fn the_product_recomputes_fewer_prompt_tokens_than_round_robin() {
    let outcome = compare("steady", &[Policy::RoundRobin, Policy::Product]);
    let product = row(&outcome, Policy::Product);
    let baseline = row(&outcome, Policy::RoundRobin);
    expect_that!(
        product.recomputed_fraction,
        lt(baseline.recomputed_fraction * 0.7)
    );
    expect_that!(product.credit_ratio, ge(baseline.credit_ratio));
}

/// A burst that doubles the arrival rate: the worst window earns more credit than under round-robin.
#[gtest]
fn the_product_serves_a_burst_better_than_round_robin() {
    let outcome = compare("burst", &[Policy::RoundRobin, Policy::Product]);
    let product = row(&outcome, Policy::Product);
    let baseline = row(&outcome, Policy::RoundRobin);
    expect_that!(product.credit_ratio, gt(baseline.credit_ratio));
    expect_that!(product.worst.window, gt(baseline.worst.window));
}

/// Half of the engines crash: entries retry on the other engines and stop sending to the crashed
/// ones, so that few requests fail.
#[gtest]
fn requests_move_away_from_crashed_engines() {
    let outcome = compare("half-dead", &[Policy::Product]);
    let product = row(&outcome, Policy::Product);
    let drafts = &product.kinds[0];
    expect_that!(drafts.failed as f64, lt(drafts.requests as f64 * 0.1));
    expect_that!(product.credit_ratio, gt(0.8));
}

/// The prefix cache of an engine is a hash map, whose order differs from run to run. Cached parts
/// with the same time of last use must still be evicted in a fixed order.
#[gtest]
fn the_same_seed_gives_the_same_result_on_every_run() {
    let first = compare("slow-engines", &[Policy::Product]);
    let second = compare("slow-engines", &[Policy::Product]);
    expect_that!(first.to_json(), eq(&second.to_json()));
    expect_that!(first.to_table(), contains_substring("product"));
}

#[gtest]
fn the_plot_has_a_line_for_each_policy() {
    let outcome = compare("steady", &[Policy::LeastLoaded, Policy::Product]);
    let svg = plot::plot(&outcome).unwrap();
    expect_that!(svg, contains_substring("least_loaded"));
    expect_that!(svg, contains_substring("product"));
}
