//! Cold targets, played without a network: requests of all entries together in any second.

use cyc_evac::{Change as Evacuation, Evacuations, Outcome as EvacuationOutcome};
use cyc_gateway::{
    config::ColdStart,
    fleet::{Fleet, Load, Requirements, Verdict},
    limit::{ColdWord, Coldness, GrantReply, Grantor, LimitWord},
    member::{Change, Outcome, Record, TargetList, TargetState},
    port::StatedLimit,
};
use cyc_types::{AvailabilityZone, Millis, PerSecond, ServiceId, TargetId};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const SIZES: [usize; 3] = [2, 20, 103];
/// Requests a second that a cold target takes.
const RATE: f64 = 8.3;
/// Requests that a cold target may get in any second: `RATE` x 1.5 + 5.
const ALLOWED: usize = 17;
/// Time at which entries have run for long.
const T0: u64 = 60_000;
/// Duration of a request at a target.
const REQUEST_MS: u64 = 40;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn cold_start() -> ColdStart {
    ColdStart {
        time: at(3_000),
        rate: PerSecond::new(RATE),
    }
}

fn record(index: usize, zone: &str, cold_left: u64) -> Record {
    Record {
        id: format!("i-{index}").parse().unwrap(),
        started_at: Some(1),
        service: service(),
        addr: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 8,
        state: TargetState::Ready,
        cold_left: at(cold_left),
    }
}

fn id(index: usize) -> TargetId {
    record(index, "a", 0).id
}

/// An entry that runs for long.
fn fleet(records: &[Record], entry: usize) -> Fleet {
    let mut fleet = fleet_at(&[], entry, 0);
    fleet.set_targets(records.iter(), at(0));
    fleet
}

/// An entry that reads the list of targets first at this time.
fn fleet_at(records: &[Record], entry: usize, ms: u64) -> Fleet {
    let vm = format!("vm-{entry}").parse().unwrap();
    let zone = zone(["a", "b"][entry % 2]);
    let mut fleet = Fleet::new(zone, Default::default()).with_entry(&vm);
    fleet.set_cold_starts([(&service(), cold_start())].into_iter());
    fleet.set_targets(records.iter(), at(ms));
    fleet
}

fn choose(fleet: &mut Fleet, tried: &[TargetId], may_ask: bool, now: Millis) -> Option<TargetId> {
    let service = service();
    let required = Requirements {
        service: &service,
        objective: None,
        pauses: None,
        connections: 600,
        tried,
        may_probe: true,
        may_ask,
    };
    fleet.choose(&required, None, now).map(|(id, _)| id)
}

/// What goes wrong between the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Half of the entries do not reach the granting one.
    Cut,
    /// The granting entry is frozen: it neither grants nor sends.
    Frozen,
    /// A new entry grants for those that know of it, and the old one for the others.
    Joined,
    /// The granting entry does not hear of the coldness itself.
    GrantorUnaware,
    /// An entry starts when the target is already cold, and its registration does not say so.
    Late,
    /// An entry is frozen while the others hear of the coldness.
    Woken,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Cut,
    Fault::Frozen,
    Fault::Joined,
    Fault::GrantorUnaware,
    Fault::Late,
    Fault::Woken,
];

/// The entries and what arrives at the targets.
struct World {
    fleets: Vec<Fleet>,
    grantors: Vec<Grantor>,
    fault: Fault,
    rng: StdRng,
    /// Times of the requests at each target.
    arrivals: Vec<Vec<u64>>,
    /// Ends of the requests that run: time, entry, target.
    ends: Vec<(u64, usize, usize)>,
    refused: usize,
    /// An entry that does nothing.
    frozen: Option<usize>,
}

impl World {
    fn new(count: usize, records: &[Record], fault: Fault, seed: u64) -> Self {
        Self {
            fleets: (0..count).map(|entry| fleet(records, entry)).collect(),
            grantors: (0..count).map(|_| Grantor::default()).collect(),
            fault,
            rng: StdRng::seed_from_u64(seed),
            arrivals: vec![Vec::new(); records.len()],
            ends: Vec::new(),
            refused: 0,
            frozen: (fault == Fault::Frozen).then_some(0),
        }
    }

