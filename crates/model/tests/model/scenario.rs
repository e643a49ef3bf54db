//! Parsing of scenario files.

use std::path::Path;

use cyc_model::{Scenario, scenario::ScenarioError};
use googletest::prelude::*;

const STEADY: &str = include_str!("../../../../etc/experiments/steady.ini");

#[gtest]
fn all_scenario_files_of_the_repository_are_valid() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/experiments");
    let files: Vec<_> = std::fs::read_dir(dir).unwrap().flatten().collect();
    assert!(files.len() >= 6);
    for file in files {
        let loaded = Scenario::load(&file.path());
        assert!(loaded.is_ok(), "{}: {loaded:?}", file.path().display());
    }
}

#[gtest]
fn an_invalid_value_is_reported_with_its_section_and_key() {
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
            "[services]: missing or unknown section",
        ),
    ];
    for (old, new, error) in cases {
        let parsed = Scenario::parse(&STEADY.replacen(old, new, 1));
        expect_that!(parsed.map_err(|e| e.to_string()), err(eq(error)));
    }
    let missing = Scenario::load(Path::new("no-such-file.ini"));
    expect_that!(missing, err(matches_pattern!(ScenarioError::Unreadable(_))));
}

#[gtest]
fn a_scenario_extends_its_base_file() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/experiments");
    let steady = Scenario::load(&dir.join("steady.ini")).unwrap();
    let burst = Scenario::load(&dir.join("burst.ini")).unwrap();
    expect_that!(burst.disturbances, len(eq(1)));
    let disturbances = Vec::new();
    expect_that!(
        Scenario {
            disturbances,
            ..burst
        },
        eq(&steady)
    );
}
