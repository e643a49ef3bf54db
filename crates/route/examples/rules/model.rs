//! The fleet, its load, and what the entries learn of it late and with gaps.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use cyc_proto::sidecar::LoadReport;
use cyc_route::{Ask, Options, Target, choose};
use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId, hash, size::ParseValueError};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::engine::{Engine, Job, Started};

const ENTRIES: usize = 3;
const REQUESTS: usize = 8_000;
/// Requests before the figures count, to fill the caches.
const WARM_UP: usize = 1_000;
/// Mean times between two requests for each engine, at an ordinary and at a high load.
pub const GAPS_MS: [f64; 2] = [330.0, 200.0];
const REPORT_EVERY_MS: u64 = 250;
const REPORT_LAG_MS: u64 = 100;
const EVENT_LAG_MS: std::ops::Range<u64> = 500..2_500;
const EVENT_LOSS: f64 = 0.2;
/// Prompts with a common beginning.
const FAMILIES: u64 = 60;
const TAIL_BLOCKS: u64 = 4;

/// A fleet of today.
pub struct Fleet {
    pub name: &'static str,
    pub engines: usize,
    /// Time there and back between availability zones.
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

/// What a run gave.
#[derive(Default)]
pub struct Outcome {
    hits: usize,
    blocks: usize,
    first_token_ms: Vec<u64>,
}

impl Outcome {
    pub fn hit_share(&self) -> f64 {
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
    AskReport,
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
    gap_ms: f64,
    rng: SmallRng,
    engines: Vec<Engine>,
    /// The targets as each entry sees them.
    views: Vec<Vec<Target>>,
    zones: Vec<AvailabilityZone>,
    service: ServiceId,
    model: ModelId,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    arrived: usize,
    turns: Vec<u64>,
    outcome: Outcome,
}

/// Runs one model of `fleet` to its end.
pub fn run(
    fleet: &Fleet,
    gap_ms: f64,
    options: &Options,
    seed: u64,
) -> Result<Outcome, ParseValueError> {
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
        gap_ms,
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
        turns: vec![0; ENTRIES],
        outcome: Outcome::default(),
    };
    cx.at(0, Event::Arrive);
    cx.at(0, Event::AskReport);
    while let Some(Reverse((now, id))) = cx.queue.pop() {
        if let Some(event) = cx.events.remove(&id) {
            cx.handle(now, event);
        }
    }
    Ok(cx.outcome)
}

impl Model<'_> {
    fn at(&mut self, time: u64, event: Event) {
        self.queue.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Finish { engine, entry } => {
                self.engines[engine].finish();
                self.views[entry][engine].load.end();
                self.start(engine, now);
            }
            Event::AskReport => self.ask_reports(now),
            Event::Report {
                entry,
                engine,
                report,
                mark,
            } => {
                self.views[entry][engine].load.report(&report, mark);
            }
            Event::Cached {
                entry,
                engine,
                blocks,
            } => {
                self.views[entry][engine]
                    .prefixes
                    .note(&blocks, Millis::new(now));
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        self.arrived += 1;
        if self.arrived < REQUESTS {
            let mean = self.gap_ms / self.engines.len() as f64;
            let gap = -mean * (1.0 - self.rng.random::<f64>()).ln();
            self.at(now + gap.round() as u64, Event::Arrive);
        }
        let job = self.job(now);
        let entry = job.entry;
        self.turns[entry] += 1;
        let ask = Ask {
            service: &self.service,
            model: Some(&self.model),
            adapter: None,
            key: job.blocks[0],
            prefixes: &job.blocks,
            zone: &self.zones[entry],
            now: Millis::new(now),
            turn: self.turns[entry],
        };
        let Some(engine) = choose(&self.views[entry], &ask, self.options)
            .first()
            .copied()
        else {
            return;
        };
        let target = &mut self.views[entry][engine];
        target.load.start();
        target.prefixes.note(&job.blocks, Millis::new(now));
        self.engines[engine].push(job);
        self.start(engine, now);
    }

    /// Draws a request: a family's beginning, small families being frequent, and a tail of its own.
    fn job(&mut self, now: u64) -> Job {
        let skewed = self.rng.random::<f64>() * self.rng.random::<f64>();
        let family = (skewed * FAMILIES as f64) as u64;
        let head = 8 + (hash::stable(&family.to_be_bytes()) % 33);
        let name =
            |kind: u64, n: u64| hash::stable(&[kind.to_be_bytes(), n.to_be_bytes()].concat());
        let mut blocks: Vec<u64> = (0..head).map(|n| name(family, n)).collect();
        let own = FAMILIES + self.arrived as u64;
        blocks.extend((0..TAIL_BLOCKS).map(|n| name(own, n)));
        let entry = self.rng.random_range(0..ENTRIES);
        Job {
            arrived: now,
            entry,
            blocks,
            decode_ms: self.rng.random_range(300..2_500),
        }
    }

    fn start(&mut self, engine: usize, now: u64) {
        while let Some(started) = self.engines[engine].start(now) {
            self.count(&started);
            let Started {
                job, first_token, ..
            } = started;
            let entry = job.entry;
            self.at(first_token + job.decode_ms, Event::Finish { engine, entry });
            for entry in 0..ENTRIES {
                let late = self.rng.random_range(EVENT_LAG_MS);
                let named = job
                    .blocks
                    .iter()
                    .filter(|_| !self.rng.random_bool(EVENT_LOSS));
                let blocks = named.copied().collect();
                self.at(
                    first_token + late,
                    Event::Cached {
                        entry,
                        engine,
                        blocks,
                    },
                );
            }
        }
    }

    fn count(&mut self, started: &Started) {
        if self.arrived > WARM_UP {
            self.outcome.hits += started.hits;
            self.outcome.blocks += started.job.blocks.len();
            self.outcome
                .first_token_ms
                .push(started.first_token - started.job.arrived);
        }
    }

    fn ask_reports(&mut self, now: u64) {
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
                self.at(
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
            self.at(now + REPORT_EVERY_MS, Event::AskReport);
        }
    }
}
