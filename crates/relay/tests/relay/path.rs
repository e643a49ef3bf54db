//! Selection of the path of a call.

use cyc_relay::path::{Outcome, Path, PathTable, Purpose};
use cyc_types::Millis;
use googletest::prelude::*;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn large_fleet() -> PathTable {
    let mut table = PathTable::new(3);
    table.set_entries(100);
    table
}

/// A hundred entries that each watch the store would make most of its calls.
#[gtest]
fn shared_calls_of_a_large_fleet_go_to_a_relay_and_then_to_the_store() {
    let table = large_fleet();
    let order = table.order(Purpose::Shared, at(0));
    expect_that!(order[..2], eq(&[Path::Relay(0), Path::Direct]));
    let order = table.order(Purpose::Own, at(0));
    expect_that!(order[..2], eq(&[Path::Direct, Path::Relay(0)]));
}

/// With few entries a relay saves no calls, and would only delay changes.
#[gtest]
fn a_small_fleet_uses_relays_only_when_the_direct_path_fails() {
    let mut table = PathTable::new(3);
    table.set_entries(5);
    for purpose in [Purpose::Shared, Purpose::Own] {
        expect_that!(table.order(purpose, at(0))[0], eq(Path::Direct));
    }
    table.record(Path::Direct, Outcome::Failed, at(0));
    for purpose in [Purpose::Shared, Purpose::Own] {
        expect_that!(table.order(purpose, at(1))[0], eq(Path::Relay(0)));
    }
}

/// All entries are cut off from the store for eight seconds, while they reach the VMs of the
/// targets.
#[gtest]
fn calls_use_a_relay_until_the_direct_path_is_known_to_work_again() {
    let mut table = large_fleet();
    expect_true!(table.record(Path::Direct, Outcome::Failed, at(0)));
    expect_that!(table.order(Purpose::Own, at(100))[0], eq(Path::Relay(0)));
    // Time alone does not lead a request's call back: a probe has to succeed first.
    expect_true!(table.is_probe_due(Path::Direct, at(8_000)));
    expect_that!(table.order(Purpose::Own, at(8_000))[0], eq(Path::Relay(0)));
    table.record(Path::Direct, Outcome::Answered, at(8_000));
    expect_that!(table.order(Purpose::Own, at(8_000))[0], eq(Path::Direct));
}

/// When all processes start at once, relays may start later than the entries. They must be used as
/// soon as they run.
#[gtest]
fn a_relay_that_failed_is_tried_again_soon() {
    let mut table = large_fleet();
    for index in 0..3 {
        table.record(Path::Relay(index), Outcome::Failed, at(0));
    }
    expect_that!(table.order(Purpose::Shared, at(100))[0], eq(Path::Direct));
    expect_that!(
        table.order(Purpose::Shared, at(1_000))[0],
        eq(Path::Relay(0))
    );
}

/// A path that fails again and again must not cost each call an attempt.
#[gtest]
fn the_pause_grows_with_repeated_failures() {
    let mut table = large_fleet();
    let mut now = at(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        table.record(Path::Relay(0), Outcome::Failed, now);
        let since = now;
        while !table.is_probe_due(Path::Relay(0), now) {
            now += at(50);
        }
        pauses.push(now.saturating_sub(since).get());
    }
    expect_that!(pauses, eq(&vec![500, 1_000, 2_000, 4_000, 4_000, 4_000]));
}

/// The store may refuse the calls of some VMs only. A single refusal may be a matter of its rate
/// limit.
#[gtest]
fn repeated_refusals_count_as_a_failure_of_the_path() {
    let mut table = large_fleet();
    expect_false!(table.record(Path::Direct, Outcome::Refused, at(0)));
    expect_that!(table.order(Purpose::Own, at(1))[0], eq(Path::Direct));
    expect_true!(table.record(Path::Direct, Outcome::Refused, at(2)));
    expect_that!(table.order(Purpose::Own, at(3))[0], eq(Path::Relay(0)));
}
