//! Entries with unequal links under the load of their callers, without a network.

use std::collections::VecDeque;

use cyc_intake::{Arrival, Change, Direction, Intake, LinkRate, ReturnReason};
use cyc_types::Millis;
use googletest::prelude::*;
use smol_str::SmolStr;

const STEP: u64 = 10;
/// Size of a request and of its answer on the link.
const REQUEST_BYTES: u64 = 4_400;
const ANSWER_BYTES: u64 = 600;
/// Requests that pass a link of 1 Mbit/s in a second.
const PER_MBPS: f64 = 24.0;
const OBJECTIVE: Millis = Millis::new(930);

/// An entry behind its link. Requests that the link cannot carry queue at their senders.
struct Entry {
    intake: Intake,
    mbps: f64,
    queue: VecDeque<(SmolStr, u8)>,
    /// Bytes that the link may still carry in this step.
    credit: f64,
    misses: u32,
    is_in_rotation: bool,
    /// Share of the callers that moved here, or left.
    moved: f64,
    changes: Vec<(u64, Change)>,
}

/// What became of the requests of an account at an entry.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    served: u32,
    refused: u32,
}

impl Counts {
    fn refused_share(self) -> f64 {
        f64::from(self.refused) / f64::from((self.served + self.refused).max(1))
    }
}

impl Entry {
    fn new(mbps: f64) -> Self {
        Self {
            intake: Intake::new(LinkRate::from_mbps(mbps).unwrap()),
            mbps,
            queue: VecDeque::new(),
            credit: 0.0,
            misses: 0,
            is_in_rotation: true,
            moved: 0.0,
            changes: Vec::new(),
        }
    }

    /// Requests a second that arrive at this share of the capacity.
    fn rate(&self, share: f64) -> f64 {
        self.mbps * PER_MBPS * share
    }

    /// Passes what the link carries in this step.
    fn step(&mut self, now: u64, mut done: impl FnMut(&SmolStr, u8, bool)) {
        let at = Millis::new(now);
        self.credit = (self.credit + self.mbps * 125.0 * STEP as f64).min(self.mbps * 2_500.0);
        while self.credit >= REQUEST_BYTES as f64 {
            let Some((account, urgency)) = self.queue.pop_front() else {
                break;
            };
            self.credit -= REQUEST_BYTES as f64;
            let arrival = Arrival {
                account: &account,
                urgency,
                bytes: REQUEST_BYTES,
                objective: OBJECTIVE,
            };
            let is_served = self.intake.admit(&arrival, at).is_ok();
            self.intake.record_bytes(Direction::In, REQUEST_BYTES);
            if is_served {
                self.credit -= ANSWER_BYTES as f64;
                self.intake
                    .record_bytes(Direction::Out, REQUEST_BYTES + ANSWER_BYTES);
                self.intake.record_bytes(Direction::In, ANSWER_BYTES);
            }
            done(&account, urgency, is_served);
        }
        self.note_changes(now);
    }

    fn note_changes(&mut self, now: u64) {
        let changes = self.intake.take_changes();
        self.changes
            .extend(changes.into_iter().map(|change| (now, change)));
    }

    fn left(&self) -> usize {
        let is_left = |(_, change): &&(u64, Change)| matches!(change, Change::Left(_));
        self.changes.iter().filter(is_left).count()
    }
}

/// Entries of one zone behind the platform, and the requests a second of each account at each entry.
struct Zone {
    entries: Vec<Entry>,
    /// Parts of requests that are due, by entry and account.
    due: Vec<[f64; 4]>,
    counts: Vec<[Counts; 4]>,
}

const ACCOUNTS: [&str; 4] = ["a", "b", "c", "hot"];

impl Zone {
    fn new(links: impl Iterator<Item = f64>) -> Self {
        let entries: Vec<Entry> = links.map(Entry::new).collect();
        Self {
            // The accounts do not send in step.
            due: vec![[0.0, 0.37, 0.74, 0.11]; entries.len()],
            counts: vec![[Counts::default(); 4]; entries.len()],
            entries,
        }
    }

