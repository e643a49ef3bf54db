//! Evacuations of zones.

use cyc_evac::{Change, Evacuations, Outcome};
use cyc_types::{AvailabilityZone, Millis};
use googletest::prelude::*;

const LIMIT: Millis = Millis::new(5_000);

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn zone(name: &str) -> AvailabilityZone {
    name.parse().unwrap()
}

fn requested(name: &str) -> Change {
    Change::Requested(zone(name))
}

fn removed(name: &str) -> Change {
    Change::Removed(zone(name))
}

/// Guards against a burst at the other zones, and against requests that still leave for the zone when
/// the time is over, whenever the request to evacuate is read.
#[gtest]
fn the_ramp_is_short_and_ends_in_time_however_late_the_request_is_read() {
    for age in [
        0,
        100,
        1_000,
        2_000,
        2_500,
        2_900,
        3_000,
        5_000,
        60_000,
        u64::MAX,
    ] {
        let mut evacuations = Evacuations::new(LIMIT);
        let outcome = evacuations.apply(&requested("a"), at(age), at(70_000));
        let Outcome::Evacuated(ramp) = outcome else {
            panic!("{outcome:?}");
        };
        expect_that!(ramp, le(at(1_000)), "{age}");
        if age < 2_500 {
            expect_that!(ramp, ge(at(500)), "{age}");
        }
        if age < 5_000 {
            expect_that!(ramp + at(age), le(at(3_000).max(at(age))), "{age}");
        }
        let shares: Vec<f64> = (0..=1_000)
            .step_by(100)
            .map(|ms| evacuations.share(&zone("a"), at(70_000 + ms)))
            .collect();
        expect_true!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
        expect_that!(*shares.last().unwrap(), eq(0.0));
        expect_true!(evacuations.is_closed(&zone("a"), at(70_000) + ramp));
        expect_that!(evacuations.share(&zone("b"), at(70_000)), eq(1.0));
    }
}

/// Guards against a burst at a zone that returns, and against a zone that stays closed.
#[gtest]
fn a_zone_returns_over_a_ramp() {
    let mut evacuations = Evacuations::new(LIMIT);
    evacuations.apply(&requested("a"), at(0), at(1_000));
    expect_that!(
        evacuations.apply(&removed("a"), at(0), at(9_000)),
        eq(Outcome::Returned)
    );
    let share = |ms| evacuations.share(&zone("a"), at(ms));
    expect_that!(share(9_000), eq(0.0));
    expect_that!(share(9_500), all![gt(0.4), lt(0.6)]);
    expect_that!(share(10_000), eq(1.0));
    evacuations.expire(at(9_500));
    expect_false!(evacuations.is_empty());
    evacuations.expire(at(10_000));
    expect_true!(evacuations.is_empty());
}

/// Guards against jumps when operators change their mind while the load moves.
#[gtest]
fn a_change_of_mind_continues_from_the_current_share() {
    let mut evacuations = Evacuations::new(LIMIT);
    evacuations.apply(&requested("a"), at(0), at(1_000));
    evacuations.apply(&removed("a"), at(0), at(1_500));
    let share = evacuations.share(&zone("a"), at(1_500));
    expect_that!(share, all![gt(0.4), lt(0.6)]);
    evacuations.apply(&requested("a"), at(0), at(2_000));
    let share = evacuations.share(&zone("a"), at(2_000));
    expect_that!(share, all![gt(0.7), lt(0.8)]);
    expect_true!(evacuations.is_closed(&zone("a"), at(3_000)));
}

/// Guards against changes that are read twice, after a list, or late.
#[gtest]
fn repeated_and_late_changes_are_harmless() {
    let mut evacuations = Evacuations::new(LIMIT);
    expect_that!(
        evacuations.apply(&removed("a"), at(0), at(1_000)),
        eq(Outcome::Same)
    );
    let at_once = Outcome::Evacuated(at(0));
    let list = [requested("a"), requested("b")];
    let outcomes = evacuations.replace(&list, at(9_000), at(10_000));
    expect_that!(
        outcomes,
        eq(&vec![(zone("a"), at_once), (zone("b"), at_once)])
    );
    expect_that!(evacuations.replace(&list, at(100), at(11_000)), is_empty());
    expect_that!(
        evacuations.apply(&requested("a"), at(0), at(11_000)),
        eq(Outcome::Same)
    );
    expect_true!(evacuations.is_closed(&zone("a"), at(11_000)));
    // The history of the watch is gone, and so is one of the objects.
    let outcomes = evacuations.replace(&[requested("b")], at(100), at(90_000));
    expect_that!(outcomes, eq(&vec![(zone("a"), Outcome::Returned)]));
    expect_that!(
        evacuations.apply(&removed("a"), at(0), at(95_000)),
        eq(Outcome::Same)
    );
    expect_true!(evacuations.is_closed(&zone("b"), at(95_000)));
    // Without a list that says otherwise, the last known ones hold.
    expect_true!(evacuations.is_closed(&zone("b"), at(9_000_000)));
}
