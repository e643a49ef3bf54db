//! Engines of unequal speed, with spells of other work on their machines.

use cyc_model::{
    Policy, Scenario,
    experiment::{self, Options},
    report::Summary,
};
use googletest::prelude::*;

fn summary(reports_pace: bool) -> Summary {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../etc/experiments/unequal-engines.ini"
    );
    let mut scenario = Scenario::load(path.as_ref()).unwrap();
    scenario.engines.reports_pace = reports_pace;
    let options = Options {
        policies: vec![Policy::Product],
        seeds: 1,
    };
    let outcome = experiment::run(&scenario, &options);
    outcome.rows.into_iter().next().unwrap().1
}

/// Short streams would pause beside long prompts on slow engines while fast ones have room.
#[gtest]
fn reported_paces_keep_streams_on_time() {
    let (blind, told) = (summary(false), summary(true));
    expect_that!(told.credit_ratio, gt(blind.credit_ratio + 0.04));
    for (told, blind) in told.kinds.iter().zip(&blind.kinds) {
        expect_that!(told.late, lt(blind.late), "{}", told.name);
    }
    let short = told.kinds.iter().find(|kind| kind.name == "short").unwrap();
    expect_that!(short.late * 20, lt(short.requests));
}
