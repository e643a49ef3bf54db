//! Cost of target selection by the number of targets.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cyc_gateway::{
    call::{PartId, Prompt, PromptPart},
    choose::Options,
    fleet::{Fleet, Requirements},
    member::{Record, TargetState},
};
use cyc_types::{Millis, ServiceId, Tokens, VmId, size::ParseValueError};

const SIZES: [usize; 5] = [12, 100, 160, 1_000, 10_000];

fn fleet(size: usize, service: &ServiceId) -> Result<Fleet, ParseValueError> {
    let vm: VmId = "vm-1".parse()?;
    let mut fleet = Fleet::new("a".parse()?, Options::default()).with_entry(&vm);
    let mut records = Vec::new();
    for index in 0..size {
        records.push(Record {
            id: format!("i-{index}").parse()?,
            started_at: None,
            service: service.clone(),
            addr: ([127, 0, 0, 1], 9_000).into(),
            zone: ["a", "b", "c"][index % 3].parse()?,
            slots: 128,
            state: TargetState::Ready,
            cold_left: Millis::ZERO,
        });
    }
    fleet.set_targets(records.iter(), Millis::ZERO);
    Ok(fleet)
}

fn prompt(prefix: u64) -> Prompt {
    let part = |id, tokens| PromptPart {
        id: PartId::new(id),
        tokens: Tokens::new(tokens),
    };
    Prompt {
        input: Tokens::new(9_190),
        max_output: Tokens::new(100),
        parts: vec![part(1, 2_520), part(prefix, 3_780), part(2, 2_890)],
    }
}

fn choices(c: &mut Criterion) {
    let service: ServiceId = "writer".parse().expect("the name is valid");
    let required = Requirements {
        service: &service,
        connections: 100,
        objective: None,
        pauses: None,
        tried: &[],
        may_probe: true,
        may_ask: true,
    };
    let mut group = c.benchmark_group("fleet_choose");
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    for size in SIZES {
        let mut fleet = fleet(size, &service).expect("the names are valid");
        let mut prefix = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                prefix = prefix.wrapping_add(0x9E37_79B9_7F4A_7C15);
                let prompt = prompt(prefix);
                black_box(fleet.choose(&required, Some(&prompt), Millis::ZERO))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices);
criterion_main!(benches);
