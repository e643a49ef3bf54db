//! A simulated fleet, its load, and the delayed and lossy view that entries have of it.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use cyc_proto::sidecar::LoadReport;
use cyc_route::{Options, RoutingRequest, Target, choose};
use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId, hash, size::ParseValueError};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::engine::{Engine, Job, Started};

const ENTRIES: usize = 3;
const REQUESTS: usize = 8_000;
/// Requests that fill the caches and are left out of the results.
const WARM_UP_REQUESTS: usize = 1_000;
/// Mean time between two requests per engine, at ordinary and at high load.
pub const REQUEST_INTERVALS_MS: [f64; 2] = [330.0, 200.0];
const REPORT_INTERVAL_MS: u64 = 250;
const REPORT_LAG_MS: u64 = 100;
const EVENT_LAG_MS: std::ops::Range<u64> = 500..2_500;
const EVENT_LOSS_PROBABILITY: f64 = 0.2;
/// Groups of prompts with a common prefix.
const PREFIX_FAMILIES: u64 = 60;
const UNIQUE_BLOCKS: u64 = 4;

/// An existing fleet.
pub struct Fleet {
    pub name: &'static str,
    pub engines: usize,
    /// Round-trip time between availability zones.
    pub zone_ms: f64,
}

impl Fleet {
    pub const DALA: Self = Self {
        name: "Dala",
        engines: 12,
        zone_ms: 1.0,
    };
    pub const HANBIT: Self = Self {
        name: "Hanbit",
        engines: 20,
        zone_ms: 2.0,
    };
}

/// The results of a run.
#[derive(Default)]
pub struct RunResults {
    hits: usize,
    blocks: usize,
    first_token_ms: Vec<u64>,
}

impl RunResults {
    pub fn hit_rate(&self) -> f64 {
        self.hits as f64 / self.blocks.max(1) as f64
    }

    pub fn percentile(&self, percent: usize) -> u64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() * percent).div_ceil(100).max(1);
        sorted.get(rank - 1).copied().unwrap_or(0)
    }

    pub fn add(&mut self, other: Self) {
        self.hits += other.hits;
        self.blocks += other.blocks;
        self.first_token_ms.extend(other.first_token_ms);
    }
}

enum Event {
    Arrive,
    Finish {
        engine: usize,
        entry: usize,
    },
    RequestReports,
    Report {
        entry: usize,
        engine: usize,
        report: LoadReport,
        mark: u64,
    },
    Cached {
        entry: usize,
        engine: usize,
        blocks: Vec<u64>,
    },
}

struct Model<'a> {
    options: &'a Options,
    interval_ms: f64,
    rng: SmallRng,
    engines: Vec<Engine>,
    /// The targets as each entry knows them.
    views: Vec<Vec<Target>>,
    zones: Vec<AvailabilityZone>,
    service: ServiceId,
    model: ModelId,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    arrived: usize,
    request_counts: Vec<u64>,
    results: RunResults,
}

/// Simulates `fleet` until all requests have finished.
pub fn run(
    fleet: &Fleet,
    interval_ms: f64,
    options: &Options,
    seed: u64,
) -> Result<RunResults, ParseValueError> {
    let (service, model): (ServiceId, ModelId) = ("writer".parse()?, "quill".parse()?);
    let zones = ["a", "b", "c"].map(|zone| zone.parse::<AvailabilityZone>());
    let zones: Vec<_> = zones.into_iter().collect::<Result<_, _>>()?;
    let target = |n: usize| {
        let (id, zone) = (
            format!("engine-{n}").parse()?,
            zones[n % zones.len()].clone(),
        );
        Ok(Target::new(id, vec![service.clone()], zone).with_models(vec![model.clone()]))
    };
    let targets: Vec<Target> = (0..fleet.engines).map(target).collect::<Result<_, _>>()?;
    let mut cx = Model {
        options,
        interval_ms,
        rng: SmallRng::seed_from_u64(seed),
        engines: (0..fleet.engines).map(|_| Engine::default()).collect(),
        views: vec![targets; ENTRIES],
        zones,
        service,
        model,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        next_event: 0,
        arrived: 0,
        request_counts: vec![0; ENTRIES],
        results: RunResults::default(),
    };
    cx.schedule(0, Event::Arrive);
    cx.schedule(0, Event::RequestReports);
    while let Some(Reverse((now, id))) = cx.queue.pop() {
        if let Some(event) = cx.events.remove(&id) {
            cx.handle(now, event);
        }
    }
    Ok(cx.results)
}

