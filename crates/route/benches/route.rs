//! Cost of one routing decision by the number of targets.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cyc_route::{Options, RoutingRequest, Rule, Target, choose, prefix};
use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId, size::ParseValueError};
use strum::IntoEnumIterator as _;

const TARGET_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];
const PROMPT_BLOCKS: usize = 32;

struct Fixture {
    service: ServiceId,
    model: ModelId,
    zone: AvailabilityZone,
    targets: Vec<Target>,
    prefixes: Vec<u64>,
}

fn fixture(size: usize) -> Result<Fixture, ParseValueError> {
    let (service, model): (ServiceId, ModelId) = ("writer".parse()?, "quill".parse()?);
    let zone: AvailabilityZone = "almaty-a".parse()?;
    let prefixes = prefix::hashes(&vec![b'x'; PROMPT_BLOCKS * prefix::BLOCK_BYTES]);
    let mut targets = Vec::new();
    for n in 0..size {
        let target = Target::new(
            format!("engine-{n}").parse()?,
            vec![service.clone()],
            zone.clone(),
        );
        let mut target = target.with_models(vec![model.clone()]);
        target
            .prefixes
            .record(&prefixes[..n % PROMPT_BLOCKS], Millis::ZERO);
        (0..n % 5).for_each(|_| target.load.record_start());
        targets.push(target);
    }
    Ok(Fixture {
        service,
        model,
        zone,
        targets,
        prefixes,
    })
}

fn routing_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    for size in TARGET_COUNTS {
        let fixture = fixture(size).expect("the names are valid");
        for rule in Rule::iter() {
            let options = Options {
                rule,
                ..Options::default()
            };
            let mut key = 0;
            group.bench_function(BenchmarkId::new(rule.to_string(), size), |b| {
                b.iter(|| {
                    key += 1;
                    let request = RoutingRequest {
                        service: &fixture.service,
                        model: Some(&fixture.model),
                        adapter: None,
                        key,
                        prefixes: &fixture.prefixes,
                        zone: &fixture.zone,
                        now: Millis::ZERO,
                        request_number: key,
                    };
                    black_box(choose(&fixture.targets, &request, &options))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, routing_decisions);
criterion_main!(benches);
