//! Lanes that are sized by the work of short and of long prompts.

use std::collections::{BTreeMap, BTreeSet};

use cyc_balance::{
    lane::{EngineCapacity, Lane, LanePlan, LaneSize, sized_lanes},
    prompt::PromptSize,
    speed::Speed,
};
use cyc_types::{Millis, Tokens};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const CAPACITY: EngineCapacity = EngineCapacity {
    speed: Speed {
        delay_ms: 100.0,
        ms_per_token: 1.0 / 38.0,
    },
    slots: 64,
};

fn prompt(input: u64) -> PromptSize {
    PromptSize {
        input: Tokens::new(input),
        max_output: Tokens::new(200),
    }
}

/// One request of a stream kind: size, prefilled tokens, and how long it runs, in ms.
type Request = (u64, u64, u64);

const CHAT: Request = (700, 500, 4_000);
const DRAFT: Request = (9_000, 3_000, 900);

/// Feeds a plan with 4 random requests a second, of which this part are chats, and returns the
/// sizes of its lanes over time.
fn run(plan: &mut LanePlan, chats: f64, from_s: u64, seconds: u64, seed: u64) -> Vec<LaneSize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ends: BTreeSet<(u64, u64, u64)> = BTreeSet::new();
    let mut sizes = Vec::new();
    for step in from_s * 20..(from_s + seconds) * 20 {
        let now = step * 50;
        while let Some((end, _, input)) = ends.first().copied().filter(|(end, ..)| *end <= now) {
            ends.pop_first();
            plan.end(prompt(input), Millis::new(end));
        }
        if rng.random_bool(0.2) {
            let (input, uncached, runs_ms) = if rng.random_bool(chats) { CHAT } else { DRAFT };
            plan.start(prompt(input), uncached, Millis::new(now));
            ends.insert((now + runs_ms, step, input));
        }
        plan.update(CAPACITY, Millis::new(now));
        sizes.push(plan.size());
    }
    for (end, _, input) in ends {
        plan.end(
            prompt(input),
            Millis::new(end.min((from_s + seconds) * 1_000)),
        );
    }
    sizes
}

fn zones(counts: &[usize]) -> Vec<Vec<String>> {
    let ids = |(zone, count): (usize, &usize)| {
        let ids = (0..*count).map(|index| format!("i-{zone}-{index}"));
        ids.collect()
    };
    counts.iter().enumerate().map(ids).collect()
}

fn short_ids(counts: &[usize], size: LaneSize) -> BTreeSet<String> {
    let zones = zones(counts);
    let names: Vec<Vec<&str>> = zones
        .iter()
        .map(|ids| ids.iter().map(String::as_str).collect())
        .collect();
    let lanes = sized_lanes(&names, size);
    let pairs = zones.iter().flatten().zip(lanes.iter().flatten());
    pairs
        .filter(|(_, lane)| **lane == Lane::Short)
        .map(|(id, _)| id.clone())
        .collect()
}

/// One engine in five takes the short prompts, whatever the mix: a service that mostly gets short
/// ones would serve them beside long prompts as soon as the fifth is busy.
#[gtest]
fn a_lane_gets_as_many_engines_as_its_work_needs() {
    let engines = |chats| {
        let mut plan = LanePlan::default();
        run(&mut plan, chats, 0, 120, 3);
        short_ids(&[16, 16, 16], plan.size()).len()
    };
    expect_that!(engines(0.97), ge(30));
    expect_that!(engines(0.6), all!(ge(12), le(30)));
    expect_that!(engines(0.05), le(10));
}

/// Zones with one engine each had no lanes at all, so that streams and long prompts shared all
/// engines.
#[gtest]
fn a_service_with_one_engine_in_each_zone_has_lanes() {
    for size in [LaneSize::ByCount, LaneSize::Parts(4), LaneSize::Parts(5)] {
        let short = short_ids(&[1, 1, 1, 1, 1], size);
        expect_that!(short.len(), all!(ge(1), le(4)), "{size}");
    }
    expect_that!(short_ids(&[1], LaneSize::Parts(4)), is_empty());
}

/// Each zone has engines of both lanes if it has enough of them, and a larger lane holds the
/// smaller one: entries with different sizes agree on all other engines, and prefixes stay there.
#[gtest]
fn a_larger_lane_contains_a_smaller_one() {
    let counts = [9, 10, 5];
    let mut smaller = BTreeSet::new();
    for parts in 1..6 {
        let short = short_ids(&counts, LaneSize::Parts(parts));
        expect_true!(short.is_superset(&smaller));
        expect_that!(short.len(), eq(usize::from(parts) * 4));
        if (2..5).contains(&parts) {
            for (zone, count) in counts.iter().enumerate() {
                let prefix = format!("i-{zone}-");
                let of_zone = short.iter().filter(|id| id.starts_with(&prefix)).count();
                expect_that!(of_zone, all!(ge(1), lt(*count)), "{parts} {zone}");
            }
        }
        smaller = short;
    }
}

/// Entries see different samples of the same requests. If each had lanes of its own, long prompts of
/// one would meet the streams of another, and prefixes would be cached in several places.
#[gtest]
fn entries_agree_on_the_lanes_most_of_the_time() {
    const ENTRIES: u64 = 25;
    const MINUTES: u64 = 5;
    for chats in [0.2, 0.4, 0.6, 0.8, 0.9] {
        let mut sizes: Vec<Vec<LaneSize>> = Vec::new();
        for entry in 0..ENTRIES {
            let all = run(&mut LanePlan::default(), chats, 0, MINUTES * 60, entry);
            sizes.push(all[60 * 20..].to_vec());
        }
        let changes = |entry: &Vec<LaneSize>| {
            let pairs = entry.windows(2);
            pairs.filter(|pair| pair[0] != pair[1]).count()
        };
        let changes: usize = sizes.iter().map(changes).sum();
        // At most one change per entry and minute while the mix stays the same.
        expect_that!(changes, le((ENTRIES * (MINUTES - 1)) as usize), "{chats}");
        let mut agreeing = 0;
        for step in 0..sizes[0].len() {
            let mut counts = BTreeMap::<String, usize>::new();
            for entry in &sizes {
                *counts.entry(entry[step].to_string()).or_default() += 1;
            }
            agreeing += counts.values().max().copied().unwrap_or_default();
        }
        let agreement = agreeing as f64 / (sizes[0].len() * sizes.len()) as f64;
        expect_that!(agreement, ge(0.8), "{chats}");
    }
}

/// After the mix has changed, the lanes follow within a minute.
#[gtest]
fn lanes_follow_the_work() {
    let mut plan = LanePlan::default();
    run(&mut plan, 0.95, 0, 120, 5);
    let before = short_ids(&[16, 16, 16], plan.size()).len();
    run(&mut plan, 0.1, 120, 60, 6);
    let after = short_ids(&[16, 16, 16], plan.size()).len();
    expect_that!(after, le(before / 2));
}
