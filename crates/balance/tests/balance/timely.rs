//! Selection by what would be late.

use cyc_balance::{
    choose::PromptInput,
    load::{ExpectedLoad, LoadEstimate},
    prompt::{PartId, PromptPart},
    speed::{Pace, Speed},
    timely::{Engine, Pauses, Request, Workload, choose},
};
use cyc_types::{Millis, Tokens};
use googletest::prelude::*;

const PAUSES: Pauses = Pauses {
    longest: Millis::new(400),
    tokens_per_event: 5,
};

fn workload() -> Workload {
    Workload {
        prefill_fraction: 0.3,
        burst_tokens: 4_000.0,
        pauses: Some(PAUSES),
        spell_fraction: 0.08,
        spell_factor: 2.5,
    }
}

fn engine(usual: f64, running: f64) -> Engine {
    Engine {
        is_same_zone: true,
        affinity: 0.0,
        cached_parts: 0,
        pending_tokens: 0,
        recent_ms: 0.0,
        load: ExpectedLoad {
            running,
            waiting: 0.0,
        },
        slots: 64,
        prefill_fraction: 0.3,
        speed: Speed::new(60.0, 38.0),
        pace: Pace::unknown(usual),
        memory_fraction: 0.0,
        own_memory_fraction: 0.0,
        slowness: 1.0,
    }
}

fn request(input: u64, shared: &[PromptPart], objective: u64, events: u64) -> Request<'_> {
    Request {
        prompt: PromptInput { input, shared },
        objective: Some(Millis::new(objective)),
        pauses: Some(PAUSES),
        output: events * 5,
    }
}

/// How often each engine is chosen in 100 draws.
fn counts(engines: &[Engine], request: &Request<'_>) -> Vec<usize> {
    let mut counts = vec![0; engines.len()];
    for draw in 0..100 {
        let draw = f64::from(draw) / 100.0;
        let choice = choose(engines, request, &workload(), draw).unwrap();
        counts[choice.index] += 1;
    }
    counts
}

/// A stream on a slow machine pauses for more than its callers accept when the machine gets other
/// work, while fast machines have room; but they must not be filled up for it.
#[gtest]
fn streams_whose_pauses_matter_use_fast_engines_with_room() {
    let stream = request(700, &[], 1_200, 56);
    let engines = [engine(1.2, 6.0), engine(0.55, 20.0), engine(1.2, 6.0)];
    expect_that!(
        counts(&engines, &stream),
        elements_are![eq(&0), eq(&100), eq(&0)]
    );
    let engines = [engine(1.2, 6.0), engine(0.55, 63.0), engine(1.2, 6.0)];
    expect_that!(counts(&engines, &stream)[1], eq(0));
}

/// A long prompt makes all streams on a slow engine pause.
#[gtest]
fn long_prompts_avoid_slow_engines_with_many_streams() {
    let long = request(9_000, &[], 800, 10);
    let engines = [engine(1.2, 30.0), engine(1.2, 3.0)];
    expect_that!(counts(&engines, &long), elements_are![eq(&0), eq(&100)]);
}

/// A long prompt whose engine is slowed down by other work at the moment misses its objective.
#[gtest]
fn a_spell_is_avoided_while_it_lasts() {
    let long = request(9_000, &[], 800, 10);
    let in_spell = |kept| Engine {
        pace: Pace {
            usual: 1.2,
            reported: 3.0,
            kept,
        },
        ..engine(1.2, 3.0)
    };
    expect_that!(counts(&[in_spell(1.0), engine(1.2, 3.0)], &long)[0], eq(0));
    expect_that!(counts(&[in_spell(0.0), engine(1.2, 3.0)], &long)[0], ge(40));
}

/// Prefilling shared parts again costs all requests at the engine.
#[gtest]
fn shared_parts_stay_where_they_are_cached() {
    let shared = [PromptPart {
        id: PartId::new(1),
        tokens: Tokens::new(6_000),
    }];
    let long = request(9_000, &shared, 800, 10);
    let cached = Engine {
        cached_parts: 1,
        ..engine(1.2, 8.0)
    };
    expect_that!(
        counts(&[engine(1.2, 4.0), cached, engine(1.2, 4.0)], &long)[1],
        eq(100)
    );
    let full = Engine {
        load: ExpectedLoad {
            running: 64.0,
            waiting: 12.0,
        },
        ..cached
    };
    expect_that!(
        counts(&[engine(1.2, 4.0), full, engine(1.2, 4.0)], &long)[1],
        eq(0)
    );
}

/// All entries would send to the first of several equal targets, or to the one that they have sent
/// the most.
#[gtest]
fn equal_targets_are_drawn_and_take_turns() {
    let stream = request(700, &[], 1_200, 56);
    let mut engines = [engine(1.0, 5.0); 4];
    expect_that!(counts(&engines, &stream), each(ge(&20)));
    engines[2].recent_ms = 60.0;
    expect_that!(counts(&engines, &stream)[2], eq(0));
    expect_that!(choose(&[], &stream, &workload(), 0.5), none());
    expect_that!(
        choose(&engines, &stream, &workload(), 1.0),
        some(anything())
    );
}

/// A target that has just returned, or has not answered for long, would look idle to all entries.
#[gtest]
fn an_old_report_becomes_the_usual_load() {
    let usual = ExpectedLoad {
        running: 12.0,
        waiting: 1.0,
    };
    let lasts = Millis::new(1_000);
    let at = Millis::new;
    let mut load = LoadEstimate::default();
    expect_that!(load.get(usual, 0, lasts, at(0)).running, near(12.0, 0.01));
    load.record(0, 0, at(0));
    expect_that!(load.get(usual, 0, lasts, at(0)).running, near(0.0, 0.01));
    expect_that!(load.get(usual, 0, lasts, at(2_000)).running, ge(4.0));
    expect_that!(
        load.get(usual, 0, lasts, at(60_000)).running,
        near(12.0, 0.1)
    );
    load.send();
    load.send();
    expect_that!(load.get(usual, 2, lasts, at(0)).running, near(2.0, 0.01));
    load.record(7, 3, at(100));
    let now = load.get(usual, 2, lasts, at(100));
    expect_that!((now.running, now.waiting), eq((7.0, 3.0)));
}