    /// Whether an entry may send to a target, as `acquire_grant` decides it.
    fn acquire(&mut self, entry: usize, target: &TargetId, now: Millis) -> bool {
        let fleet = &mut self.fleets[entry];
        let cold = fleet.cold(target, now);
        let is_limited = cold.is_some() || fleet.limit_mut(target).is_some();
        if !is_limited && !fleet.may_be_cold(target, now) {
            return true;
        }
        let incarnation = fleet.get(target).unwrap().record.incarnation();
        let word = fleet.limit_word(target, now).unwrap();
        let count = self.fleets.len();
        let knows_joined = entry.is_multiple_of(2);
        let (granting, is_settled) = match self.fault {
            Fault::Joined if knows_joined => (1, false),
            _ => (0, true),
        };
        let is_reached = match self.fault {
            Fault::Cut => entry < count.div_ceil(2),
            Fault::Frozen => false,
            _ => true,
        };
        let reply = is_reached.then(|| {
            if let Some(cold) = cold {
                self.fleets[granting].mark_cold(target, cold.left, now);
                self.grantors[granting].learn_cold(&incarnation, cold, now);
            }
            if let Some(own) = self.fleets[granting].cold(target, now) {
                self.grantors[granting].learn_cold(&incarnation, own, now);
            }
            self.grantors[granting].request(&incarnation, word, is_settled, now)
        });
        let turn = self.rng.random();
        let fleet = &mut self.fleets[entry];
        match reply {
            Some(GrantReply::Granted | GrantReply::Unlimited) => true,
            Some(GrantReply::Denied(time)) => {
                if !is_limited {
                    fleet.mark_cold(target, at(1_000), now);
                }
                fleet.pace_mut(target, now).unwrap().deny(time, now);
                false
            }
            None => fleet
                .pace_mut(target, now)
                .is_none_or(|pace| pace.take_turn(count, turn, now)),
        }
    }

    /// One request of a caller at an entry; `is_up` tells whether a target works.
    fn request(&mut self, entry: usize, ms: u64, is_up: impl Fn(usize) -> bool) {
        let now = at(ms);
        let mut denials = 0;
        let mut tried = Vec::new();
        loop {
            let chosen = choose(&mut self.fleets[entry], &tried, denials < 3, now);
            let Some(target) = chosen else {
                self.refused += 1;
                return;
            };
            if !self.acquire(entry, &target, now) {
                denials += 1;
                continue;
            }
            let index = (0..self.arrivals.len()).find(|index| id(*index) == target);
            let index = index.unwrap();
            self.fleets[entry].start_attempt(&target, 0, now);
            if is_up(index) {
                self.arrivals[index].push(ms);
                self.ends.push((ms + REQUEST_MS, entry, index));
                return;
            }
            self.fleets[entry].end_attempt(&target, 0, Verdict::NotReached, now);
            tried.push(target);
        }
    }

    /// Sends `rate` requests a second for the time from `from` to `to`.
    fn run(&mut self, from: u64, to: u64, rate: f64, is_up: impl Fn(usize, u64) -> bool) {
        for ms in from..to {
            let (due, running): (Vec<_>, Vec<_>) =
                self.ends.drain(..).partition(|(end, _, _)| *end <= ms);
            self.ends = running;
            for (_, entry, index) in due {
                self.fleets[entry].end_attempt(&id(index), 0, Verdict::Answered, at(ms));
            }
            if self.rng.random_bool(rate / 1_000.0) {
                let entry = self.rng.random_range(0..self.fleets.len());
                if self.frozen == Some(entry) {
                    continue;
                }
                self.request(entry, ms, |index| is_up(index, ms));
            }
        }
    }

    /// The most requests that the target got in any second that began in this time.
    fn most(&self, target: usize, from: u64, to: u64) -> usize {
        let arrivals = &self.arrivals[target];
        let starts = arrivals.iter().enumerate();
        let starts = starts.filter(|(_, at)| (from..to).contains(*at));
        let counts =
            starts.map(|(first, start)| arrivals.partition_point(|at| *at < start + 1_000) - first);
        counts.max().unwrap_or_default()
    }
}

