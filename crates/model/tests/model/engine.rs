//! Steps, prefix cache and queue of a simulated engine.

use cyc_gateway::call::{PartId, Prompt, PromptPart};
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
        event_delay_ms: 0.0,
        paces: vec![1.0],
        reports_pace: false,
        spells: None,
        tokens_per_event: 1,
    }
}

fn prompt(parts: &[(u64, u64)]) -> Prompt {
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|(id, tokens)| PromptPart {
            id: PartId::new(*id),
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
    let mut prefilled = std::collections::HashSet::new();
    (0..count)
        .map(|step| engine.step(step as f64, &mut |key| !prefilled.insert(key)))
        .collect()
}

fn steps_to_prefill(engine: &mut Engine, id: JobId) -> usize {
    let steps = steps(engine, 20);
    steps
        .iter()
        .position(|step| step.prefilled == [id])
        .unwrap()
        + 1
}

#[gtest]
fn a_long_prompt_is_prefilled_in_chunks_and_slows_a_concurrent_stream() {
    let mut engine = Engine::new(spec());
    assert!(engine.enqueue(0, &prompt(&[(1, 32)]), 100));
    let decode_only = steps(&mut engine, 3).remove(2);
    assert!(engine.enqueue(1, &prompt(&[(2, 8_192)]), 1));
    let with_prefill = steps(&mut engine, 2);
    expect_that!(decode_only.took_ms, near(6.5, 0.01));
    expect_that!(with_prefill[0].took_ms, near(6.5 + 128.0, 0.01));
    expect_that!(with_prefill[0].tokens, elements_are![eq(&(0, false))]);
    expect_that!(with_prefill[1].prefilled, elements_are![eq(&1)]);
}

#[gtest]
fn a_shared_prefix_is_prefilled_once_until_it_is_evicted() {
    let mut engine = Engine::new(spec());
    engine.enqueue(0, &prompt(&[(1, 12_288), (2, 100)]), 1);
    expect_that!(steps_to_prefill(&mut engine, 0), eq(4));
    engine.enqueue(1, &prompt(&[(1, 12_288), (3, 100)]), 1);
    expect_that!(steps_to_prefill(&mut engine, 1), eq(1));
    expect_that!(engine.prompt_tokens.cached, eq(12_288));
    // Another long prefix evicts the first one.
    engine.enqueue(2, &prompt(&[(4, 12_288), (5, 100)]), 1);
    steps_to_prefill(&mut engine, 2);
    engine.enqueue(3, &prompt(&[(1, 12_288), (6, 100)]), 1);
    expect_that!(steps_to_prefill(&mut engine, 3), eq(4));
    expect_that!(engine.prompt_tokens.recomputed, eq(0));
}

#[gtest]
fn a_full_queue_refuses_requests_until_one_is_cancelled() {
    let mut engine = Engine::new(spec());
    let small = prompt(&[(1, 10)]);
    let accepted: Vec<bool> = (0..3).map(|id| engine.enqueue(id, &small, 50)).collect();
    expect_that!(accepted, elements_are![eq(&true), eq(&true), eq(&false)]);
    engine.cancel(1);
    expect_true!(engine.enqueue(3, &small, 50));
    expect_that!(engine.crash(), unordered_elements_are![eq(&0), eq(&3)]);
    expect_true!(engine.is_idle());
}
