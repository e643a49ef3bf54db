//! Reachability of the store.

use cyc_gateway::{control::RetryDelay, store_health::StoreHealth};
use cyc_types::Millis;
use googletest::prelude::*;

/// A single lost connection must not make callers wait for the end of an outage.
#[gtest]
fn an_outage_begins_with_the_first_of_several_failed_calls() {
    let at = Millis::new;
    let mut health = StoreHealth::default();
    health.record_failure(at(1_000));
    expect_that!(health.outage(at(1_100)), none());
    health.record_failure(at(1_400));
    expect_that!(health.outage(at(3_000)), some(eq(at(2_000))));
    health.record_success(at(3_000));
    expect_that!(health.outage(at(3_000)), none());
    health.record_failure(at(5_000));
    expect_that!(health.outage(at(5_500)), none());
}

/// A call that was sent before the store's return may fail seconds after it. The return must not be
/// taken for as late as the next success of that call.
#[gtest]
fn the_first_success_after_a_failed_call_was_sent_tells_the_return() {
    let at = Millis::new;
    let mut health = StoreHealth::default();
    for time in [1_000, 4_200, 5_000] {
        health.record_success(at(time));
    }
    expect_that!(health.first_success_after(at(3_000)), some(eq(at(4_200))));
    expect_that!(health.first_success_after(at(5_000)), none());
}

/// Changes that are always too many for a watch must not make an entry read the list without pause.
#[gtest]
fn lists_that_replace_a_watch_come_less_often_until_a_watch_succeeds() {
    let mut retry_delay = RetryDelay::default();
    let delays: Vec<Millis> = (0..6).map(|_| retry_delay.next_relist_delay()).collect();
    expect_that!(delays[0], ge(Millis::new(25)));
    expect_that!(delays[5], ge(Millis::new(200)));
    // The list succeeds between two watches.
    expect_that!(retry_delay.reset(), eq(6));
    expect_that!(retry_delay.next_relist_delay(), ge(Millis::new(200)));
    retry_delay.watch_succeeded();
    expect_that!(retry_delay.next_relist_delay(), le(Millis::new(50)));
}
