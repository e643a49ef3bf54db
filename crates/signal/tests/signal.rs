//! Announcements of targets: reading, one target, a service, and the list of leaving targets.

use cyc_signal::{
    Announcement, KnownLeaving, LEAVING_TTL, MAX_KNOWN_LEAVING, MAX_RETAINED, RETAIN_TIME,
    Retained, ServiceWait, Standing, service_wait,
    stated::{self, MAX_PAUSE, Reading, UNREADABLE_PAUSE},
};
use cyc_types::Millis;
use googletest::prelude::*;

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Guards against a value that overflows, takes a target out of use for good, or is taken for none,
/// and against a pause that is cut short because it was stated twice or with an exponent.
#[gtest]
fn pauses_are_read_or_replaced() {
    let many = "9".repeat(5_000);
    let unreadable = Reading::Replaced(UNREADABLE_PAUSE);
    let huge = Reading::Replaced(MAX_PAUSE);
    let cases: [(&[&str], Reading<Millis>); 20] = [
        (&[], Reading::Absent),
        (&["2"], Reading::Exact(ms(2_000))),
        (&[" 1.5 "], Reading::Exact(ms(1_500))),
        (&["0.0301"], Reading::Exact(ms(31))),
        (&["0"], Reading::Exact(Millis::ZERO)),
        (&["300"], Reading::Exact(MAX_PAUSE)),
        (&["301"], huge),
        (&[&many], huge),
        (&["-3"], unreadable),
        (&["1e3"], huge),
        (&["1e9"], huge),
        (&["1e999"], huge),
        (&["inf"], unreadable),
        (&["nan"], unreadable),
        (&[""], unreadable),
        (&["1.2.3"], unreadable),
        (&["Wed, 21 Oct 2026 07:28:00 GMT"], unreadable),
        (&["2", "2"], Reading::Replaced(ms(2_000))),
        (&["2", "9"], Reading::Replaced(ms(9_000))),
        (&["soon", "9"], Reading::Replaced(ms(9_000))),
    ];
    for (values, expected) in cases {
        let read = stated::pause(values.iter().map(|value| value.as_bytes()));
        expect_that!(read, eq(expected), "{values:?}");
    }
    expect_that!(stated::pause([&b"\xff"[..]]), eq(unreadable));
}

#[gtest]
fn only_one_says_that_a_target_leaves() {
    let cases: [(&[&str], Reading<bool>); 7] = [
        (&[], Reading::Absent),
        (&["1"], Reading::Exact(true)),
        (&["0"], Reading::Exact(false)),
        (&["0", "1"], Reading::Exact(true)),
        (&["true"], Reading::Replaced(false)),
        (&["11"], Reading::Replaced(false)),
        (&["-1", "0"], Reading::Replaced(false)),
    ];
    for (values, expected) in cases {
        let read = stated::leaving(values.iter().map(|value| value.as_bytes()));
        expect_that!(read, eq(expected), "{values:?}");
    }
}

/// Guards against a shorter pause in a later answer that ends a longer one, and a pause that ends a
/// target's leaving.
#[gtest]
fn an_announcement_holds_until_the_last_of_its_pauses() {
    let mut target = Announcement::default();
    expect_true!(target.may_send(ms(0)));
    expect_true!(target.pause(ms(3_000), ms(100)));
    expect_false!(target.pause(ms(500), ms(200)));
    expect_that!(target.standing(ms(1_000)), eq(Standing::Paused(ms(2_100))));
    expect_false!(target.may_send(ms(3_099)));
    expect_true!(target.may_send(ms(3_100)));
    expect_false!(target.pause(Millis::ZERO, ms(4_000)));
    expect_true!(target.leave());
    expect_false!(target.leave());
    target.pause(ms(1), ms(5_000));
    expect_that!(target.standing(ms(90_000)), eq(Standing::Leaving));
}

/// Guards against callers that are told to return before the first target takes requests, or never.
#[gtest]
fn a_service_waits_for_the_first_of_its_targets() {
    let paused = |wait| (Standing::Paused(ms(wait)), None);
    let limited = |wait| (Standing::Open, Some(ms(wait)));
    let leaving = (Standing::Leaving, None);
    let both = (Standing::Paused(ms(300)), Some(ms(700)));
    let cases = [
        (vec![], ServiceWait::Open),
        (vec![paused(900), paused(400)], ServiceWait::Until(ms(400))),
        (vec![leaving, paused(900)], ServiceWait::Until(ms(900))),
        (vec![paused(900), leaving], ServiceWait::Until(ms(900))),
        (vec![leaving, leaving], ServiceWait::Leaving),
        (vec![paused(900), limited(200)], ServiceWait::Until(ms(200))),
        (vec![paused(900), both], ServiceWait::Until(ms(700))),
        (vec![paused(900), limited(0)], ServiceWait::Open),
        (vec![(Standing::Open, None), leaving], ServiceWait::Open),
    ];
    for (targets, expected) in cases {
        let wait = service_wait(targets.clone());
        expect_that!(wait, eq(expected), "{targets:?}");
    }
}

/// Guards against a target that gets requests again because its registration lapsed for a moment, and
/// against memory that grows with the targets that were ever registered.
#[gtest]
fn announcements_of_unregistered_targets_are_kept_for_some_time() {
    let mut leaving = Announcement::default();
    leaving.leave();
    let mut retained = Retained::default();
    retained.keep(0, leaving, ms(0));
    expect_that!(retained.take(&0, ms(1_000)), eq(leaving));
    expect_that!(retained.take(&0, ms(1_000)), eq(Announcement::default()));
    retained.keep(0, leaving, ms(0));
    expect_that!(retained.take(&0, RETAIN_TIME), eq(Announcement::default()));
    for target in 0..=MAX_RETAINED {
        retained.keep(target, leaving, ms(target as u64));
    }
    expect_that!(retained.take(&0, ms(2_000)), eq(Announcement::default()));
    expect_that!(retained.take(&1, ms(2_000)), eq(leaving));
}

/// Guards against a list that grows without end, that loses the newest targets, or that is passed on
/// for ever by entries that have just started.
#[gtest]
fn the_list_of_leaving_targets_is_bounded_and_forgets() {
    let mut known = KnownLeaving::default();
    let now = LEAVING_TTL;
    for target in 0..2 * MAX_KNOWN_LEAVING {
        known.record(&target, Millis::ZERO, now + ms(target as u64));
    }
    let later = now + ms(5_000);
    expect_that!(known.reports(later).len(), eq(MAX_KNOWN_LEAVING));
    expect_true!(
        known
            .iter()
            .any(|target| *target + 1 == 2 * MAX_KNOWN_LEAVING)
    );
    // Gone targets make room, are not reported, and are no news if another entry reports them.
    known.set_registered(|target| target % 2 == 0);
    expect_that!(known.iter().count(), eq(MAX_KNOWN_LEAVING / 2));
    expect_false!(known.record(&(2 * MAX_KNOWN_LEAVING - 1), Millis::ZERO, later));
    expect_true!(known.record(&0, LEAVING_TTL.saturating_sub(ms(1)), later));
    // An entry that has just started does not extend the time of a report.
    let mut started = KnownLeaving::default();
    started.merge(&known.reports(later), ms(10));
    expect_that!(started.iter().count(), eq(MAX_KNOWN_LEAVING / 2 + 1));
    started.expire(LEAVING_TTL);
    expect_that!(started.iter().count(), eq(0));
    expect_false!(known.record(&9_999, LEAVING_TTL, later));
}
