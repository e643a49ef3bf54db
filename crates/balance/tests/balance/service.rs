//! When targets are selected by their pace, and how even their load is.

use cyc_balance::{
    evenness::{Evenness, evenness},
    service::ServiceProfile,
    speed::PaceEstimate,
};
use cyc_types::Millis;
use googletest::prelude::*;

/// One target that does not report its pace, or a few answers without it, would switch the selection of
/// a service, and its lanes, back and forth.
#[gtest]
fn selection_by_pace_begins_and_ends_with_hysteresis() {
    let at = Millis::new;
    let mut profile = ServiceProfile::default();
    let pace = PaceEstimate::new(100, Millis::ZERO);
    let mut changes = 0;
    let mut report = |profile: &mut ServiceProfile, has_pace: bool, now| {
        let pace = has_pace.then_some(&pace);
        changes += u32::from(profile.record_report(1, 0, pace, at(now)));
    };
    for now in 0..50 {
        report(&mut profile, false, now);
    }
    for now in 50..60 {
        report(&mut profile, true, now);
    }
    expect_that!(profile.is_active(), eq(false));
    for now in 60..160 {
        report(&mut profile, true, now);
    }
    expect_that!(profile.is_active(), eq(true));
    for now in 160..300 {
        report(&mut profile, now % 3 == 0, now);
    }
    expect_that!(profile.is_active(), eq(true));
    expect_that!(profile.update(at(170_000)), eq(false));
    expect_that!(profile.update(at(190_000)), eq(true));
    expect_that!(profile.is_active(), eq(false));
    for now in 190_000..190_500 {
        report(&mut profile, false, now);
    }
    expect_that!(changes, eq(1));
}

/// An operator would take an uneven load for an even one.
#[gtest]
fn evenness_is_the_busiest_against_the_mean() {
    let targets = [(1.0, 100), (1.0, 300), (4.0, 200)];
    let targets = targets.map(|(work, age)| (work, Millis::new(age)));
    let expected = Evenness {
        busiest: 2.0,
        report_age: Millis::new(200),
        targets: 3,
    };
    expect_that!(evenness(targets.into_iter()), some(eq(expected)));
    let idle = [(0.0, Millis::ZERO)];
    expect_that!(evenness(idle.into_iter()).unwrap().busiest, eq(1.0));
    expect_that!(evenness(std::iter::empty()), none());
}
