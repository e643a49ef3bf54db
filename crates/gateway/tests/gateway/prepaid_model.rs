//! Seeded model test: entries and a store whose writes are refused, lost or delayed.

use cyc_gateway::{
    peers::LOST_AFTER,
    prepaid::{
        Allocations, LoanRequest, Record, RecordWrite, Reservation, Role, TokenReturn, WriteOutcome,
    },
};
use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const SEEDS: u64 = 300;
const STEPS: usize = 400;
const ENTRIES: usize = 4;
const PAID: u64 = 400_000;

/// A store with one record, and delayed writes that it applies later if their base version still
/// matches.
#[derive(Default)]
struct Store {
    version: u64,
    record: Record,
    delayed: Vec<RecordWrite>,
}

impl Entry {
    fn observe(&mut self, store: &Store, now: Millis) {
        let record = self.seen(store.record.clone());
        let outcome = self
            .allocations
            .observe(&account(), store.base(), record, now);
        self.unknown += u64::from(outcome == Some(WriteOutcome::Unknown));
    }

    /// The record as an entry of this version reads or writes it.
    fn seen(&self, mut record: Record) -> Record {
        if self.is_old {
            record.ended = None;
        }
        record
    }

    /// Free and reserved tokens.
    fn held(&self) -> u64 {
        let (free, reserved) = self.allocations.holding(&account());
        (free + reserved).get()
    }
}

impl Store {
    fn base(&self) -> Option<Version> {
        (self.version > 0).then(|| Version::new(self.version))
    }

    fn apply(&mut self, write: &RecordWrite) -> bool {
        if write.base != self.base() {
            return false;
        }
        self.version += 1;
        self.record = write.record.clone();
        true
    }
}

