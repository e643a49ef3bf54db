//! The retry budget that entries share.

use cyc_gateway::retry_budget::{Options, RetryBudget};
use cyc_types::{Millis, ServiceId};
use googletest::prelude::*;

const OPTIONS: Options = Options {
    ratio: 0.2,
    window: Millis::new(10_000),
    extra: 56.0,
};

fn service() -> ServiceId {
    "writer".parse().unwrap()
}

/// If every target fails, each request calls for a retry; entries with unequal load must not exceed
/// the budget together.
#[gtest]
fn entries_together_stay_within_the_budget_in_every_window() {
    let loads = [1_u64, 3, 10, 30, 60];
    let entries = loads.len();
    let mut first_attempts: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for per_second in loads {
        let mut budget = RetryBudget::new(OPTIONS);
        for index in 0..per_second * 40 {
            let now = index * 1_000 / per_second;
            budget.record_first_attempt(&service(), Millis::new(now));
            first_attempts.push(now);
            if budget.take(&service(), entries, Millis::new(now)) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        let to = from + OPTIONS.window.get();
        times.iter().filter(|at| (from..to).contains(at)).count() as f64
    };
    for from in (0..30_000).step_by(250) {
        let allowed = OPTIONS.ratio * within(&first_attempts, from) + OPTIONS.extra;
        expect_that!(within(&retries, from), le(allowed), "window from {from}");
    }
    expect_that!(retries.len(), gt(400));
}

#[gtest]
fn an_entry_without_requests_has_its_part_of_the_extra_retries() {
    let mut budget = RetryBudget::new(OPTIONS);
    let taken = (0..100).filter(|_| budget.take(&service(), 4, Millis::new(1)));
    expect_that!(taken.count(), le((OPTIONS.extra / 4.0) as usize));
    expect_true!(budget.take(&service(), 4, Millis::new(10_002)));
}
