//! Per-target state of an entry.

use cyc_gateway::{
    call::Prompt,
    choose::{Choice, Options},
    fleet::{FinishedPrefill, Fleet, Load, Requirements, Verdict},
    member::{Record, TargetIncarnation, TargetState},
};
use cyc_signal::{ServiceWait, Signals};
use cyc_types::{Millis, ServiceId, TargetId, Tokens};
use googletest::prelude::*;

fn record(id: &str, state: TargetState) -> Record {
    Record {
        id: id.parse().unwrap(),
        started_at: Some(1),
        service: service(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 8,
        state,
        cold_left: Millis::ZERO,
    }
}

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn required<'a>(service: &'a ServiceId, tried: &'a [TargetId]) -> Requirements<'a> {
    Requirements {
        service,
        connections: 8,
        objective: None,
        pauses: None,
        tried,
        may_probe: true,
        may_ask: true,
    }
}

fn id(id: &str) -> TargetId {
    id.parse().unwrap()
}

fn fleet(records: &[Record]) -> Fleet {
    let mut fleet = Fleet::new("a".parse().unwrap(), Options::default());
    fleet.set_targets(records.iter(), Millis::ZERO);
    fleet
}

fn chosen(fleet: &mut Fleet, tried: &[TargetId], now: u64) -> Option<TargetId> {
    let found = fleet.choose(&required(&service(), tried), None, Millis::new(now));
    found.map(|(target, _)| target)
}

#[gtest]
fn draining_and_tried_targets_are_not_chosen() {
    let mut fleet = fleet(&[
        record("i-1", TargetState::Draining),
        record("i-2", TargetState::Ready),
        record("i-3", TargetState::Ready),
    ]);
    expect_that!(chosen(&mut fleet, &[id("i-2")], 0), some(eq(&id("i-3"))));
    expect_that!(chosen(&mut fleet, &[id("i-2"), id("i-3")], 0), none());
    expect_that!(chosen(&mut fleet, &[id("i-3")], 0), some(eq(&id("i-2"))));
}

/// Guards against a leaving target that gets requests as a candidate, a probe or the last resort, and
/// against its next run being taken for it; also if its registration comes back or changes its address.
#[gtest]
fn a_leaving_target_is_never_chosen_in_the_same_run() {
    let ready = record("i-1", TargetState::Ready);
    let mut fleet = fleet(std::slice::from_ref(&ready));
    let now = Millis::new(100);
    let leaving = Signals {
        is_leaving: true,
        pause: None,
    };
    fleet.end_attempt(&id("i-1"), 0, Verdict::NotReached, now);
    expect_that!(
        fleet.record_signals(&ready.incarnation(), leaving, now),
        eq((true, false))
    );
    expect_false!(fleet.may_send(&ready.incarnation(), now));
    for now in [200, 2_000, 60_000] {
        expect_that!(chosen(&mut fleet, &[], now), none());
    }
    let wait = fleet.service_wait(&service(), now);
    expect_that!(wait, eq(ServiceWait::Leaving));
    fleet.set_targets(std::iter::empty(), now);
    fleet.set_targets(std::iter::once(&ready), now);
    expect_that!(chosen(&mut fleet, &[], 300), none());
    let mut moved = ready.clone();
    moved.addr = "127.0.0.1:9001".parse().unwrap();
    fleet.set_targets(std::iter::once(&moved), now);
    expect_that!(chosen(&mut fleet, &[], 400), none());
    let mut restarted = moved.clone();
    restarted.started_at = Some(2);
    fleet.set_targets(std::iter::once(&restarted), now);
    expect_that!(chosen(&mut fleet, &[], 500), some(eq(&id("i-1"))));
    // A late answer of the run before, or news of it, say nothing about this one.
    fleet.record_signals(&ready.incarnation(), leaving, now);
    expect_true!(fleet.may_send(&restarted.incarnation(), now));
    // News may arrive before the registration.
    let next = record("i-2", TargetState::Ready);
    fleet.record_signals(&next.incarnation(), leaving, now);
    fleet.set_targets(std::iter::once(&next), now);
    expect_false!(fleet.may_send(&next.incarnation(), now));
}

/// Guards against requests to a target that has just wanted none, and against a target that is lost
/// afterwards.
#[gtest]
fn a_paused_target_is_chosen_again_after_its_time() {
    let records = [
        record("i-1", TargetState::Ready),
        record("i-2", TargetState::Ready),
    ];
    let mut fleet = fleet(&records);
    let pause = |ms: u64| Signals {
        is_leaving: false,
        pause: Some(Millis::new(ms)),
    };
    let now = Millis::new(100);
    fleet.record_signals(&records[0].incarnation(), pause(2_000), now);
    for now in 100..110 {
        expect_that!(chosen(&mut fleet, &[], now), some(eq(&id("i-2"))));
    }
    expect_that!(fleet.service_wait(&service(), now), eq(ServiceWait::Open));
    fleet.record_signals(&records[1].incarnation(), pause(1_500), now);
    expect_that!(chosen(&mut fleet, &[], 1_599), none());
    let wait = fleet.service_wait(&service(), Millis::new(600));
    expect_that!(wait, eq(ServiceWait::Until(Millis::SECOND)));
    expect_that!(chosen(&mut fleet, &[], 1_600), some(eq(&id("i-2"))));
    let tried = [id("i-2")];
    expect_that!(chosen(&mut fleet, &tried, 2_100), some(eq(&id("i-1"))));
}

/// A VM that has lost power lets connections hang: requests must avoid its target, but probe it
/// again later.
#[gtest]
fn an_unreachable_target_is_ejected_and_probed_again() {
    let records = [
        record("i-1", TargetState::Ready),
        record("i-2", TargetState::Ready),
    ];
    let mut fleet = fleet(&records);
    let now = Millis::new(100);
    fleet.start_attempt(&id("i-1"), 0, now);
    let is_ejected = fleet.end_attempt(&id("i-1"), 0, Verdict::NotReached, now);
    expect_true!(is_ejected);
    for _ in 0..5 {
        expect_that!(chosen(&mut fleet, &[], 200), some(eq(&id("i-2"))));
    }
    let probe = chosen(&mut fleet, &[], 2_000);
    expect_that!(probe, some(eq(&id("i-1"))));
    fleet.start_attempt(&id("i-1"), 0, Millis::new(2_000));
    expect_that!(chosen(&mut fleet, &[], 2_001), some(eq(&id("i-2"))));
    fleet.end_attempt(&id("i-1"), 0, Verdict::Answered, Millis::new(2_010));
    fleet.start_attempt(&id("i-2"), 0, Millis::new(2_010));
    expect_that!(chosen(&mut fleet, &[], 2_011), some(eq(&id("i-1"))));
}

/// Guards against requests that each entry sends to a crashed target until one of its own fails.
#[gtest]
fn a_crash_that_another_entry_reports_ejects_the_target() {
    let records = [
        record("i-1", TargetState::Ready),
        record("i-2", TargetState::Ready),
    ];
    let mut fleet = fleet(&records);
    let now = Millis::new(10_000);
    let run = records[0].incarnation();
    let other_run = TargetIncarnation {
        started_at: Some(2),
        ..run.clone()
    };
    let age = Millis::new(50);
    expect_false!(fleet.learn_crash(&other_run, age, now));
    expect_false!(fleet.learn_crash(&run, Millis::MINUTE, now));
    expect_true!(fleet.learn_crash(&run, age, now));
    expect_false!(fleet.learn_crash(&run, age, now));
    for _ in 0..5 {
        expect_that!(chosen(&mut fleet, &[], 10_100), some(eq(&id("i-2"))));
    }
    // A probe finds out whether the report was right.
    expect_that!(chosen(&mut fleet, &[], 12_000), some(eq(&id("i-1"))));
}

#[gtest]
fn a_restarted_target_loses_its_previous_state() {
    let mut fleet = fleet(&[record("i-1", TargetState::Ready)]);
    fleet.end_attempt(&id("i-1"), 0, Verdict::NotReached, Millis::new(1));
    let restarted = Record {
        started_at: Some(2),
        ..record("i-1", TargetState::Ready)
    };
    fleet.set_targets([restarted].iter(), Millis::new(2));
    fleet.start_attempt(&id("i-1"), 0, Millis::new(3));
    let is_ejected = fleet.end_attempt(&id("i-1"), 0, Verdict::NotReached, Millis::new(3));
    expect_true!(is_ejected);
}

/// In a burst of short prompts with running streams, the engines set aside for short prompts take
/// them until they spend half of their time on prefill. The other engines must help before the
/// streams there stall.
#[gtest]
fn a_burst_of_short_prompts_spills_over_before_the_lane_is_full() {
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let records = names.map(|name| record(name, TargetState::Ready));
    let mut fleet = fleet(&records);
    fleet.set_entries(5);
    let prompt = Prompt {
        input: Tokens::new(2_400),
        max_output: Tokens::new(100),
        parts: Vec::new(),
    };
    // An engine prefills 30 tokens per ms, or 12.5 prompts per second; this entry sends a fifth of
    // all prompts.
    let largest_fraction = |fleet: &mut Fleet, per_second: u64| {
        let mut counts = std::collections::BTreeMap::<TargetId, u64>::new();
        for index in 0..per_second * 6 {
            let now = Millis::new(index * 1_000 / per_second);
            let (target, choice) = fleet
                .choose(&required(&service(), &[]), Some(&prompt), now)
                .unwrap();
            fleet.start_attempt(&target, choice.uncached, now);
            fleet.end_attempt(&target, choice.uncached, Verdict::Answered, now);
            *counts.entry(target).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or_default();
        most as f64 / (per_second * 6) as f64
    };
    expect_that!(largest_fraction(&mut fleet, 1), eq(1.0));
    // At 6 prompts per second here and 30 in total, one engine of four could serve at most 40
    // percent.
    expect_that!(largest_fraction(&mut fleet, 6), le(0.4));
}

#[gtest]
fn a_target_without_room_for_a_connection_is_not_chosen() {
    let mut fleet = fleet(&[record("i-1", TargetState::Ready)]);
    let service = service();
    let full = Requirements {
        connections: 0,
        ..required(&service, &[])
    };
    expect_that!(fleet.choose(&full, None, Millis::ZERO), none());
    expect_that!(
        fleet.choose(&required(&service, &[]), None, Millis::ZERO),
        some(anything())
    );
}

fn generation(input: u64) -> Prompt {
    Prompt {
        input: Tokens::new(input),
        max_output: Tokens::new(200),
        parts: Vec::new(),
    }
}

/// Sends prompts of 3,000 tokens, two at a time, to targets that prefill this many tokens per ms.
/// Returns the part of the requests that each target got.
fn shares(rates: &[f64], work_percent: &[Option<u32>]) -> Vec<f64> {
    let names: Vec<String> = (0..rates.len()).map(|index| format!("i-{index}")).collect();
    let records = names.iter().map(|name| record(name, TargetState::Ready));
    let mut fleet = fleet(&records.collect::<Vec<Record>>());
    let prompt = generation(3_000);
    let mut counts = vec![0.0; rates.len()];
    let mut running = Vec::new();
    for number in 0..2_000 {
        let now = Millis::new(number * 60);
        running.retain(|(end, index, choice): &(u64, usize, Choice)| {
            if *end > now.get() {
                return true;
            }
            let at = Millis::new(*end);
            let load = Load {
                work_percent: work_percent[*index],
                slots: 8,
                ..Load::default()
            };
            fleet.record_load(&id(&names[*index]), load, at);
            let prefill = FinishedPrefill {
                uncached: choice.uncached,
                ahead: choice.ahead,
                prompt: Some(&prompt),
                took: Millis::new(100 + ((choice.ahead + 3_000) as f64 / rates[*index]) as u64),
                expected: choice.estimate,
            };
            fleet.finish_prefill(&id(&names[*index]), &prefill, at);
            fleet.end_attempt(&id(&names[*index]), 0, Verdict::Answered, at);
            false
        });
        let (target, choice) = fleet
            .choose(&required(&service(), &[]), Some(&prompt), now)
            .unwrap();
        let index = names.iter().position(|name| id(name) == target).unwrap();
        counts[index] += 1.0 / 2_000.0;
        fleet.start_attempt(&target, choice.uncached, now);
        let took = 100.0 + (choice.ahead + 3_000) as f64 / rates[index];
        running.push((now.get() + took as u64, index, choice));
    }
    counts
}

/// An engine on a slow machine would get as many prompts as the others.
#[gtest]
fn a_slower_target_gets_fewer_prompts() {
    let alike = shares(&[30.0; 2], &[Some(100); 2]);
    expect_that!(alike[0], near(0.5, 0.1));
    let unequal = shares(&[36.0, 16.0], &[Some(100); 2]);
    expect_that!(unequal[1], le(0.4), "{unequal:?}");
    expect_that!(unequal[1], ge(0.1), "{unequal:?}");
}

/// Work of others on its machine slows a target down at once; averages show it seconds later.
#[gtest]
fn a_target_whose_machine_is_busy_is_avoided_for_a_moment() {
    let records = [
        record("i-1", TargetState::Ready),
        record("i-2", TargetState::Ready),
    ];
    let mut fleet = fleet(&records);
    let load = |percent| Load {
        slots: 8,
        work_percent: Some(percent),
        ..Load::default()
    };
    for at in 0..10 {
        for name in ["i-1", "i-2"] {
            fleet.record_load(&id(name), load(100), Millis::new(at * 100));
        }
    }
    expect_that!(fleet.is_paced(&service()), eq(true));
    let prompt = generation(6_000);
    let mut count = |now| {
        let chosen = (0..50).filter(|_| {
            let found = fleet.choose(&required(&service(), &[]), Some(&prompt), Millis::new(now));
            found.unwrap().0 == id("i-1")
        });
        chosen.count()
    };
    expect_that!(count(1_000), all!(ge(10), le(40)));
    fleet.record_load(&id("i-1"), load(300), Millis::new(1_000));
    let mut count = |now| {
        let chosen = (0..50).filter(|_| {
            let found = fleet.choose(&required(&service(), &[]), Some(&prompt), Millis::new(now));
            found.unwrap().0 == id("i-1")
        });
        chosen.count()
    };
    expect_that!(count(1_050), eq(0));
    expect_that!(count(9_000), ge(10));
}

/// Requests at an engine whose memory is full wait, or others there lose theirs.
#[gtest]
fn a_target_whose_memory_is_full_is_avoided() {
    let records = [
        record("i-1", TargetState::Ready),
        record("i-2", TargetState::Ready),
    ];
    let mut fleet = fleet(&records);
    for _ in 0..4 {
        for name in ["i-1", "i-2"] {
            let load = Load {
                slots: 8,
                work_percent: Some(100),
                ..Load::default()
            };
            fleet.record_load(&id(name), load, Millis::ZERO);
        }
    }
    let prompt = generation(9_000);
    let found_at = |fleet: &mut Fleet, now| {
        let found = fleet.choose(&required(&service(), &[]), Some(&prompt), now);
        found.unwrap().0
    };
    let found = |fleet: &mut Fleet| found_at(fleet, Millis::ZERO);
    let first = found(&mut fleet);
    for _ in 0..4 {
        fleet.start_generation(&first, prompt.size(), 0, Millis::ZERO);
    }
    fleet.set_memory(&service(), Some(Tokens::new(46_000)));
    // Before, the other target has its turn in any case, because this entry has sent it less work.
    let later = Millis::new(40_000);
    for _ in 0..20 {
        expect_that!(found_at(&mut fleet, later), not(eq(&first)));
    }
    for _ in 0..4 {
        fleet.end_generation(&service(), &first, prompt.size());
    }
    let back = (0..50).filter(|_| found_at(&mut fleet, later) == first);
    let back = back.count();
    expect_that!(back, ge(10));
}