struct Entry {
    allocations: Allocations,
    open: Vec<Reservation>,
    incarnation: u64,
    /// The entry runs a version that does not know of [`Record::ended`].
    is_old: bool,
    /// Writes whose outcome the entry could not tell.
    unknown: u64,
    /// The entry reaches the store and reads nothing from it until then: responses are lost. The
    /// others count it as ended after 30 s.
    away_since: Option<Millis>,
}

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn start_entry(index: usize, incarnation: u64, paid: u64) -> Entry {
    let mut allocations = Allocations::new(format!("vm-{index}").parse().unwrap(), incarnation);
    allocations.set_prepaid([(account(), Tokens::new(paid))]);
    Entry {
        allocations,
        open: Vec::new(),
        incarnation,
        is_old: false,
        unknown: 0,
        away_since: None,
    }
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

/// One exchange with the store: a read, a plan and a write, each of which may be skipped or fail in
/// different ways. Any entry may consider itself the owner, and any incarnation may be considered
/// ended.
fn exchange(entries: &mut [Entry], index: usize, store: &mut Store, rng: &mut StdRng, now: Millis) {
    let is_lost = |entry: &Entry| {
        let away_since = entry.away_since;
        away_since.is_some_and(|since| now.saturating_sub(since) > LOST_AFTER)
    };
    let known = |entry: &Entry| (!is_lost(entry)).then_some(entry.incarnation);
    let incarnations: Vec<Option<u64>> = entries.iter().map(known).collect();
    let entry = &mut entries[index];
    let is_away = entry.away_since.is_some();
    let role = match rng.random_bool(0.7) {
        true => Role::Owner,
        false => Role::Borrower,
    };
    if rng.random_bool(0.1) {
        entry.allocations.become_acting_owner(&account(), now);
    }
    if entry.allocations.must_read(&account(), role, now) || rng.random_bool(0.1) {
        if is_away || rng.random_bool(0.15) {
            return;
        }
        entry.observe(store, now);
    }
    // The heartbeats that an entry has read may be outdated.
    let incarnations = incarnations.into_iter().map(|known| {
        let known = if rng.random_bool(0.05) {
            Some(1)
        } else {
            known
        };
        known.filter(|_| rng.random_bool(0.95))
    });
    let incarnations = (0..ENTRIES).map(vm).zip(incarnations).collect();
    entry.allocations.set_incarnations(incarnations);
    let Some(mut write) = entry.allocations.plan(&account(), role, now) else {
        return;
    };
    write.record = entry.seen(write.record);
    let allocations = &mut entry.allocations;
    match rng.random_range(0..10) {
        _ if is_away => {
            if rng.random_bool(0.7) {
                store.apply(&write);
            }
            allocations.unanswered(&account());
        }
        0 => allocations.refused(&account()),
        1 => allocations.unanswered(&account()),
        2 => {
            store.delayed.push(write);
            allocations.unanswered(&account());
        }
        3 => {
            store.apply(&write);
            allocations.unanswered(&account());
        }
        _ if store.apply(&write) => {
            allocations.written(&account(), Version::new(store.version), now);
        }
        _ => {
            allocations.conflicted(&account());
            if rng.random_bool(0.5) {
                entry.observe(store, now);
            }
        }
    }
}

/// Moves tokens between entries by a loan or a return; the message may get lost. Returns the tokens
/// lost with it.
fn transfer(entries: &mut [Entry], rng: &mut StdRng, now: Millis) -> u64 {
    let (from, to) = (rng.random_range(0..ENTRIES), rng.random_range(0..ENTRIES));
    if from == to {
        return 0;
    }
    let is_lost = rng.random_bool(0.2);
    if rng.random_bool(0.3) {
        let given = entries[from]
            .allocations
            .return_surplus(|_| Role::Borrower, ENTRIES, now);
        let given_tokens: Tokens = given.iter().map(|(_, tokens)| *tokens).sum();
        for (account, tokens) in given.into_iter().filter(|_| !is_lost) {
            let token_return = TokenReturn {
                key: "key".into(),
                from: vm(from),
                account,
                tokens,
            };
            entries[to].allocations.accept_return(&token_return, now);
        }
        return if is_lost { given_tokens.get() } else { 0 };
    }
    let request = LoanRequest {
        key: "key".into(),
        from: vm(to),
        account: account(),
        least: Tokens::new(rng.random_range(0..4_000)),
        want: Tokens::new(rng.random_range(4_000..9_000)),
        should_draw: true,
    };
    let tokens = entries[from].allocations.lend(&request, now);
    if is_lost {
        return tokens.get();
    }
    entries[to].allocations.borrow(&account(), tokens);
    0
}

fn request(entry: &mut Entry, rng: &mut StdRng, now: Millis) -> u64 {
    let max_cost = Tokens::new(rng.random_range(100..4_000));
    if let Ok(reservation) = entry.allocations.reserve(&account(), max_cost, now) {
        entry.open.push(reservation);
    } else {
        entry.allocations.add_waiter(&account(), max_cost);
        entry.allocations.remove_waiter(&account(), Tokens::ZERO);
    }
    if entry.open.len() < 3 {
        return 0;
    }
    let ended = entry.open.remove(0);
    let used = rng.random_range(0..=ended.tokens.get());
    entry.allocations.settle(&ended, Tokens::new(used), now);
    used
}

/// Makes the outcome of every write known, with writes that are answered from now on.
fn resolve_all(entries: &mut [Entry], store: &mut Store, now: Millis) {
    store.delayed.clear();
    for entry in entries {
        entry.observe(store, now);
        if let Some(write) = entry.allocations.plan(&account(), Role::Borrower, now) {
            expect_true!(store.apply(&write));
            let version = Version::new(store.version);
            entry.allocations.written(&account(), version, now);
        }
    }
}

/// A write whose response is lost may be applied at once, later, or never, also after the writer was
/// silent for so long that others count its tokens as lost. Tokens that are credited although the
/// store did not draw them would be used twice; drawn ones that are not credited would be lost.
#[gtest]
fn no_sequence_of_faults_lets_an_account_exceed_its_prepaid_total() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|i| start_entry(i, 1, PAID)).collect();
        let (has_kills, has_old) = (seed % 2 == 0, seed % 3 == 0);
        entries[0].is_old = has_old;
        let mut used = 0;
        let mut lost_in_messages = 0;
        let mut now = Millis::ZERO;
        for step in 0..STEPS {
            now += Millis::new(50);
            if rng.random_bool(0.02) {
                // A calm time, after which entries return what they do not need.
                now += Millis::new(rng.random_range(1_000..40_000));
            }
            let index = rng.random_range(0..ENTRIES);
            match rng.random_range(0..21) {
                0 if has_kills => {
                    // Killed: requests in flight may have used all their reserved tokens.
                    let open: Tokens = entries[index].open.iter().map(|r| r.tokens).sum();
                    used += open.get();
                    let incarnation = entries[index].incarnation + 1;
                    entries[index] = start_entry(index, incarnation, PAID);
                    entries[index].is_old = has_old && index == 0;
                }
                1 | 2 => {
                    if !store.delayed.is_empty() {
                        // Late writes arrive in any order, and may arrive again.
                        let pick = rng.random_range(0..store.delayed.len());
                        let write = store.delayed[pick].clone();
                        if rng.random_bool(0.5) {
                            store.delayed.swap_remove(pick);
                        }
                        store.apply(&write);
                    }
                }
                3..=8 => exchange(&mut entries, index, &mut store, &mut rng, now),
                9..=10 => lost_in_messages += transfer(&mut entries, &mut rng, now),
                11 => {
                    let away_since = &mut entries[index].away_since;
                    *away_since = match away_since {
                        None => Some(now),
                        Some(_) => None,
                    };
                }
                _ => used += request(&mut entries[index], &mut rng, now),
            }
            let held: u64 = entries.iter().map(Entry::held).sum();
            let drawn = store.record.drawn.get();
            assert!(drawn <= PAID, "seed {seed} step {step}: drawn {drawn}");
            assert!(
                used + held <= drawn,
                "seed {seed} step {step}: {used} used, {held} held, {drawn} drawn"
            );
        }
        if has_kills || has_old {
            continue;
        }
        resolve_all(&mut entries, &mut store, now);
        let unknown: u64 = entries.iter().map(|entry| entry.unknown).sum();
        assert_eq!(unknown, 0, "seed {seed}");
        let held: u64 = entries.iter().map(Entry::held).sum();
        let drawn = store.record.drawn.get();
        assert_eq!(used + held + lost_in_messages, drawn, "seed {seed}");
    }
}
