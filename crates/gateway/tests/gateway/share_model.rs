//! A seeded model: entries against a store whose writes are refused, lost, or made late.

use cyc_gateway::share::{GiveBack, LoanRequest, Plan, Record, Reservation, Role, Wallet};
use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const SEEDS: u64 = 300;
const STEPS: usize = 400;
const ENTRIES: usize = 4;
const PAID: u64 = 400_000;

/// The store: one record, and writes that it will make later if their condition still holds.
#[derive(Default)]
struct Store {
    version: u64,
    record: Record,
    late: Vec<Plan>,
}

impl Store {
    fn base(&self) -> Option<Version> {
        (self.version > 0).then(|| Version::new(self.version))
    }

    fn apply(&mut self, plan: &Plan) -> bool {
        if plan.base != self.base() {
            return false;
        }
        self.version += 1;
        self.record = plan.record.clone();
        true
    }
}

struct Entry {
    wallet: Wallet,
    open: Vec<Reservation>,
    starts: u64,
}

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn start(index: usize, starts: u64, paid: u64) -> Entry {
    let mut wallet = Wallet::new(format!("vm-{index}").parse().unwrap(), starts);
    wallet.set_prepaid([(account(), Tokens::new(paid))]);
    Entry {
        wallet,
        open: Vec::new(),
        starts,
    }
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

/// One exchange with the store: sometimes a read, a plan, a write; each may fail in its own way.
/// Any entry may take itself for the home, and any start may be taken for ended.
fn exchange(entry: &mut Entry, store: &mut Store, rng: &mut StdRng, now: Millis) {
    let wallet = &mut entry.wallet;
    let role = match rng.random_bool(0.7) {
        true => Role::Home,
        false => Role::Guest,
    };
    if rng.random_bool(0.1) {
        wallet.stand_in(&account(), now);
    }
    if wallet.must_read(&account(), role, now) || rng.random_bool(0.1) {
        if rng.random_bool(0.15) {
            return;
        }
        wallet.observe(&account(), store.base(), store.record.clone(), now);
    }
    let start = |_| rng.random_bool(0.9).then_some(1);
    wallet.set_starts((0..ENTRIES).map(vm).zip((0..ENTRIES).map(start)).collect());
    let Some(plan) = wallet.plan(&account(), role, now) else {
        return;
    };
    match rng.random_range(0..10) {
        0 => wallet.refused(&account()),
        1 => wallet.unanswered(&account()),
        2 => {
            store.late.push(plan);
            wallet.unanswered(&account());
        }
        3 => {
            store.apply(&plan);
            wallet.unanswered(&account());
        }
        _ if store.apply(&plan) => {
            wallet.written(&account(), Version::new(store.version), now);
        }
        _ => {
            wallet.conflicted(&account());
            if rng.random_bool(0.5) {
                wallet.observe(&account(), store.base(), store.record.clone(), now);
            }
        }
    }
}

/// Tokens pass from one entry to another by a loan or a return; the message may get lost.
fn hand_over(entries: &mut [Entry], rng: &mut StdRng, now: Millis) {
    let (from, to) = (rng.random_range(0..ENTRIES), rng.random_range(0..ENTRIES));
    if from == to {
        return;
    }
    let is_lost = rng.random_bool(0.2);
    if rng.random_bool(0.3) {
        let given = entries[from].wallet.give_back(|_| Role::Guest, now);
        for (account, tokens) in given.into_iter().filter(|_| !is_lost) {
            entries[to].wallet.take_back(&GiveBack {
                key: "key".into(),
                from: vm(from),
                account,
                tokens,
            });
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
    let tokens = entries[from].wallet.lend(&request, now);
    if !is_lost {
        entries[to].wallet.borrow(&account(), tokens);
    }
}

fn request(entry: &mut Entry, rng: &mut StdRng, now: Millis) -> u64 {
    let worst = Tokens::new(rng.random_range(100..4_000));
    if let Ok(reservation) = entry.wallet.reserve(&account(), worst, now) {
        entry.open.push(reservation);
    } else {
        entry.wallet.want(&account(), worst);
        entry.wallet.unwant(&account(), Tokens::ZERO);
    }
    if entry.open.len() < 3 {
        return 0;
    }
    let ended = entry.open.remove(0);
    let used = rng.random_range(0..=ended.tokens.get());
    entry.wallet.settle(&ended, Tokens::new(used), now);
    used
}

#[gtest]
fn no_order_of_faults_lets_an_account_use_more_than_it_paid() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|i| start(i, 1, PAID)).collect();
        let mut used = 0;
        for step in 0..STEPS {
            let now = Millis::new(step as u64 * 50);
            let index = rng.random_range(0..ENTRIES);
            match rng.random_range(0..20) {
                0 => {
                    // Killed: what is in flight may have used all that it reserved.
                    let open: Tokens = entries[index].open.iter().map(|r| r.tokens).sum();
                    used += open.get();
                    entries[index] = start(index, entries[index].starts + 1, PAID);
                }
                1 | 2 => {
                    if !store.late.is_empty() {
                        let pick = rng.random_range(0..store.late.len());
                        let plan = store.late.swap_remove(pick);
                        store.apply(&plan);
                    }
                }
                3..=8 => exchange(&mut entries[index], &mut store, &mut rng, now),
                9..=10 => hand_over(&mut entries, &mut rng, now),
                _ => used += request(&mut entries[index], &mut rng, now),
            }
            let open: Tokens = entries.iter().flat_map(|e| &e.open).map(|r| r.tokens).sum();
            assert!(used + open.get() <= PAID, "seed {seed} step {step}: {used}");
        }
        let drawn = store.record.drawn;
        assert!(drawn.get() <= PAID, "seed {seed}: drawn {drawn}");
    }
}
