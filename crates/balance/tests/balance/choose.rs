//! Target selection under typical load patterns.

use cyc_balance::{
    choose::{Candidate, LONG_PROMPT_TOKENS, Lane, Options, PromptInput, choose, lanes},
    prompt::{PartId, PromptPart},
};
use cyc_types::Tokens;
use googletest::prelude::*;

fn candidate(id: &str) -> Candidate<'_> {
    Candidate {
        id,
        is_same_zone: true,
        affinity: 0.0,
        lane: Lane::Any,
        in_flight: 0,
        pending_tokens: 0,
        running: 0,
        waiting: 0,
        slots: 128,
        prefill_fraction: 0.0,
        slowness: 1.0,
        cached_parts: 0,
    }
}

fn parts(prefix: u64) -> [PromptPart; 2] {
    let part = |id, tokens| PromptPart {
        id: PartId::new(id),
        tokens: Tokens::new(tokens),
    };
    [part(1, 2_520), part(prefix, 3_780)]
}

const IDS: [&str; 12] = [
    "i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10", "i-11",
];

fn pick(candidates: &[Candidate<'_>], shared: &[PromptPart]) -> usize {
    let prompt = PromptInput {
        input: 9_190,
        shared,
    };
    choose(candidates, Some(prompt), &Options::default())
        .unwrap()
        .index
}

/// A target that has become slow would keep attracting requests with its prefixes.
#[gtest]
fn a_slow_target_loses_its_prefixes() {
    let mut candidates: Vec<Candidate<'_>> = IDS.iter().map(|id| candidate(id)).collect();
    candidates[5].affinity = 1.0;
    candidates[7].affinity = 0.5;
    expect_that!(pick(&candidates, &parts(5)), eq(5));
    candidates[5].slowness = 5.0;
    candidates[5].pending_tokens = 3_000;
    expect_that!(pick(&candidates, &parts(5)), eq(7));
}

/// Short calls to a plain service with one target per zone would cross zones needlessly, or queue
/// in their own zone.
#[gtest]
fn plain_calls_stay_in_their_zone_until_its_target_is_full() {
    let other_zone = |id| Candidate {
        is_same_zone: false,
        slots: 6,
        ..candidate(id)
    };
    let mut candidates = [
        other_zone("i-0"),
        Candidate {
            is_same_zone: true,
            ..other_zone("i-1")
        },
        other_zone("i-2"),
    ];
    let options = Options::default();
    expect_that!(choose(&candidates, None, &options).unwrap().index, eq(1));
    candidates[1].running = 6;
    candidates[1].waiting = 2;
    expect_that!(
        choose(&candidates, None, &options).unwrap().index,
        not(eq(1))
    );
    expect_that!(choose(&[], None, &options), none());
}

/// Long prompts delay the tokens of streams on the same engine, for example chat beside long
/// drafts, unless each kind keeps to its own engines.
#[gtest]
fn long_and_short_prompts_keep_to_their_lanes() {
    let zone = &IDS[..4];
    let lanes = lanes(zone);
    let all = zone.iter().zip(&lanes);
    let candidates: Vec<Candidate<'_>> = all
        .map(|(id, lane)| Candidate {
            lane: *lane,
            ..candidate(id)
        })
        .collect();
    expect_that!(
        lanes.iter().filter(|lane| **lane == Lane::Short).count(),
        eq(1)
    );
    for prefix in 0..50 {
        for (input, expected) in [(LONG_PROMPT_TOKENS, Lane::Long), (700, Lane::Short)] {
            let shared = [PromptPart {
                id: PartId::new(prefix),
                tokens: Tokens::new(170),
            }];
            let prompt = PromptInput {
                input,
                shared: &shared,
            };
            let choice = choose(&candidates, Some(prompt), &Options::default()).unwrap();
            expect_that!(
                candidates[choice.index].lane,
                eq(expected),
                "{prefix} {input}"
            );
        }
    }
}

/// Short prompts would queue if only short ones arrive or the engines of their lane are full,
/// although the other lane has capacity.
#[gtest]
fn a_full_lane_spills_over_into_the_other() {
    let mut candidates: Vec<Candidate<'_>> = IDS[..4].iter().map(|id| candidate(id)).collect();
    for (candidate, lane) in candidates.iter_mut().zip(lanes(&IDS[..4])) {
        candidate.lane = lane;
        if lane == Lane::Short {
            candidate.running = 128;
            candidate.waiting = 4;
        }
    }
    let prompt = PromptInput {
        input: 700,
        shared: &[],
    };
    let choice = choose(&candidates, Some(prompt), &Options::default()).unwrap();
    expect_that!(candidates[choice.index].lane, eq(Lane::Long));
    expect_that!(lanes(&IDS[..1]), elements_are![eq(&Lane::Any)]);
}
