//! Scenario files.

use std::path::Path;

use cyc_model::{Scenario, scenario::ScenarioError};
use googletest::prelude::*;

const STEADY: &str = include_str!("../../../../etc/experiments/steady.ini");

#[gtest]
fn all_scenarios_of_the_repository_can_be_read() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/experiments");
    let files: Vec<_> = std::fs::read_dir(dir).unwrap().flatten().collect();
    assert!(files.len() >= 6);
    for file in files {
        let read = Scenario::load(&file.path());
        assert!(read.is_ok(), "{}: {read:?}", file.path().display());
    }
}

#[gtest]
fn a_bad_value_is_named_with_its_section_and_key() {
    let cases = [
        (
            "slots = 128",
            "slots = many",
            "[engines] slots: `many` is not allowed",
        ),
        (
            "worth = 3.7",
            "",
            "[kind long-draft] worth: `` is not allowed",
        ),
        (
            "2520 x 4",
            "2520 x 0",
            "[kind long-draft] shared: `2520 x 0, 3780 x 174` is not allowed",
        ),
        (
            "[service]",
            "[services]",
            "[services]: missing or not a section of scenarios",
        ),
    ];
    for (old, new, error) in cases {
        let read = Scenario::parse(&STEADY.replacen(old, new, 1));
        expect_that!(read.map_err(|e| e.to_string()), err(eq(error)));
    }
    let missing = Scenario::load(Path::new("no-such-file.ini"));
    expect_that!(missing, err(matches_pattern!(ScenarioError::Unreadable(_))));
}

#[gtest]
fn a_scenario_adds_to_its_base() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/experiments");
    let steady = Scenario::load(&dir.join("steady.ini")).unwrap();
    let burst = Scenario::load(&dir.join("burst.ini")).unwrap();
    expect_that!(burst.troubles, len(eq(1)));
    let troubles = Vec::new();
    expect_that!(Scenario { troubles, ..burst }, eq(&steady));
}
