//! Services whose targets do not report their pace.

use cyc_gateway::{
    call::{PartId, Prompt, PromptPart},
    choose::Options,
    fleet::{FinishedPrefill, Fleet, Load, Requirements, Verdict},
    member::{Record, TargetState},
    timely::Pauses,
};
use cyc_types::{Millis, ServiceId, TargetId, Tokens, VmId, hash};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// The digest of the choices of commit acc5869, which learnt nothing from answers.
const DIGEST: u64 = 1_542_668_124_432_528_547;
const TARGETS: usize = 18;
const REQUESTS: u64 = 6_000;

fn id(index: usize) -> TargetId {
    format!("i-{index}").parse().unwrap()
}

fn record(index: usize, service: &ServiceId) -> Record {
    Record {
        id: id(index),
        started_at: None,
        service: service.clone(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: ["a", "b", "c"][index % 3].parse().unwrap(),
        slots: 16,
        state: TargetState::Ready,
        cold_left: Millis::ZERO,
    }
}

/// A prompt of one of three kinds.
fn prompt(rng: &mut StdRng) -> Prompt {
    let part = |id, tokens| PromptPart {
        id: PartId::new(id),
        tokens: Tokens::new(tokens),
    };
    let (prefixes, shared, own) =
        [(40, 6_000, 3_000), (200, 500, 1_900), (100, 170, 530)][rng.random_range(0..3_usize)];
    let prefix = rng.random_range(0..prefixes);
    Prompt {
        input: Tokens::new(shared + own),
        max_output: Tokens::new(100),
        parts: vec![part(shared + prefix, shared), part(rng.random(), own)],
    }
}

/// What was learnt for services with reported paces would change the choices for all others, whose
/// costs were tuned without it.
#[gtest]
fn choices_without_reported_paces_are_as_before() {
    let service: ServiceId = "writer".parse().unwrap();
    let vm: VmId = "vm-1".parse().unwrap();
    let mut fleet = Fleet::new("a".parse().unwrap(), Options::default()).with_entry(&vm);
    fleet.set_entries(4);
    let records: Vec<Record> = (0..TARGETS).map(|index| record(index, &service)).collect();
    fleet.set_targets(records.iter(), Millis::ZERO);
    let mut rng = StdRng::seed_from_u64(7);
    let mut digest = 0;
    let mut running = Vec::new();
    for number in 0..REQUESTS {
        let now = Millis::new(number * 20);
        let ended = running.extract_if(.., |(end, ..): &mut (u64, _, _, _, _)| *end <= now.get());
        for (end, target, choice, prompt, took) in ended.collect::<Vec<_>>() {
            let choice: cyc_gateway::choose::Choice = choice;
            let load = Load {
                running: rng.random_range(0..20),
                waiting: rng.random_range(0..3),
                slots: 16,
                work_percent: None,
            };
            let at = Millis::new(end);
            fleet.record_load(&target, load, at);
            let prefill = FinishedPrefill {
                uncached: choice.uncached,
                ahead: choice.ahead,
                prompt: Some(&prompt),
                took: Millis::new(took),
                expected: choice.estimate,
            };
            fleet.finish_prefill(&target, &prefill, at);
            fleet.end_attempt(&target, 0, Verdict::Answered, at);
        }
        let prompt = prompt(&mut rng);
        let required = Requirements {
            service: &service,
            connections: 100,
            objective: Some(Millis::new(800)),
            pauses: Some(Pauses {
                longest: Millis::new(400),
                tokens_per_event: 5,
            }),
            tried: &[],
            may_probe: true,
            may_ask: true,
        };
        let (target, choice) = fleet.choose(&required, Some(&prompt), now).unwrap();
        let chosen = hash::stable(target.as_str().as_bytes());
        digest = hash::combine(digest, chosen);
        digest = hash::combine(digest, choice.uncached ^ choice.estimate.get() << 32);
        fleet.start_attempt(&target, choice.uncached, now);
        fleet.start_generation(&target, prompt.size(), choice.uncached, now);
        let took = rng.random_range(50..900);
        running.push((now.get() + took, target, choice, prompt, took));
    }
    expect_that!(digest, eq(DIGEST));
}
