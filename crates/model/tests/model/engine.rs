//! Batching engines.

use cyc_gateway::call::{Prompt, PromptPart};
use cyc_model::{
    engine::{Engine, JobId, Step},
    scenario::EngineSpec,
};
use cyc_types::Tokens;
use googletest::prelude::*;

fn spec() -> EngineSpec {
    EngineSpec {
        count: 1,
        slots: 2,
        queue: 2,
        memory_tokens: 20_000,
        step_ms: 6.0,
        step_ms_per_slot: 0.5,
        context_ms_per_k: 0.0,
        prompt_tokens_per_ms: 32.0,
        chunk_tokens: 4_096,
        first_ms: 0.0,
        tokens_per_event: 1,
    }
}

fn prompt(ids: &[(u64, u64)]) -> Prompt {
    let parts: Vec<PromptPart> = ids
        .iter()
        .map(|(id, tokens)| PromptPart {
            id: *id,
            tokens: Tokens::new(*tokens),
        })
        .collect();
    Prompt {
        input: parts.iter().map(|part| part.tokens).sum(),
        max_output: Tokens::new(1),
        parts,
    }
}

fn steps(engine: &mut Engine, count: usize) -> Vec<Step> {
    let mut known = std::collections::HashSet::new();
    (0..count)
        .map(|at| engine.step(at as f64, &mut |part| !known.insert(part)))
        .collect()
}

fn read_in(engine: &mut Engine, id: JobId) -> usize {
    let steps = steps(engine, 20);
    steps.iter().position(|step| step.read == [id]).unwrap() + 1
}

#[gtest]
fn a_long_prompt_is_read_in_chunks_and_delays_the_stream_beside_it() {
    let mut engine = Engine::new(spec());
    assert!(engine.push(0, &prompt(&[(1, 32)]), 100));
    let quiet = steps(&mut engine, 3).remove(2);
    assert!(engine.push(1, &prompt(&[(2, 8_192)]), 1));
    let busy = steps(&mut engine, 2);
    expect_that!(quiet.took_ms, near(6.5, 0.01));
    expect_that!(busy[0].took_ms, near(6.5 + 128.0, 0.01));
    expect_that!(busy[0].tokens, elements_are![eq(&(0, false))]);
    expect_that!(busy[1].read, elements_are![eq(&1)]);
}

#[gtest]
fn a_common_start_is_read_once_as_long_as_the_memory_holds_it() {
    let mut engine = Engine::new(spec());
    engine.push(0, &prompt(&[(1, 12_288), (2, 100)]), 1);
    expect_that!(read_in(&mut engine, 0), eq(4));
    engine.push(1, &prompt(&[(1, 12_288), (3, 100)]), 1);
    expect_that!(read_in(&mut engine, 1), eq(1));
    expect_that!(engine.work.cached, eq(12_288));
    // Another long start takes its place.
    engine.push(2, &prompt(&[(4, 12_288), (5, 100)]), 1);
    read_in(&mut engine, 2);
    engine.push(3, &prompt(&[(1, 12_288), (6, 100)]), 1);
    expect_that!(read_in(&mut engine, 3), eq(4));
    expect_that!(engine.work.reread, eq(0));
}

#[gtest]
fn a_full_queue_refuses_and_a_caller_that_leaves_makes_room() {
    let mut engine = Engine::new(spec());
    let small = prompt(&[(1, 10)]);
    let taken: Vec<bool> = (0..3).map(|id| engine.push(id, &small, 50)).collect();
    expect_that!(taken, elements_are![eq(&true), eq(&true), eq(&false)]);
    engine.cancel(1);
    expect_true!(engine.push(3, &small, 50));
    expect_that!(engine.clear(), unordered_elements_are![eq(&0), eq(&3)]);
    expect_true!(engine.is_idle());
}
