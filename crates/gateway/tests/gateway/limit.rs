//! Limits that targets name for all entries together, played without a network.

use cyc_gateway::{
    fleet::Fleet,
    limit::{GrantReply, Grantor, KnownLimits, LimitReport, LimitWord, TargetLimit},
    member::{Record, TargetState},
    port::StatedLimit,
};
use cyc_types::{Millis, PerSecond, TargetId};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::crash::target;

const SIZES: [usize; 3] = [2, 5, 103];
const LIMITS: [f64; 4] = [0.3, 1.0, 2.6, 20.0];
/// Time over which a target counts requests.
const WINDOW_MS: u64 = 4_000;
/// Length of a run: a hundred entries get few turns each.
const RUN_MS: u64 = 60_000;

fn rate(limit: f64) -> PerSecond {
    PerSecond::new(limit)
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// One and a half times what the limit allows in a window, and five requests.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * 4.0 + 5.0) as usize
}

/// What goes wrong between the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Half of the entries do not reach the granting one.
    Cut,
    /// The granting entry is frozen: it neither grants nor sends.
    Frozen,
    /// A new entry grants for those that know of it, and the old one for the others, which learn of
    /// it 8 s later.
    Joined,
    /// A third of the grants are lost on their way back.
    Lost,
    /// Requests for grants and their words are delivered twice.
    Twice,
}

const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Cut,
    Fault::Frozen,
    Fault::Joined,
    Fault::Lost,
    Fault::Twice,
];

struct Entry {
    limit: TargetLimit,
    grantor: Grantor,
}

/// Times at which the target gets requests, if entries have requests for it all the time, and each
/// asks at random moments.
fn play(count: usize, limit: f64, fault: Fault, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..count)
        .map(|_| Entry {
            limit: TargetLimit::new(rate(limit), Millis::ZERO),
            grantor: Grantor::default(),
        })
        .collect();
    let mut arrivals = Vec::new();
    for ms in 0..RUN_MS {
        let now = at(ms);
        // About 40 requests a second for the target at all entries, and more than it allows.
        if rng.random_bool(0.04_f64 + limit / 250.0) {
            let index = rng.random_range(0..count);
            let is_frozen = fault == Fault::Frozen && index == 0;
            if is_frozen || !entries[index].limit.wait(now).is_zero() {
                continue;
            }
            let word = entries[index].limit.word(now);
            let is_reached = match fault {
                Fault::Cut => index < count.div_ceil(2),
                Fault::Frozen => false,
                _ => true,
            };
            let knows_joined = index % 2 == 0 || ms > 8_000;
            let (granting, is_settled) = match fault {
                Fault::Joined if knows_joined => (1, ms > 10_000),
                _ => (0, true),
            };
            let reply = is_reached.then(|| {
                let grantor = &mut entries[granting].grantor;
                if fault == Fault::Twice {
                    grantor.request(&target(0), word, is_settled, now);
                }
                grantor.request(&target(0), word, is_settled, now)
            });
            let is_lost = fault == Fault::Lost && rng.random_bool(0.33);
            let entry = &mut entries[index].limit;
            match reply.filter(|_| !is_lost) {
                Some(GrantReply::Granted) => arrivals.push(ms),
                Some(GrantReply::Denied(time)) => entry.deny(time, now),
                Some(GrantReply::Unlimited) => panic!("no target said so"),
                None if entry.take_turn(count, rng.random(), now) => arrivals.push(ms),
                None => {}
            }
        }
    }
    arrivals
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let from = |(first, start): (usize, &u64)| {
        let end = arrivals.partition_point(|at| *at < start + WINDOW_MS);
        end - first
    };
    arrivals
        .iter()
        .enumerate()
        .map(from)
        .max()
        .unwrap_or_default()
}

/// Guards against a limited target that gets as many requests from each entry as all together may
/// send, also while entries disagree on the one that grants, or do not reach it.
#[gtest]
fn all_entries_together_keep_to_a_limit() {
    for count in SIZES {
        for limit in LIMITS {
            for fault in FAULTS {
                for seed in 0..3 {
                    let arrivals = play(count, limit, fault, seed);
                    let most = most_in_window(&arrivals);
                    let detail = format!("{count} entries, {limit}/s, {fault:?}, seed {seed}");
                    assert!(most <= allowed(limit), "{detail}: {most}");
                }
            }
        }
    }
}

/// Guards against a limit that is kept by hardly using the target: a part for each of a hundred
/// entries would be a request every few minutes, at entries that may have none to send.
#[gtest]
fn a_limited_target_is_used_about_as_much_as_it_allows() {
    for count in SIZES {
        for limit in [0.3, 1.0, 2.6] {
            let arrivals = play(count, limit, Fault::None, 1);
            let possible = limit * RUN_MS as f64 / 1_000.0;
            let used = arrivals.len() as f64 / possible;
            expect_that!(used, ge(0.7), "{count} entries, {limit}/s");
        }
    }
}

/// Guards against entries that never send to a limited target again once they do not reach the one
/// that grants.
#[gtest]
fn entries_take_turns_without_the_granting_entry() {
    for count in SIZES {
        let arrivals = play(count, 2.6, Fault::Frozen, 1);
        let possible = 2.6 * RUN_MS as f64 / 1_000.0;
        expect_that!(arrivals.len() as f64 / possible, ge(0.1), "{count} entries");
    }
}

