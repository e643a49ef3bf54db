//! The choice of a target, by pattern of load.

use cyc_gateway::{
    call::PromptPart,
    choose::{Ask, Candidate, LONG_TOKENS, Lane, Options, choose, lanes},
};
use cyc_types::Tokens;
use googletest::prelude::*;

fn candidate(id: &str) -> Candidate<'_> {
    Candidate {
        id,
        is_near: true,
        may_be_home: true,
        lane: Lane::Any,
        in_flight: 0,
        unread: 0,
        running: 0,
        waiting: 0,
        slots: 128,
        reading_part: 0.0,
        slowness: 1.0,
        cached_parts: 0,
    }
}

fn parts(subject: u64) -> [PromptPart; 2] {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens::new(tokens),
    };
    [part(1, 2_520), part(subject, 3_780)]
}

const IDS: [&str; 12] = [
    "i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10", "i-11",
];

fn pick(candidates: &[Candidate<'_>], shared: &[PromptPart]) -> usize {
    let ask = Ask {
        input: 9_190,
        shared,
    };
    choose(candidates, Some(ask), &Options::default())
        .unwrap()
        .index
}

/// Pattern: the same long start from callers of all entries. Entries that know nothing of each
/// other have to find the same target.
#[gtest]
fn entries_choose_the_same_home_for_a_common_start() {
    let near = |zone: usize| {
        let all = IDS.iter().enumerate().map(move |(index, id)| Candidate {
            is_near: index % 3 == zone,
            ..candidate(id)
        });
        all.collect::<Vec<_>>()
    };
    for subject in 10..100 {
        let chosen: Vec<usize> = (0..3)
            .map(|zone| pick(&near(zone), &parts(subject)))
            .collect();
        expect_true!(
            chosen.iter().all(|index| *index == chosen[0]),
            "{subject}: {chosen:?}"
        );
    }
}

/// Pattern: many subjects at once. Homes have to spread over all targets.
#[gtest]
fn homes_spread_over_all_targets() {
    let candidates: Vec<Candidate<'_>> = IDS.iter().map(|id| candidate(id)).collect();
    let mut counts = [0; 12];
    for subject in 0..1_200 {
        counts[pick(&candidates, &parts(subject))] += 1;
    }
    expect_that!(counts.iter().min().unwrap(), ge(&60));
    expect_that!(counts.iter().max().unwrap(), le(&150));
}

/// Pattern: one subject gets much of the traffic. Its home fills; the next ones go elsewhere.
#[gtest]
fn a_hot_subject_spills_once_its_home_is_busy() {
    let mut candidates: Vec<Candidate<'_>> = IDS.iter().map(|id| candidate(id)).collect();
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let index = pick(&candidates, &parts(5));
        used.insert(index);
        candidates[index].unread += 3_000;
    }
    expect_that!(used.len(), ge(3));
}

/// Pattern: a target has turned slow. Its subjects move away.
#[gtest]
fn a_slow_home_loses_its_subjects() {
    let mut candidates: Vec<Candidate<'_>> = IDS.iter().map(|id| candidate(id)).collect();
    let home = pick(&candidates, &parts(5));
    candidates[home].slowness = 5.0;
    candidates[home].unread = 3_000;
    expect_that!(pick(&candidates, &parts(5)), not(eq(home)));
}

/// Pattern: short calls to a plain service with one target a zone.
#[gtest]
fn plain_calls_stay_near_until_the_near_target_is_full() {
    let far = |id| Candidate {
        is_near: false,
        slots: 6,
        ..candidate(id)
    };
    let mut candidates = [
        far("i-0"),
        Candidate {
            is_near: true,
            ..far("i-1")
        },
        far("i-2"),
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

/// Pattern: live chat beside long drafts. Long prompts hold up the tokens of what runs beside
/// them, so each keeps to its own engines.
#[gtest]
fn long_prompts_and_short_ones_keep_to_their_lanes() {
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
    for subject in 0..50 {
        for (input, expected) in [(LONG_TOKENS, Lane::Long), (700, Lane::Short)] {
            let shared = [PromptPart {
                id: subject,
                tokens: Tokens::new(170),
            }];
            let ask = Ask {
                input,
                shared: &shared,
            };
            let choice = choose(&candidates, Some(ask), &Options::default()).unwrap();
            expect_that!(
                candidates[choice.index].lane,
                eq(expected),
                "{subject} {input}"
            );
        }
    }
}

/// Pattern: only short prompts come, or the lane's engines are gone. The other lane helps out.
#[gtest]
fn a_full_lane_spills_into_the_other() {
    let mut candidates: Vec<Candidate<'_>> = IDS[..4].iter().map(|id| candidate(id)).collect();
    for (candidate, lane) in candidates.iter_mut().zip(lanes(&IDS[..4])) {
        candidate.lane = lane;
        if lane == Lane::Short {
            candidate.running = 128;
            candidate.waiting = 4;
        }
    }
    let ask = Ask {
        input: 700,
        shared: &[],
    };
    let choice = choose(&candidates, Some(ask), &Options::default()).unwrap();
    expect_that!(candidates[choice.index].lane, eq(Lane::Long));
    expect_that!(lanes(&IDS[..1]), elements_are![eq(&Lane::Any)]);
}