impl Model<'_> {
    fn schedule(&mut self, time: u64, event: Event) {
        self.queue.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Finish { engine, entry } => {
                self.engines[engine].finish();
                self.views[entry][engine].load.record_end();
                self.start(engine, now);
            }
            Event::RequestReports => self.request_reports(now),
            Event::Report {
                entry,
                engine,
                report,
                mark,
            } => {
                self.views[entry][engine].load.apply_report(&report, mark);
            }
            Event::Cached {
                entry,
                engine,
                blocks,
            } => {
                self.views[entry][engine]
                    .prefixes
                    .record(&blocks, Millis::new(now));
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        self.arrived += 1;
        if self.arrived < REQUESTS {
            let mean_ms = self.interval_ms / self.engines.len() as f64;
            let interval = -mean_ms * (1.0 - self.rng.random::<f64>()).ln();
            self.schedule(now + interval.round() as u64, Event::Arrive);
        }
        let job = self.job(now);
        let entry = job.entry;
        self.request_counts[entry] += 1;
        let request = RoutingRequest {
            service: &self.service,
            model: Some(&self.model),
            adapter: None,
            key: job.blocks[0],
            prefixes: &job.blocks,
            zone: &self.zones[entry],
            now: Millis::new(now),
            request_number: self.request_counts[entry],
        };
        let Some(engine) = choose(&self.views[entry], &request, self.options)
            .first()
            .copied()
        else {
            return;
        };
        let target = &mut self.views[entry][engine];
        target.load.record_start();
        target.prefixes.record(&job.blocks, Millis::new(now));
        self.engines[engine].push(job);
        self.start(engine, now);
    }

    /// Draws a request: the common prefix of a random family, low-numbered families being more
    /// frequent, followed by unique blocks.
    fn job(&mut self, now: u64) -> Job {
        let skewed = self.rng.random::<f64>() * self.rng.random::<f64>();
        let family = (skewed * PREFIX_FAMILIES as f64) as u64;
        let prefix_blocks = 8 + (hash::stable(&family.to_be_bytes()) % 33);
        let block_hash =
            |kind: u64, n: u64| hash::stable(&[kind.to_be_bytes(), n.to_be_bytes()].concat());
        let mut blocks: Vec<u64> = (0..prefix_blocks).map(|n| block_hash(family, n)).collect();
        let unique_family = PREFIX_FAMILIES + self.arrived as u64;
        blocks.extend((0..UNIQUE_BLOCKS).map(|n| block_hash(unique_family, n)));
        let entry = self.rng.random_range(0..ENTRIES);
        Job {
            arrived_ms: now,
            entry,
            blocks,
            decode_ms: self.rng.random_range(300..2_500),
        }
    }

    fn start(&mut self, engine: usize, now: u64) {
        while let Some(started) = self.engines[engine].start(now) {
            self.record(&started);
            let Started {
                job,
                first_token_ms,
                ..
            } = started;
            let entry = job.entry;
            self.schedule(
                first_token_ms + job.decode_ms,
                Event::Finish { engine, entry },
            );
            for entry in 0..ENTRIES {
                let lag_ms = self.rng.random_range(EVENT_LAG_MS);
                let delivered = job
                    .blocks
                    .iter()
                    .filter(|_| !self.rng.random_bool(EVENT_LOSS_PROBABILITY));
                let blocks = delivered.copied().collect();
                self.schedule(
                    first_token_ms + lag_ms,
                    Event::Cached {
                        entry,
                        engine,
                        blocks,
                    },
                );
            }
        }
    }

    fn record(&mut self, started: &Started) {
        if self.arrived > WARM_UP_REQUESTS {
            self.results.hits += started.hits;
            self.results.blocks += started.job.blocks.len();
            self.results
                .first_token_ms
                .push(started.first_token_ms - started.job.arrived_ms);
        }
    }

    fn request_reports(&mut self, now: u64) {
        for engine in 0..self.engines.len() {
            let (running, queued) = self.engines[engine].load();
            let report = LoadReport {
                sequence: now + 1,
                running: [0, 0, running],
                queued: [0, 0, queued],
                ..LoadReport::default()
            };
            for entry in 0..ENTRIES {
                let mark = self.views[entry][engine].load.mark();
                let report = report.clone();
                self.schedule(
                    now + REPORT_LAG_MS,
                    Event::Report {
                        entry,
                        engine,
                        report,
                        mark,
                    },
                );
            }
        }
        if self.arrived < REQUESTS {
            self.schedule(now + REPORT_INTERVAL_MS, Event::RequestReports);
        }
    }
}