/// Guards against requests that idle entries save up and send at once.
#[gtest]
fn grants_and_turns_are_not_saved() {
    let mut grantor = Grantor::default();
    let word = |limit, age| LimitWord {
        limit: Some(rate(limit)),
        age: at(age),
    };
    grantor.report(&target(0), word(2.0, 0), Millis::ZERO);
    let granted = (0..100)
        .filter(|_| {
            let reply = grantor.request(&target(0), word(2.0, 0), true, at(600_000));
            reply == GrantReply::Granted
        })
        .count();
    expect_that!(granted, le(2));
    let mut limit = TargetLimit::new(rate(1.0), Millis::ZERO);
    limit.take_turn(103, 0.5, Millis::ZERO);
    let mut sent = 0;
    // The turn is missed by hours; the next one is waited for.
    for ms in 0..1_000 {
        sent += usize::from(limit.take_turn(103, 0.5, at(36_000_000 + ms)));
    }
    expect_that!(sent, le(1));
}

/// Guards against extreme limits: zero, tiny and huge ones, and words of other entries from any time.
#[gtest]
fn extreme_limits_are_harmless() {
    for limit in [0.0, 1e-300, 1e300, f64::MAX] {
        for age in [0, 5, u64::MAX] {
            let mut grantor = Grantor::default();
            let word = LimitWord {
                limit: Some(rate(limit)),
                age: at(age),
            };
            for ms in 0..10 {
                grantor.request(&target(0), word, ms % 2 == 0, at(ms * 1_000));
            }
            let mut state = TargetLimit::new(rate(limit), at(age));
            for ms in [0, 1, 1_000, u64::MAX / 2] {
                state.take_turn(103, 1.0, at(ms));
                state.take_turn(0, 0.0, at(ms));
            }
        }
    }
}

fn id() -> TargetId {
    target(0).id
}

fn fleet() -> Fleet {
    let record = Record {
        id: id(),
        started_at: target(0).started_at,
        service: "writer".parse().unwrap(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 8,
        state: TargetState::Ready,
        cold_left: Millis::ZERO,
    };
    let mut fleet = Fleet::new("a".parse().unwrap(), Default::default());
    fleet.set_targets(std::iter::once(&record), Millis::ZERO);
    fleet
}

/// Guards against responses that overtake each other: one to an earlier request must not end a limit.
#[gtest]
fn a_limit_ends_with_a_response_to_a_later_request() {
    let mut fleet = fleet();
    let limited = StatedLimit::Rate(rate(2.0));
    let changed = fleet.record_limit(&id(), limited, at(0), at(100));
    expect_that!(changed, some(eq(&(target(0), Some(rate(2.0))))));
    // The same limit again is no news.
    expect_that!(fleet.record_limit(&id(), limited, at(90), at(110)), none());
    expect_that!(
        fleet.record_limit(&id(), StatedLimit::Absent, at(50), at(120)),
        none()
    );
    expect_that!(
        fleet.record_limit(&id(), StatedLimit::Invalid, at(115), at(120)),
        none()
    );
    expect_true!(fleet.limit_mut(&id()).is_some());
    let changed = fleet.record_limit(&id(), StatedLimit::Absent, at(115), at(130));
    expect_that!(changed, some(eq(&(target(0), None))));
    expect_true!(fleet.limit_mut(&id()).is_none());
}

/// Guards against limits that other entries tell late: they are older than what the target said here.
#[gtest]
fn a_limit_of_another_entry_counts_unless_the_target_has_answered_since() {
    let mut fleet = fleet();
    fleet.record_limit(&id(), StatedLimit::Absent, at(900), at(1_000));
    expect_false!(fleet.learn_limit(&target(0), rate(2.0), at(999)));
    expect_true!(fleet.learn_limit(&target(0), rate(2.0), at(1_001)));
    expect_false!(fleet.learn_limit(&target(0), rate(3.0), at(1_002)));
    // Another run of the target.
    let mut other = target(0);
    other.started_at = Some(2);
    fleet.remove_limit(&id(), at(1_010));
    expect_false!(fleet.learn_limit(&other, rate(2.0), at(2_000)));
}

/// Guards against grants that end too late: of what entries report, the newest word counts, in
/// whatever order it arrives.
#[gtest]
fn the_newest_word_of_a_target_counts() {
    let word = |limit: Option<f64>, age| LimitWord {
        limit: limit.map(rate),
        age: at(age),
    };
    let mut grantor = Grantor::default();
    grantor.report(&target(0), word(Some(1.0), 0), at(1_000));
    grantor.report(&target(0), word(None, 0), at(2_000));
    // An entry that has not heard of the end yet.
    let reply = grantor.request(&target(0), word(Some(1.0), 1_500), true, at(2_500));
    expect_that!(reply, eq(GrantReply::Unlimited));
    // The target names a limit again.
    let reply = grantor.request(&target(0), word(Some(1.0), 10), true, at(3_000));
    expect_that!(reply, matches_pattern!(GrantReply::Denied(_)));
}

/// Guards against memory that grows with targets.
#[gtest]
fn limits_are_bounded_and_forgotten() {
    let mut grantor = Grantor::default();
    let mut known = KnownLimits::default();
    for index in 0..10_000 {
        let word = LimitWord {
            limit: Some(rate(1.0)),
            age: Millis::ZERO,
        };
        grantor.request(&target(index), word, true, at(index as u64));
        let report = LimitReport {
            target: target(index),
            limit: rate(1.0),
            age: Millis::ZERO,
        };
        known.merge(&[report], at(index as u64));
    }
    expect_that!(known.reports(at(10_000)).len(), le(256));
    known.expire(at(60_000));
    expect_that!(known.reports(at(60_000)), is_empty());
}
