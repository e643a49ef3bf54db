//! Admission of requests during a graceful shutdown.

use cyc_gateway::shutdown::{DEREGISTRATION_DELAY, Shutdown};
use cyc_types::Millis;
use googletest::prelude::*;

/// While a stream keeps the process running to the end of its grace period, short calls arrive on
/// new connections up to the last moment; the process would end before responding to them.
#[gtest]
fn a_request_that_could_not_end_in_time_is_refused() {
    let shutdown = Shutdown {
        since: Millis::new(1_000),
        end: Millis::new(8_400),
        is_finished: false,
    };
    let just_before = DEREGISTRATION_DELAY.saturating_sub(Millis::new(1));
    let cases = [
        (Millis::ZERO, 15_000, true),
        (just_before, 15_000, true),
        (DEREGISTRATION_DELAY, 15_000, false),
        (DEREGISTRATION_DELAY, 1_500, true),
        (Millis::new(5_800), 1_500, true),
        (Millis::new(6_000), 1_500, false),
        (Millis::new(7_314), 1_500, false),
    ];
    for (after, max_duration, expected) in cases {
        let admitted = shutdown.admits(shutdown.since + after, Millis::new(max_duration));
        expect_that!(admitted, eq(expected), "{after} ms, {max_duration} ms");
    }
}

/// A call on a kept connection may arrive after the last request has ended, while tokens are being
/// returned; the process would end before responding.
#[gtest]
fn requests_are_refused_once_the_last_one_has_ended() {
    let shutdown = Shutdown {
        since: Millis::ZERO,
        end: Millis::new(8_000),
        is_finished: true,
    };
    for after in [
        Millis::ZERO,
        DEREGISTRATION_DELAY,
        DEREGISTRATION_DELAY + DEREGISTRATION_DELAY,
    ] {
        expect_false!(shutdown.admits(after, Millis::new(10)));
    }
}