    /// Runs for a time; `rate` is the requests a second of an account at an entry. Callers that are
    /// refused, or whose connection is closed, move to an entry in rotation.
    fn run(&mut self, from: u64, to: u64, rate: impl Fn(&Entry, usize, usize) -> f64) {
        let running = self.entries.len();
        for now in (from..to).step_by(STEP as usize) {
            for index in 0..running {
                for (account, name) in ACCOUNTS.into_iter().enumerate() {
                    let entry = &mut self.entries[index];
                    let share = 1.0 - entry.moved;
                    let due = &mut self.due[index][account];
                    *due += rate(entry, index, account) * share * STEP as f64 / 1_000.0;
                    while *due >= 1.0 {
                        *due -= 1.0;
                        let urgency = u8::from(account != 0);
                        entry.queue.push_back((name.into(), urgency));
                    }
                }
                let counts = &mut self.counts[index];
                let mut returning = Vec::new();
                self.entries[index].step(now, |account, urgency, is_served| {
                    let account_index = ACCOUNTS.iter().position(|name| name == account);
                    let counts = &mut counts[account_index.unwrap()];
                    match is_served {
                        true => counts.served += 1,
                        false => counts.refused += 1,
                    }
                    if !is_served {
                        returning.push((account.clone(), urgency));
                    }
                });
                // A refused caller comes back once, to another entry; here, to the next one.
                if running > 1 {
                    let next = (index + 1) % running;
                    let is_free = self.entries[next].queue.is_empty();
                    self.entries[next]
                        .queue
                        .extend(returning.into_iter().filter(|_| is_free));
                }
                let entry = &mut self.entries[index];
                // An even sample of the random numbers.
                let random = (now * 7 + index as u64 * 131) % 1_000;
                if entry
                    .intake
                    .closes_connection(random as f64 / 1_000.0, Millis::new(now))
                {
                    entry.moved += (1.0 - entry.moved) * 0.05;
                }
            }
            let zone = self.entries.len();
            for (index, entry) in self.entries.iter_mut().enumerate() {
                if (now + index as u64 * 70).is_multiple_of(1_000) {
                    let is_ready = entry.intake.is_ready(zone, Millis::new(now));
                    entry.misses = if is_ready { 0 } else { entry.misses + 1 };
                    entry.is_in_rotation = entry.misses < 2;
                    entry.note_changes(now);
                }
            }
            let open = self.entries.iter().filter(|e| e.is_in_rotation).count();
            for entry in &mut self.entries {
                // New connections reach all entries if too few are in rotation.
                if entry.is_in_rotation || open * 2 < zone {
                    entry.intake.record_connection(Millis::new(now));
                    entry.moved = (entry.moved - 0.000_5).max(0.0);
                }
            }
        }
    }

    fn left(&self) -> Vec<usize> {
        self.entries.iter().map(Entry::left).collect()
    }
}

/// Links from 10 to 200 Mbit/s; the first entry has the smallest.
fn unequal(entries: usize) -> impl Iterator<Item = f64> {
    let links = [10.0, 200.0, 50.0, 25.0, 100.0];
    (0..entries).map(move |index| links[index % links.len()])
}

/// A fifth of the capacity, evenly over the accounts; the hot one is added.
fn usual(entry: &Entry, account: usize) -> f64 {
    entry.rate(if account == 3 { 0.2 } else { 0.05 })
}

/// Guards against a small entry that most callers of one account reach: its link stays full, requests
/// wait for a second, and the other accounts bear the cost.
#[gtest]
fn a_hot_account_on_one_small_entry_moves_away_and_bears_the_refusals() {
    for entries in [25, 31] {
        let mut zone = Zone::new(unequal(entries));
        zone.run(0, 30_000, |entry, _, account| usual(entry, account));
        expect_that!(zone.entries[0].changes, is_empty());
        zone.run(30_000, 42_000, |entry, index, account| {
            match (index, account) {
                (0, 3) => entry.rate(1.35),
                _ => usual(entry, account),
            }
        });
        expect_that!(zone.left()[0], eq(1), "{entries}");
        expect_that!(zone.left().iter().sum::<usize>(), eq(1));
        // The link is free again before the burst ends, and nothing queues.
        expect_that!(zone.entries[0].queue.len(), lt(5));
        let counts = zone.counts[0];
        expect_that!(counts[3].refused, gt(50));
        for (account, counts) in counts.iter().enumerate().take(3) {
            expect_that!(counts.refused_share(), lt(0.02), "{account}");
        }
        // More is not refused than exceeds the capacity, and what the refused requests themselves take.
        expect_that!(counts[3].refused_share(), lt(0.5));
        zone.run(42_000, 75_000, |entry, _, account| usual(entry, account));
        let entry = &mut zone.entries[0];
        expect_that!(entry.is_in_rotation, eq(true));
        expect_that!(entry.intake.is_overloaded(), eq(false));
        expect_that!(entry.left(), eq(1));
        let before = zone.counts[0].map(|counts| counts.refused);
        zone.run(75_000, 80_000, |entry, _, account| usual(entry, account));
        expect_that!(zone.counts[0].map(|counts| counts.refused), eq(before));
    }
}