/// Guards against a target that is cold and gets its usual load from each entry: it crashes.
#[gtest]
fn all_entries_together_keep_to_the_rate_of_a_target_that_is_cold_alone() {
    for count in SIZES {
        for fault in FAULTS {
            for seed in 0..8 {
                let records = [record(0, "a", 0)];
                let mut world = World::new(count, &records, fault, seed);
                for (entry, fleet) in world.fleets.iter_mut().enumerate() {
                    let is_aware = match fault {
                        Fault::GrantorUnaware => entry != 0,
                        Fault::Woken => entry != 1,
                        _ => true,
                    };
                    if is_aware {
                        expect_true!(fleet.mark_cold(&id(0), at(3_000), at(T0)));
                    }
                }
                if fault == Fault::Woken {
                    world.frozen = Some(1);
                    world.run(T0, T0 + 800, 100.0, |_, _| true);
                    world.frozen = None;
                    world.fleets[1].resume(at(T0 + 800));
                    world.run(T0 + 800, T0 + 3_000, 100.0, |_, _| true);
                } else if fault == Fault::Late {
                    world.run(T0, T0 + 500, 100.0, |_, _| true);
                    world.fleets[1] = fleet_at(&records, 1, T0 + 500);
                    world.run(T0 + 500, T0 + 3_000, 100.0, |_, _| true);
                } else {
                    world.run(T0, T0 + 3_000, 100.0, |_, _| true);
                }
                // Until another entry asks the unaware one, its own requests are not counted.
                let from = match fault {
                    Fault::GrantorUnaware => 200,
                    _ => 0,
                };
                let most = world.most(0, T0 + from, T0 + 2_000);
                let detail = format!("{count} entries, {fault:?}, seed {seed}");
                expect_that!(most, le(ALLOWED), "{detail}");
                if fault == Fault::None {
                    // It gets most of the 25 that it takes.
                    expect_that!(world.arrivals[0].len(), ge(18), "{detail}");
                }
            }
        }
    }
}

/// Guards against the burst at a target that comes back after a crash, before its registration says
/// so: each entry probes it, and the first answer readmits it.
#[gtest]
fn a_target_that_returns_from_an_ejection_is_cold() {
    for count in SIZES {
        for seed in 0..4 {
            let records = [record(0, "a", 0), record(1, "a", 0)];
            let mut world = World::new(count, &records, Fault::None, seed);
            // Both are busy, so that entries need the returned one.
            let is_up =
                |index: usize, ms: u64| index == 1 || !(T0 + 1_000..T0 + 4_000).contains(&ms);
            world.run(T0, T0 + 4_000, 150.0, is_up);
            for fleet in &mut world.fleets {
                // Entries that sent nothing meanwhile are told of the crash.
                let target = record(0, "a", 0).incarnation();
                fleet.learn_crash(&target, at(100), at(T0 + 4_000));
            }
            world.run(T0 + 4_000, T0 + 7_000, 150.0, is_up);
            let most = world.most(0, T0 + 4_000, T0 + 6_000);
            expect_that!(most, le(ALLOWED), "{count} entries, seed {seed}");
        }
    }
}

/// Guards against a zone whose targets all return cold and get the load of the zone at once, while
/// the warm targets of the other zone have no room.
#[gtest]
fn a_zone_that_returns_cold_is_paced() {
    for count in SIZES {
        for seed in 0..3 {
            let zones = ["a", "a", "b", "b", "b", "b"];
            let records = zones.iter().enumerate();
            let records: Vec<Record> = records.map(|(i, zone)| record(i, zone, 0)).collect();
            let mut world = World::new(count, &records, Fault::None, seed);
            for fleet in &mut world.fleets {
                for (index, zone) in zones.iter().enumerate() {
                    match *zone {
                        "b" => {
                            fleet.mark_cold(&id(index), at(3_000), at(T0));
                        }
                        _ => {
                            let full = Load {
                                work_percent: None,
                                running: 8,
                                waiting: 3,
                                slots: 8,
                            };
                            fleet.record_load(&id(index), full, at(T0 + 1_000));
                        }
                    }
                }
            }
            world.run(T0, T0 + 3_000, 400.0, |_, _| true);
            for target in 2..zones.len() {
                let most = world.most(target, T0, T0 + 2_000);
                expect_that!(most, le(ALLOWED), "{count} entries, seed {seed}");
                expect_that!(world.arrivals[target].len(), ge(10), "{count} entries");
            }
        }
    }
}

