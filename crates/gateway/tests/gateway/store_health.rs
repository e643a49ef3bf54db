//! Reachability of the store.

use cyc_gateway::store_health::StoreHealth;
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
    health.record_success();
    expect_that!(health.outage(at(3_000)), none());
    health.record_failure(at(5_000));
    expect_that!(health.outage(at(5_500)), none());
}
