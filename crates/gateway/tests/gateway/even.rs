//! Even load on stale reports: many entries that choose at the same moment.

use std::collections::VecDeque;

use cyc_gateway::{
    call::Prompt,
    choose::Options,
    fleet::{FinishedPrefill, Fleet, Load, Requirements, Verdict},
    member::{Record, TargetState},
};
use cyc_types::{Millis, ServiceId, TargetId, Tokens, VmId};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// Time from a report to its use, at least.
const REPORT_AGE_MS: u64 = 200;
/// Time that a target of usual speed works on one request.
const WORK_MS: f64 = 30.0;
const SLOTS: u32 = 16;
/// Time over which the work that targets get is compared.
const WINDOW_MS: u64 = 2_000;
const TOKENS: u64 = 900;

/// Entries and targets of a trial, and the part of their time that targets work.
#[derive(Clone, Copy)]
struct Trial {
    entries: usize,
    targets: usize,
    utilization: f64,
    /// Targets report their pace, without which the selection is that of before.
    reports_pace: bool,
}

/// What a trial shows.
#[derive(Debug, Default)]
struct Shown {
    /// Work sent to the busiest target relative to the mean, the mean over all windows.
    busiest: f64,
    /// Part of the requests that meet a queue while another target is idle.
    queued: f64,
    /// Requests that the target without any reports got in the first 200 ms, relative to the mean.
    returned: f64,
}

struct Target {
    /// When the target has done all its work.
    free_at: f64,
    pace: f64,
}

impl Target {
    fn running(&self, now: f64) -> u32 {
        ((self.free_at - now).max(0.0) / (WORK_MS * self.pace)).ceil() as u32
    }
}

struct Pending {
    at: u64,
    entry: usize,
    target: usize,
    load: Load,
    uncached: u64,
    took: u64,
    expected: Millis,
}

fn id(index: usize) -> TargetId {
    format!("i-{index}").parse().unwrap()
}