/// Guards against an entry that starts while a target is cold and learns it from the list only.
#[gtest]
fn an_entry_that_starts_later_reads_the_coldness_from_the_registration() {
    let mut list = TargetList::new();
    let first = Change::Updated(record(0, "a", 1_400));
    expect_that!(list.apply(first, at(0)), eq(Outcome::Started));
    let mut fleet = fleet(&[record(0, "a", 1_400)], 0);
    expect_true!(fleet.mark_cold(&id(0), list.get(&id(0)).unwrap().cold_left, at(0)));
    expect_that!(fleet.cold(&id(0), at(100)).unwrap().left, eq(at(1_300)));
}

/// Guards against a cold target that all entries prefer because it looks idle, and against a request
/// that waits for one.
#[gtest]
fn warm_targets_go_first_and_a_denied_request_goes_on() {
    let mut fleet = fleet(&[record(0, "a", 0), record(1, "b", 0)], 0);
    fleet.mark_cold(&id(0), at(3_000), at(0));
    let busy = Load {
        work_percent: None,
        running: 7,
        waiting: 0,
        slots: 8,
    };
    fleet.record_load(&id(1), busy, at(100));
    expect_that!(choose(&mut fleet, &[], true, at(100)), some(eq(&id(1))));
    let full = Load {
        work_percent: None,
        running: 8,
        waiting: 2,
        slots: 8,
    };
    fleet.record_load(&id(1), full, at(200));
    expect_that!(choose(&mut fleet, &[], true, at(200)), some(eq(&id(0))));
    fleet
        .pace_mut(&id(0), at(200))
        .unwrap()
        .deny(at(300), at(200));
    expect_that!(choose(&mut fleet, &[], true, at(200)), some(eq(&id(1))));
    expect_that!(choose(&mut fleet, &[id(1)], true, at(200)), none());
    // With only the cold one left, callers are told when it takes a request.
    expect_that!(fleet.limit_wait(&service(), at(250)), some(eq(at(250))));
    expect_that!(
        choose(&mut fleet, &[id(1)], true, at(500)),
        some(eq(&id(0)))
    );
    // It is a target as any other afterwards.
    expect_that!(fleet.cold(&id(0), at(3_000)), none());
    expect_that!(fleet.limit_wait(&service(), at(3_000)), none());
}

/// Guards against coldness that an answer without a limit ends, and against a limit that the
/// coldness hides: the lower one counts.
#[gtest]
fn coldness_and_a_named_limit_hold_beside_each_other() {
    let mut fleet = fleet(&[record(0, "a", 0)], 0);
    fleet.mark_cold(&id(0), at(3_000), at(0));
    fleet.record_limit(&id(0), StatedLimit::Absent, at(10), at(20));
    fleet.remove_limit(&id(0), at(30));
    expect_that!(fleet.cold(&id(0), at(30)).unwrap().left, eq(at(2_970)));
    let pace = |fleet: &mut Fleet| fleet.pace_mut(&id(0), at(40)).unwrap().limit().get();
    expect_that!(pace(&mut fleet), eq(RATE));
    let named = |rate| StatedLimit::Rate(PerSecond::new(rate));
    fleet.record_limit(&id(0), named(2.0), at(30), at(40));
    expect_that!(pace(&mut fleet), eq(2.0));
    fleet.record_limit(&id(0), named(20.0), at(30), at(40));
    expect_that!(pace(&mut fleet), eq(RATE));
    // A shorter word does not end it early.
    fleet.mark_cold(&id(0), at(10), at(50));
    expect_that!(fleet.cold(&id(0), at(50)).unwrap().left, eq(at(2_950)));
}

