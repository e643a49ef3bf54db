//! Seeded model test: entries and a store whose writes are refused, lost or delayed.

use cyc_gateway::prepaid::{
    Allocations, LoanRequest, Record, RecordWrite, Reservation, Role, TokenReturn,
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
    }
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

/// One exchange with the store: a read, a plan and a write, each of which may be skipped or fail in
/// different ways. Any entry may consider itself the owner, and any incarnation may be considered
/// ended.
fn exchange(entry: &mut Entry, store: &mut Store, rng: &mut StdRng, now: Millis) {
    let allocations = &mut entry.allocations;
    let role = match rng.random_bool(0.7) {
        true => Role::Owner,
        false => Role::Borrower,
    };
    if rng.random_bool(0.1) {
        allocations.become_acting_owner(&account(), now);
    }
    if allocations.must_read(&account(), role, now) || rng.random_bool(0.1) {
        if rng.random_bool(0.15) {
            return;
        }
        allocations.observe(&account(), store.base(), store.record.clone(), now);
    }
    let incarnation = |_| rng.random_bool(0.9).then_some(1);
    allocations.set_incarnations(
        (0..ENTRIES)
            .map(vm)
            .zip((0..ENTRIES).map(incarnation))
            .collect(),
    );
    let Some(write) = allocations.plan(&account(), role, now) else {
        return;
    };
    match rng.random_range(0..10) {
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
                allocations.observe(&account(), store.base(), store.record.clone(), now);
            }
        }
    }
}

/// Moves tokens between entries by a loan or a return; the message may get lost.
fn transfer(entries: &mut [Entry], rng: &mut StdRng, now: Millis) {
    let (from, to) = (rng.random_range(0..ENTRIES), rng.random_range(0..ENTRIES));
    if from == to {
        return;
    }
    let is_lost = rng.random_bool(0.2);
    if rng.random_bool(0.3) {
        let given = entries[from]
            .allocations
            .return_surplus(|_| Role::Borrower, ENTRIES, now);
        for (account, tokens) in given.into_iter().filter(|_| !is_lost) {
            let token_return = TokenReturn {
                key: "key".into(),
                from: vm(from),
                account,
                tokens,
            };
            entries[to].allocations.accept_return(&token_return, now);
        }
        return;
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
    if !is_lost {
        entries[to].allocations.borrow(&account(), tokens);
    }
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

#[gtest]
fn no_sequence_of_faults_lets_an_account_exceed_its_prepaid_total() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|i| start_entry(i, 1, PAID)).collect();
        let mut used = 0;
        for step in 0..STEPS {
            let now = Millis::new(step as u64 * 50);
            let index = rng.random_range(0..ENTRIES);
            match rng.random_range(0..20) {
                0 => {
                    // Killed: requests in flight may have used all their reserved tokens.
                    let open: Tokens = entries[index].open.iter().map(|r| r.tokens).sum();
                    used += open.get();
                    entries[index] = start_entry(index, entries[index].incarnation + 1, PAID);
                }
                1 | 2 => {
                    if !store.delayed.is_empty() {
                        let pick = rng.random_range(0..store.delayed.len());
                        let write = store.delayed.swap_remove(pick);
                        store.apply(&write);
                    }
                }
                3..=8 => exchange(&mut entries[index], &mut store, &mut rng, now),
                9..=10 => transfer(&mut entries, &mut rng, now),
                _ => used += request(&mut entries[index], &mut rng, now),
            }
            let open: Tokens = entries.iter().flat_map(|e| &e.open).map(|r| r.tokens).sum();
            assert!(used + open.get() <= PAID, "seed {seed} step {step}: {used}");
        }
        let drawn = store.record.drawn;
        assert!(drawn.get() <= PAID, "seed {seed}: drawn {drawn}");
    }
}
