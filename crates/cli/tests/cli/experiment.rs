//! Tests of `cyclamen experiment`.

use cyc_cli::{Exit, Output, run};
use googletest::prelude::*;
use serde_json::Value;

const STEADY: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../etc/experiments/steady.ini"
);

async fn experiment(args: &[&str]) -> Output {
    run(args.iter().map(Into::into).collect()).await
}

#[gtest]
#[tokio::test]
async fn an_experiment_prints_a_row_for_each_policy_and_writes_a_plot() {
    let plot = std::env::temp_dir().join(format!("cyclamen-experiment-{}.svg", std::process::id()));
    let file = plot.to_str().unwrap();
    let args = ["--policies", "round_robin,product", "--seeds", "1"];
    let mut all = vec!["--json", "experiment", STEADY, "--plot", file];
    all.extend(args);
    let output = experiment(&all).await;
    let svg = std::fs::read_to_string(&plot);
    std::fs::remove_file(&plot).ok();
    expect_that!(output.exit, eq(Exit::Ok));
    let json: Value = serde_json::from_str(&output.out).unwrap();
    expect_that!(json["policies"][0]["policy"], eq("round_robin"));
    expect_that!(json["policies"][1]["policy"], eq("product"));
    expect_that!(svg, ok(contains_substring("<svg")));
}

#[gtest]
#[tokio::test]
async fn invalid_values_are_reported() {
    let cases = [
        (vec!["experiment", STEADY, "--seeds", "0"], "--seeds: `0`"),
        (
            vec!["experiment", STEADY, "--policies", "best"],
            "`best`: allowed: round_robin",
        ),
        (
            vec!["experiment", "no-such.ini"],
            "no-such.ini: the scenario cannot be read",
        ),
    ];
    for (args, error) in cases {
        let output = experiment(&args).await;
        expect_that!(output.exit, eq(Exit::Usage));
        expect_that!(output.err, contains_substring(error));
    }
}