/// Guards against a granting entry at which a word without the coldness ends it, or starves it.
#[gtest]
fn the_granting_entry_keeps_coldness_and_limit() {
    let target = record(0, "a", 0).incarnation();
    let word = |limit: Option<f64>| LimitWord {
        limit: limit.map(PerSecond::new),
        age: Millis::ZERO,
    };
    let cold = ColdWord {
        rate: PerSecond::new(RATE),
        left: at(3_000),
    };
    let granted = |grantor: &mut Grantor, limit: Option<f64>, from: u64| {
        let replies =
            (from..from + 1_000).map(|ms| grantor.request(&target, word(limit), true, at(ms)));
        replies
            .filter(|reply| *reply == GrantReply::Granted)
            .count()
    };
    let mut grantor = Grantor::default();
    grantor.learn_cold(&target, cold, at(0));
    // The words come from entries that do not know of the coldness.
    expect_that!(granted(&mut grantor, None, 0), all![ge(6), le(11)]);
    expect_that!(granted(&mut grantor, Some(2.0), 1_000), all![ge(1), le(5)]);
    expect_that!(
        granted(&mut grantor, Some(50.0), 2_000),
        all![ge(6), le(11)]
    );
    let reply = grantor.request(&target, word(None), true, at(3_001));
    expect_that!(reply, eq(GrantReply::Unlimited));
}

/// Guards against a restart under the same id that nobody notices before the registration says so.
#[gtest]
fn a_restarted_target_is_cold_and_a_new_one_is_not() {
    let mut fleet = fleet(&[record(0, "a", 0)], 0);
    expect_that!(fleet.cold(&id(0), at(0)), none());
    let restarted = Record {
        started_at: Some(2),
        ..record(0, "a", 0)
    };
    fleet.set_targets([restarted, record(1, "a", 0)].iter(), at(1_000));
    expect_that!(fleet.cold(&id(0), at(1_000)).unwrap().left, eq(at(3_000)));
    expect_that!(fleet.cold(&id(1), at(1_000)), none());
}

/// Guards against changes at services whose targets do not start cold.
#[gtest]
fn a_service_without_cold_starts_is_not_limited() {
    let mut fleet = Fleet::new("a".parse().unwrap(), Default::default());
    fleet.set_targets([record(0, "a", 3_000)].iter(), at(0));
    expect_false!(fleet.mark_cold(&id(0), at(3_000), at(0)));
    fleet.end_attempt(&id(0), 0, Verdict::NotReached, at(10));
    fleet.end_attempt(&id(0), 0, Verdict::Answered, at(20));
    expect_that!(fleet.cold(&id(0), at(20)), none());
    expect_true!(fleet.pace_mut(&id(0), at(20)).is_none());
    expect_that!(choose(&mut fleet, &[], false, at(30)), some(eq(&id(0))));
}

/// Guards against a log line and a lost state for each heartbeat of a cold target.
#[gtest]
fn a_registration_that_only_counts_down_is_no_change() {
    let mut list = TargetList::new();
    let change = |left| Change::Updated(record(0, "a", left));
    expect_that!(list.apply(change(3_000), at(0)), eq(Outcome::Started));
    expect_that!(list.apply(change(1_800), at(1_200)), eq(Outcome::Same));
    expect_that!(list.apply(change(0), at(2_400)), eq(Outcome::Same));
}

/// Guards against a registration that makes a target cold for ever.
#[gtest]
fn huge_cold_times_are_bounded() {
    let mut cold = Coldness::default();
    expect_true!(cold.extend(at(u64::MAX), at(1_000)));
    expect_that!(cold.left(at(1_000)), le(at(60_000)));
    let mut grantor = Grantor::default();
    let word = ColdWord {
        rate: PerSecond::new(f64::MAX),
        left: at(u64::MAX),
    };
    grantor.learn_cold(&record(0, "a", 0).incarnation(), word, at(1_000));
}

fn zone(name: &str) -> AvailabilityZone {
    name.parse().unwrap()
}

