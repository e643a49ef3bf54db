//! Ejection, retry budget and hedged requests.

use cyc_route::{Availability, Failure, Health, Hedge, RetryBudget, health::Options};
use cyc_types::Millis;
use googletest::prelude::*;

const fn ms(value: u64) -> Millis {
    Millis::new(value)
}

fn options() -> Options {
    Options {
        failures: 3,
        probe_min: ms(100),
        probe_max: ms(300),
    }
}

#[gtest]
fn consecutive_failures_eject_and_probe_intervals_double() {
    let mut health = Health::new(options());
    for failure in [Failure::ConnectFailed, Failure::TargetFailed] {
        health.record_failure(failure, ms(10));
    }
    health.record_success(ms(11));
    health.record_failure(Failure::TargetFailed, ms(12));
    health.record_failure(Failure::TargetFailed, ms(13));
    expect_that!(health.availability(ms(14)), eq(Availability::Available));
    health.record_failure(Failure::Timeout(ms(12)), ms(1_000));
    let mut now = 1_000;
    for interval in [100, 200, 300, 300] {
        expect_that!(
            health.availability(ms(now + interval - 1)),
            eq(Availability::Ejected)
        );
        now += interval;
        expect_that!(health.availability(ms(now)), eq(Availability::Probe));
        health.record_request(ms(now));
        expect_that!(health.availability(ms(now)), eq(Availability::Ejected));
        health.record_failure(Failure::ConnectFailed, ms(now));
    }
    health.record_request(ms(now + 300));
    health.record_success(ms(now + 301));
    expect_that!(
        health.availability(ms(now + 301)),
        eq(Availability::Available)
    );
}

/// A probe whose result is never recorded must not keep the target ejected: the next probe is due
/// after one interval.
#[gtest]
fn a_lost_probe_does_not_eject_permanently() {
    let mut health = Health::new(Options {
        failures: 1,
        ..options()
    });
    health.record_failure(Failure::ConnectFailed, ms(0));
    health.record_request(ms(100));
    expect_that!(health.availability(ms(199)), eq(Availability::Ejected));
    expect_that!(health.availability(ms(200)), eq(Availability::Probe));
}

/// Long answers may time out although the target works. Timeouts count only if no frame has arrived
/// since the request was sent.
#[gtest]
fn a_slow_target_that_sends_frames_is_not_ejected() {
    let mut health = Health::new(options());
    for round in 1..100 {
        health.record_frame(ms(round * 1_000 + 500));
        health.record_failure(Failure::Timeout(ms(round * 1_000)), ms(round * 1_000 + 900));
        expect_that!(
            health.availability(ms(round * 1_000 + 900)),
            eq(Availability::Available)
        );
    }
    for _ in 0..3 {
        health.record_failure(Failure::Timeout(ms(200_000)), ms(300_000));
    }
    expect_that!(health.availability(ms(300_000)), eq(Availability::Ejected));
}

#[gtest]
fn retries_stay_a_fraction_of_requests() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_take());
    }
    expect_that!(retries, all!(ge(100), le(105)));
}

#[gtest]
fn only_idempotent_requests_are_hedged_after_the_95th_percentile() {
    let mut hedge = Hedge::new();
    let mut budget = RetryBudget::new(0.0, 1.0);
    for latency in 1..=19 {
        hedge.record_latency(ms(latency));
    }
    expect_that!(hedge.delay(), none());
    for latency in 20..=100 {
        hedge.record_latency(ms(latency));
    }
    expect_that!(hedge.delay(), some(eq(ms(95))));
    expect_that!(hedge.try_hedge(false, ms(500), &mut budget), eq(false));
    expect_that!(hedge.try_hedge(true, ms(94), &mut budget), eq(false));
    expect_that!(hedge.try_hedge(true, ms(95), &mut budget), eq(true));
    expect_that!(hedge.try_hedge(true, ms(95), &mut budget), eq(false));
}
