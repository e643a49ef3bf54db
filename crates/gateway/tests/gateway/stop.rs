//! Requests that come during a planned stop.

use cyc_gateway::stop::{LINGER, Stop};
use cyc_types::Millis;
use googletest::prelude::*;

/// Pattern: a stream keeps the process alive to the end of its grace, while short calls arrive
/// on new connections up to its last moment.
#[gtest]
fn a_request_that_could_not_end_in_time_is_not_taken() {
    let stop = Stop {
        since: Millis::new(1_000),
        end: Millis::new(8_400),
        is_over: false,
    };
    let just_before = LINGER.saturating_sub(Millis::new(1));
    let cases = [
        (Millis::ZERO, 15_000, true),
        (just_before, 15_000, true),
        (LINGER, 15_000, false),
        (LINGER, 1_500, true),
        (Millis::new(5_800), 1_500, true),
        (Millis::new(6_000), 1_500, false),
        (Millis::new(7_314), 1_500, false),
    ];
    for (after, longest, expected) in cases {
        let admitted = stop.admits(stop.since + after, Millis::new(longest));
        expect_that!(admitted, eq(expected), "{after} ms, {longest} ms");
    }
}

/// Pattern: the last request has ended and the tokens are being returned when one more call comes
/// on a kept connection. The process would end under it.
#[gtest]
fn nothing_is_taken_once_the_last_request_has_ended() {
    let stop = Stop {
        since: Millis::ZERO,
        end: Millis::new(8_000),
        is_over: true,
    };
    for after in [Millis::ZERO, LINGER, LINGER + LINGER] {
        expect_false!(stop.admits(after, Millis::new(10)));
    }
}