/// Guards against requests, probes and last resorts that reach an evacuated zone.
#[gtest]
fn an_evacuated_zone_gets_nothing_even_if_no_other_target_is_left() {
    let mut fleet = fleet(&[record(0, "a", 0), record(1, "b", 0)], 0);
    fleet.set_evacuations(Evacuations::new(at(5_000)));
    fleet.end_attempt(&id(0), 0, Verdict::NotReached, at(T0));
    let evacuations = fleet.evacuations_mut();
    evacuations.apply(&Evacuation::Requested(zone("a")), at(9_000), at(T0));
    for ms in 0..10_000 {
        let now = at(T0 + ms);
        expect_that!(choose(&mut fleet, &[], true, now), some(eq(&id(1))));
        expect_that!(choose(&mut fleet, &[id(1)], true, now), none());
    }
    expect_true!(fleet.is_evacuated(&id(0), at(T0)));
    expect_false!(fleet.is_evacuated(&id(1), at(T0)));
    // Callers are not told to wait for its targets.
    fleet.mark_cold(&id(0), at(3_000), at(T0));
    expect_that!(fleet.limit_wait(&service(), at(T0)), none());
}

/// Guards against a burst at the other zones when a zone is evacuated, and at its own targets when it
/// returns after all of them have become cold.
#[gtest]
fn load_leaves_a_zone_and_returns_to_cold_targets_without_a_burst() {
    for count in SIZES {
        let zones = ["a", "a", "b", "b", "b", "b"];
        let records = zones.iter().enumerate();
        let records: Vec<Record> = records.map(|(i, zone)| record(i, zone, 0)).collect();
        let mut world = World::new(count, &records, Fault::None, 1);
        for fleet in &mut world.fleets {
            fleet.set_evacuations(Evacuations::new(at(5_000)));
        }
        world.run(T0, T0 + 2_000, 300.0, |_, _| true);
        let change = |world: &mut World, change: Evacuation, ms: u64| {
            for fleet in &mut world.fleets {
                let evacuations = fleet.evacuations_mut();
                let outcome = evacuations.apply(&change, at(100), at(ms));
                if outcome == EvacuationOutcome::Returned {
                    expect_that!(fleet.mark_zone_cold(change.zone(), at(ms)), eq(4));
                }
            }
        };
        change(&mut world, Evacuation::Requested(zone("b")), T0 + 2_000);
        world.run(T0 + 2_000, T0 + 8_000, 300.0, |_, _| true);
        let of = |world: &World, targets: std::ops::Range<usize>, from: u64, to: u64| {
            let arrivals = world.arrivals[targets].iter().flatten();
            arrivals
                .filter(|at| (T0 + from..T0 + to).contains(*at))
                .count()
        };
        let shares = [2_000, 2_250, 2_500, 2_750].map(|ms| of(&world, 2..6, ms, ms + 250));
        expect_true!(shares[0] > shares[1] && shares[2] > shares[3], "{shares:?}");
        expect_that!(of(&world, 2..6, 3_000, 8_000), eq(0), "{count} entries");
        expect_that!(world.refused, eq(0), "{count} entries");
        change(&mut world, Evacuation::Removed(zone("b")), T0 + 8_000);
        world.run(T0 + 8_000, T0 + 14_000, 300.0, |_, _| true);
        for target in 2..6 {
            let most = world.most(target, T0 + 8_000, T0 + 10_000);
            expect_that!(most, le(ALLOWED), "{count} entries");
        }
        expect_that!(of(&world, 2..6, 12_000, 14_000), ge(100), "{count} entries");
    }
}

/// Guards against a registration that is forgotten because the configuration is read after it.
#[gtest]
fn coldness_counts_whichever_is_read_first() {
    let mut fleet = Fleet::new(zone("a"), Default::default());
    fleet.set_targets([record(0, "a", 2_000)].iter(), at(0));
    fleet.mark_cold(&id(0), at(2_000), at(0));
    expect_that!(fleet.cold(&id(0), at(100)), none());
    fleet.set_cold_starts([(&service(), cold_start())].into_iter());
    expect_that!(fleet.cold(&id(0), at(100)).unwrap().left, eq(at(1_900)));
}
