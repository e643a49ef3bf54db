//! The shared bound for repeats.

use cyc_gateway::repeat::{Options, Repeats};
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

/// Pattern: every target fails, so that each request wants a repeat; entries get unequal load.
#[gtest]
fn entries_together_stay_under_the_bound_in_every_window() {
    let loads = [1_u64, 3, 10, 30, 60];
    let entries = loads.len();
    let mut firsts: Vec<u64> = Vec::new();
    let mut repeats: Vec<u64> = Vec::new();
    for per_second in loads {
        let mut own = Repeats::new(OPTIONS);
        for index in 0..per_second * 40 {
            let now = index * 1_000 / per_second;
            own.first(&service(), Millis::new(now));
            firsts.push(now);
            if own.take(&service(), entries, Millis::new(now)) {
                repeats.push(now);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        let to = from + OPTIONS.window.get();
        times.iter().filter(|at| (from..to).contains(at)).count() as f64
    };
    for from in (0..30_000).step_by(250) {
        let allowed = OPTIONS.ratio * within(&firsts, from) + OPTIONS.extra;
        expect_that!(within(&repeats, from), le(allowed), "window from {from}");
    }
    expect_that!(repeats.len(), gt(400));
}

#[gtest]
fn an_entry_alone_with_no_requests_has_its_part_of_the_extra() {
    let mut own = Repeats::new(OPTIONS);
    let taken = (0..100).filter(|_| own.take(&service(), 4, Millis::new(1)));
    expect_that!(taken.count(), le((OPTIONS.extra / 4.0) as usize));
    expect_true!(own.take(&service(), 4, Millis::new(10_002)));
}