fn run(trial: Trial) -> Shown {
    let service: ServiceId = "writer".parse().unwrap();
    let record = |index| Record {
        id: id(index),
        started_at: None,
        service: service.clone(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: SLOTS,
        state: TargetState::Ready,
        cold_left: Millis::ZERO,
    };
    let records: Vec<Record> = (0..trial.targets).map(record).collect();
    let entry = |index| {
        let vm: VmId = format!("vm-{index}").parse().unwrap();
        let mut fleet = Fleet::new("a".parse().unwrap(), Options::default()).with_entry(&vm);
        fleet.set_entries(trial.entries);
        // The last target returns later.
        fleet.set_targets(records[..trial.targets - 1].iter(), Millis::ZERO);
        fleet
    };
    let mut fleets: Vec<Fleet> = (0..trial.entries).map(entry).collect();
    let paces = [0.6, 1.0, 1.0, 1.3];
    let target = |index: usize| Target {
        free_at: 0.0,
        pace: paces[index % paces.len()],
    };
    let mut targets: Vec<Target> = (0..trial.targets).map(target).collect();
    let capacity: f64 = targets.iter().map(|target| 1.0 / target.pace).sum();
    let per_ms = capacity / WORK_MS * trial.utilization;
    let prompt = Prompt {
        input: Tokens::new(TOKENS),
        max_output: Tokens::new(20),
        parts: Vec::new(),
    };
    let mut rng = StdRng::seed_from_u64(3);
    let mut pending: VecDeque<Pending> = VecDeque::new();
    let mut work = vec![0.0; trial.targets];
    let mut shown = Shown::default();
    let (mut requests, mut windows, mut due) = (0.0, 0.0, 0.0);
    let (warm, returns, end) = (8_000, 8_000, 20_000);
    for now in 0..end {
        if now == returns {
            for fleet in &mut fleets {
                fleet.set_targets(records.iter(), Millis::new(now));
            }
        }
        while let Some(done) = pending.front().filter(|done| done.at <= now) {
            let fleet = &mut fleets[done.entry];
            let prefill = FinishedPrefill {
                uncached: done.uncached,
                ahead: 0,
                prompt: Some(&prompt),
                took: Millis::new(done.took),
                expected: done.expected,
            };
            fleet.record_load(&id(done.target), done.load, Millis::new(now));
            fleet.finish_prefill(&id(done.target), &prefill, Millis::new(now));
            fleet.end_attempt(&id(done.target), 0, Verdict::Answered, Millis::new(now));
            fleet.end_generation(&service, &id(done.target), prompt.size());
            pending.pop_front();
        }
        // Waves of two seconds.
        let wave = match now / 1_000 % 2 {
            0 => 1.5,
            _ => 0.5,
        };
        due += per_ms * wave;
        while due >= 1.0 {
            due -= 1.0;
            let entry = rng.random_range(0..trial.entries);
            let required = Requirements {
                service: &service,
                connections: 1_000,
                objective: Some(Millis::new(400)),
                pauses: None,
                tried: &[],
                may_probe: true,
                may_ask: true,
            };
            let at = Millis::new(now);
            let fleet = &mut fleets[entry];
            let (chosen, choice) = fleet.choose(&required, Some(&prompt), at).unwrap();
            fleet.start_attempt(&chosen, choice.uncached, at);
            fleet.start_generation(&chosen, prompt.size(), choice.uncached, at);
            let index: usize = chosen.as_str()[2..].parse().unwrap();
            let queued = targets[index].free_at - now as f64;
            let others_idle = targets.iter().any(|target| target.free_at <= now as f64);
            let target = &mut targets[index];
            let takes = WORK_MS * target.pace;
            target.free_at = target.free_at.max(now as f64) + takes;
            let took = (target.free_at - now as f64) as u64;
            let running = target.running(now as f64);
            pending.push_back(Pending {
                at: now + took.max(REPORT_AGE_MS),
                entry,
                target: index,
                load: Load {
                    running: running.min(SLOTS),
                    waiting: running.saturating_sub(SLOTS),
                    slots: SLOTS,
                    work_percent: trial.reports_pace.then_some((target.pace * 100.0) as u32),
                },
                uncached: choice.uncached,
                took,
                expected: choice.estimate,
            });
            if now >= warm {
                work[index] += takes;
                requests += 1.0;
                shown.queued += f64::from(u8::from(queued > WORK_MS && others_idle));
            }
            if index == trial.targets - 1 && now < returns + 200 {
                shown.returned += 1.0 / (per_ms * 200.0 / trial.targets as f64);
            }
        }
        pending.make_contiguous().sort_by_key(|done| done.at);
        if now >= warm && now % WINDOW_MS == WINDOW_MS - 1 {
            let mean = work.iter().sum::<f64>() / trial.targets as f64;
            shown.busiest += work.iter().copied().fold(0.0, f64::max) / mean;
            windows += 1.0;
            work.fill(0.0);
        }
    }
    shown.busiest /= windows;
    shown.queued /= requests;
    shown
}

/// Entries that take the least loaded target by the same stale reports overload targets in turns while
/// others idle, and all of them take the one that they have heard nothing of.
#[gtest]
fn stale_reports_make_no_waves() {
    // An entry hears from a target every 1.4, 5.8 and 17 s.
    for entries in [25, 100, 300] {
        let trial = |reports_pace| {
            run(Trial {
                entries,
                targets: 46,
                utilization: 0.5,
                reports_pace,
            })
        };
        let (before, now) = (trial(false), trial(true));
        let shown = format!("{entries} entries: before {before:?}, now {now:?}");
        println!("{shown}");
        expect_that!(before.busiest, gt(1.7), "{shown}");
        expect_that!(now.busiest, lt(1.6), "{shown}");
        expect_that!(now.queued, lt(before.queued * 1.15), "{shown}");
        expect_that!(now.returned, lt(3.0), "{shown}");
    }
}