/// Guards against entries that all withdraw, so that the rest falls in turn, and against refusals that
/// hit one account or starve a rank.
#[gtest]
fn equally_overloaded_entries_stay_and_refuse_the_excess_evenly() {
    let mut zone = Zone::new(unequal(25));
    zone.run(0, 30_000, |entry, _, account| usual(entry, account));
    zone.run(30_000, 60_000, |entry, _, account| {
        3.4 * usual(entry, account)
    });
    expect_that!(zone.left(), each(eq(&0)));
    for counts in &zone.counts {
        expect_that!(counts[0].refused, le(counts[1].refused), "urgent is last");
        let shares = counts.map(Counts::refused_share);
        expect_that!(shares.to_vec(), each(lt(&0.5)));
        // The accounts of one rank bear the same.
        for share in &shares[1..] {
            expect_that!((share - shares[1]).abs(), lt(0.15), "{shares:?}");
        }
    }
}

/// Guards against withdrawals and refusals for a burst that is over before the platform could react, and
/// for a load that the link carries.
#[gtest]
fn short_bursts_and_loads_below_the_capacity_change_nothing() {
    let mut zone = Zone::new(unequal(25));
    for second in 0..60 {
        let from = second * 1_000;
        zone.run(from, from + 700, |entry, _, account| usual(entry, account));
        zone.run(from + 700, from + 1_000, |entry, _, account| {
            3.0 * usual(entry, account)
        });
    }
    for entry in &zone.entries {
        expect_that!(entry.changes, is_empty());
    }
    let refused = zone.counts.iter().flatten().map(|counts| counts.refused);
    expect_that!(refused.sum::<u32>(), eq(0));
}

/// Guards against readiness that flaps while callers return to the same entry, and against an entry that
/// is away for more than an eighth of the time.
#[gtest]
fn an_entry_under_lasting_load_is_seldom_away() {
    let mut zone = Zone::new(unequal(5));
    zone.run(0, 20_000, |entry, _, account| usual(entry, account));
    let (mut now, mut away) = (20_000, 0);
    while now < 320_000 {
        zone.run(now, now + 1_000, |entry, index, account| {
            // The share of the hot account goes on growing, so that it never becomes the usual one.
            let growth = (now as f64 / 20_000.0).min(8.0);
            match (index, account) {
                (0, 3) => entry.rate(0.8 + 0.4 * growth),
                _ => usual(entry, account),
            }
        });
        away += u64::from(zone.entries[0].misses > 0);
        now += 1_000;
    }
    expect_that!(zone.left()[0], all!(ge(1), le(10)));
    expect_that!(away, le(300 / 8));
}

/// Guards against an entry that stays away although the platform uses all entries again, since fewer
/// than half are ready.
#[gtest]
fn an_entry_that_is_kept_in_rotation_is_ready_again_and_stays() {
    let mut zone = Zone::new([10.0; 6].into_iter());
    zone.run(0, 20_000, |entry, _, account| usual(entry, account));
    zone.run(20_000, 50_000, |entry, _, account| match account {
        3 => entry.rate(1.5),
        _ => usual(entry, account),
    });
    for entry in &zone.entries {
        expect_that!(entry.left(), le(1));
        let is_kept = |(_, change): &(u64, Change)| matches!(change, Change::Returned(ReturnReason::KeptInRotation, away) if away.get() < 6_000);
        expect_that!(entry.changes.iter().any(is_kept), eq(true));
        expect_that!(entry.is_in_rotation, eq(true));
    }
}

/// Guards against an entry alone that leaves or refuses, and against one that takes the queue of its freeze for an
/// overload.
#[gtest]
fn a_single_entry_takes_everything_and_a_frozen_one_starts_anew() {
    let mut zone = Zone::new([10.0].into_iter());
    zone.run(0, 20_000, |entry, _, account| usual(entry, account));
    zone.run(20_000, 24_000, |entry, _, account| {
        usual(entry, account) * if account == 3 { 7.0 } else { 1.0 }
    });
    expect_that!(zone.left(), each(eq(&0)));
    expect_that!(zone.entries[0].intake.is_overloaded(), eq(true));
    let refused = zone.counts[0].map(|counts| counts.refused);
    expect_that!(refused, eq([0; 4]), "no other entry can serve them");

    let mut entry = Entry::new(10.0);
    for _ in 0..400 {
        entry.intake.record_bytes(Direction::In, REQUEST_BYTES);
    }
    entry.intake.resume(Millis::new(9_000));
    for now in (9_010..11_000).step_by(10) {
        entry.step(now, |_, _, _| ());
        expect_that!(entry.intake.is_ready(25, Millis::new(now)), eq(true));
    }
    entry.note_changes(11_000);
    expect_that!(entry.changes, is_empty());
}
