//! Learnt speeds of targets.

use cyc_balance::speed::{PaceEstimate, Speed, SpeedEstimate};
use cyc_types::Millis;
use googletest::prelude::*;

const TYPICAL_DELAY_MS: f64 = 100.0;
const TYPICAL_TOKENS_PER_MS: f64 = 30.0;

fn typical() -> Speed {
    Speed::new(TYPICAL_DELAY_MS, TYPICAL_TOKENS_PER_MS)
}

/// One answer every half second, alternately to a short and to a long prompt.
fn learn(estimate: &mut SpeedEstimate, tokens_per_ms: f64, delay_ms: f64, from: u64, count: u64) {
    for number in 0..count {
        let tokens = if number % 2 == 0 { 500 } else { 6_000 };
        let took = delay_ms + tokens as f64 / tokens_per_ms;
        estimate.record(tokens, took, typical(), Millis::new((from + number) * 500));
    }
}

/// A target of half the usual speed would get as many prompts as the others.
#[gtest]
fn rate_and_delay_of_a_target_are_learnt() {
    for (tokens_per_ms, delay_ms) in [(17.0, 60.0), (38.0, 150.0), (30.0, 100.0)] {
        let mut estimate = SpeedEstimate::default();
        learn(&mut estimate, tokens_per_ms, delay_ms, 0, 100);
        let speed = estimate.get(typical(), Millis::new(50_000));
        expect_that!(
            speed.tokens_per_ms() / tokens_per_ms,
            near(1.0, 0.15),
            "{tokens_per_ms}"
        );
        expect_that!(speed.delay_ms, near(delay_ms, 20.0), "{tokens_per_ms}");
    }
}

/// A target without answers, or whose answers are long past, must count as a typical one.
#[gtest]
fn a_target_without_recent_answers_is_typical() {
    let mut estimate = SpeedEstimate::default();
    let speed = estimate.get(typical(), Millis::ZERO);
    expect_that!(speed.tokens_per_ms(), near(TYPICAL_TOKENS_PER_MS, 0.01));
    learn(&mut estimate, 10.0, 300.0, 0, 40);
    let speed = estimate.get(typical(), Millis::new(200_000));
    expect_that!(speed.tokens_per_ms(), near(TYPICAL_TOKENS_PER_MS, 0.5));
    expect_that!(speed.delay_ms, near(TYPICAL_DELAY_MS, 1.0));
}

/// One answer that took long for another reason, such as a prompt whose parts were not cached, must
/// not make a target useless, and no series of them may send its estimate out of bounds.
#[gtest]
fn estimates_are_bounded() {
    let mut estimate = SpeedEstimate::default();
    estimate.record(200, 60_000.0, typical(), Millis::ZERO);
    let speed = estimate.get(typical(), Millis::ZERO);
    expect_that!(speed.tokens_per_ms(), ge(TYPICAL_TOKENS_PER_MS / 1.5));
    expect_that!(speed.delay_ms, le(200.0));
    for number in 0..1_000 {
        let tokens = (number * 7_919) % 50_000;
        let took = (number * 104_729 % 60_001) as f64;
        estimate.record(tokens, took, typical(), Millis::new(number * 10));
        let speed = estimate.get(typical(), Millis::new(number * 10));
        expect_that!(speed.tokens_per_ms(), ge(9.9));
        expect_that!(speed.tokens_per_ms(), le(90.1));
        expect_that!(speed.delay_ms, all!(ge(0.0), le(1_000.0)));
    }
}

/// The figure changes many times a second: an old one must not bar a target, and a spell must not
/// hide how fast the machine is without one.
#[gtest]
fn a_reported_pace_ages() {
    let mut estimate = PaceEstimate::new(55, Millis::ZERO);
    estimate.record(137, Millis::new(100));
    let expected = |at| estimate.get(Millis::new(at)).expected();
    expect_that!(expected(100), near(1.37, 0.01));
    expect_that!(expected(400), near(0.87, 0.03));
    expect_that!(expected(3_000), near(0.57, 0.03));
    let mut estimate = PaceEstimate::new(300, Millis::ZERO);
    for at in 1..8 {
        estimate.record(120, Millis::new(at * 1_000));
    }
    expect_that!(estimate.usual(), near(1.2, 0.05));
    expect_that!(PaceEstimate::new(0, Millis::ZERO).usual(), gt(0.0));
    expect_that!(PaceEstimate::new(u32::MAX, Millis::ZERO).usual(), le(8.0));
}
