//! One run: entries with purses over one store, a load, and a fault in the middle minute.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use cyc_budget::{
    Keeper, Payment, Purse, SHARDS, keeper, policy::Options, shard::shard_key, shard_of, top_up,
};
use cyc_proto::GrantId;
use cyc_standin::store::{Faults, Store};
use cyc_store::Platform as _;
use cyc_types::{BudgetId, Clock, Incarnation, Millis, Tokens};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{sizes::Size, way::Way};

/// Seed of the load. The jitter of retries is not seeded.
const SEED: u64 = 20_261_204;
/// Length of a run.
const LENGTH: Millis = Millis::new(180_000);
/// The minute of the fault.
const FAULT: (Millis, Millis) = (Millis::new(60_000), Millis::new(120_000));
/// The worst case that each request reserves.
const WORST: Tokens = Tokens::new(600);
/// The mean of what a request uses, between a sixth and five sixths of the worst case.
const MEAN_USE: u64 = 300;
/// How long a request waits for tokens.
const RESERVE_WAIT: Millis = Millis::new(500);
/// Time between two flushes of receipts.
const FLUSH: Millis = Millis::new(1_000);
/// Step of the clock.
const STEP: Millis = Millis::new(10);
/// How long the platform is silent before peers are asked, and how often it is looked at.
const SILENCE: Millis = Millis::new(150);
const LEND_INTERVAL: Millis = Millis::new(50);
/// A loan is this many times what the waiting requests need.
const LOAN_FACTOR: u64 = 4;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The store is out for a minute.
    StoreOut,
    /// The first entry does not reach the store for a minute.
    EntryCut,
    /// The budgets cover six tenths of the load.
    EndOfBudget,
}

impl Fault {
    /// All cases.
    pub const ALL: [Self; 4] = [
        Self::None,
        Self::StoreOut,
        Self::EntryCut,
        Self::EndOfBudget,
    ];

    /// Returns the name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "all well",
            Self::StoreOut => "store out a minute",
            Self::EntryCut => "one entry cut off a minute",
            Self::EndOfBudget => "end of the budgets",
        }
    }
}

/// The figures of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Requests sent.
    pub requests: u64,
    /// Tokens used beyond what was paid, over all budgets.
    pub overspent: u64,
    /// Requests refused although their budget could have paid their worst case.
    pub refused: u64,
    /// The worst cases of those requests.
    pub refused_tokens: u64,
    /// Tokens paid and not used when the run ends.
    pub left: u64,
}

type Failure = Box<dyn std::error::Error>;

/// What one budget has really paid for.
#[derive(Debug, Clone, Copy, Default)]
struct Truth {
    paid: u64,
    used: u64,
    reserved: u64,
}

#[derive(Default)]
struct Book {
    truths: BTreeMap<BudgetId, Truth>,
    figures: Figures,
}

type Shared = Arc<Mutex<Book>>;

fn with<T>(book: &Shared, f: impl FnOnce(&mut Book) -> T) -> T {
    f(&mut book.lock().unwrap_or_else(PoisonError::into_inner))
}

/// One entry.
struct Entry {
    me: Incarnation,
    purse: Purse,
    way: Arc<Way>,
    unflushed: Mutex<BTreeMap<GrantId, Tokens>>,
}

impl Entry {
    fn new(number: usize, store: &Store, clock: &Clock, draws: Options) -> Result<Self, Failure> {
        let me = Incarnation::new(format!("vm-entry-{number}").parse()?, 1);
        let way = Arc::new(Way {
            store: store.clone(),
            is_cut: AtomicBool::new(false),
        });
        let options = keeper::Options {
            draws,
            ..keeper::Options::default()
        };
        let (purse, keeper) = Keeper::new(way.clone(), me.clone(), clock.clone(), options);
        tokio::spawn(keeper.run());
        Ok(Self {
            me,
            purse,
            way,
            unflushed: Mutex::default(),
        })
    }

    /// Serves one request that uses `used` tokens for `span`.
    async fn serve(self: Arc<Self>, book: Shared, budget: BudgetId, used: Tokens, span: Millis) {
        with(&book, |book| book.figures.requests += 1);
        let Ok(reservation) = self.purse.reserve(&budget, WORST, RESERVE_WAIT).await else {
            return with(&book, |book| {
                let truth = book.truths.entry(budget).or_default();
                if truth.paid >= truth.used + truth.reserved + WORST.get() {
                    book.figures.refused += 1;
                    book.figures.refused_tokens += WORST.get();
                }
            });
        };
        let reserved = |book: &mut Book| {
            let truth = book.truths.entry(budget.clone()).or_default();
            truth.reserved += WORST.get();
        };
        with(&book, reserved);
        tokio::time::sleep(span.duration()).await;
        with(&book, |book| {
            let truth = book.truths.entry(budget.clone()).or_default();
            truth.reserved -= WORST.get();
            truth.used += used.get();
        });
        let grant = reservation.grant.clone();
        self.purse.settle(reservation, used);
        let mut unflushed = self
            .unflushed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *unflushed.entry(grant).or_default() += used;
    }

    async fn flush(self: Arc<Self>) {
        for sequence in 1.. {
            tokio::time::sleep(FLUSH.duration()).await;
            let sums = {
                let mut unflushed = self
                    .unflushed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                std::mem::take(&mut *unflushed)
            };
            let sums = sums.into_iter().collect();
            let settled = self.purse.settle_segment(&self.me, sequence, sums).await;
            if let Err(refused) = settled {
                eprintln!("{}: not settled: {refused:?}", self.me);
            }
        }
    }
}

/// Borrows at one entry for as long as the run lasts.
async fn lend(entries: Vec<Arc<Entry>>, borrower: usize) {
    let me = &entries[borrower];
    let mut loan = 0;
    loop {
        tokio::time::sleep(LEND_INTERVAL.duration()).await;
        for lack in me.purse.lacks(SILENCE) {
            for peer in entries.iter().filter(|peer| peer.me != me.me) {
                loan += 1;
                let lent = peer.purse.with_wallet(|wallet| {
                    let half = Tokens::new(wallet.own_free(&lack.budget).get() / 2);
                    let want = Tokens::new(lack.all.get() * LOAN_FACTOR).min(half.max(lack.least));
                    wallet.lend((me.me.clone(), loan), &lack.budget, want, lack.least)
                });
                if let Some((grant, tokens)) = lent {
                    me.purse
                        .with_wallet(|wallet| wallet.borrow(loan, &grant, tokens));
                    break;
                }
            }
        }
    }
}

fn run_clock() -> Clock {
    let clock = Clock::new_manual(Millis::ZERO);
    let moved = clock.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(STEP.duration()).await;
            moved.advance(STEP);
        }
    });
    clock
}

async fn pay(store: &Store, size: &Size, fault: Fault, book: &Shared) -> Result<(), Failure> {
    let seconds = LENGTH.get() / Millis::SECOND.get();
    for (n, percent) in size.accounts.iter().enumerate() {
        let load = size.rate * seconds * MEAN_USE * percent / 100;
        let paid = match fault {
            Fault::EndOfBudget => load * 6 / 10,
            _ => load * 4,
        };
        let budget: BudgetId = format!("account-{n}").parse()?;
        let payment = Payment {
            budget: budget.clone(),
            account: budget.as_str().parse()?,
            id: "first".into(),
            tokens: Tokens::new(paid),
            at: Millis::ZERO,
        };
        top_up(store, SHARDS, payment)
            .await
            .map_err(|error| format!("{error:?}"))?;
        let truth = Truth {
            paid,
            ..Truth::default()
        };
        with(book, |book| book.truths.insert(budget, truth));
    }
    Ok(())
}

fn start_fault(fault: Fault, store: &Store, entry: &Entry, on: bool) {
    match fault {
        Fault::None | Fault::EndOfBudget => {}
        Fault::StoreOut => store.set_faults(Faults {
            outage: on,
            ..Faults::default()
        }),
        Fault::EntryCut => entry.way.is_cut.store(on, Ordering::SeqCst),
    }
}

/// Runs one case.
pub async fn run(
    size: &Size,
    fault: Fault,
    draws: Options,
    lending: bool,
) -> Result<Figures, Failure> {
    let clock = run_clock();
    let store = Store::new().with_clock(clock.clone());
    let book = Shared::default();
    pay(&store, size, fault, &book).await?;
    let mut entries = Vec::new();
    for number in 0..size.entries {
        entries.push(Arc::new(Entry::new(number, &store, &clock, draws)?));
    }
    for (number, entry) in entries.iter().enumerate() {
        tokio::spawn(entry.clone().flush());
        if lending {
            tokio::spawn(lend(entries.clone(), number));
        }
    }
    let (from, to) = FAULT;
    let (faulty, cut) = (store.clone(), entries[0].clone());
    tokio::spawn(async move {
        tokio::time::sleep(from.duration()).await;
        start_fault(fault, &faulty, &cut, true);
        tokio::time::sleep(to.saturating_sub(from).duration()).await;
        start_fault(fault, &faulty, &cut, false);
    });
    send_load(size, &entries, &book).await?;
    // Every run and flush ends.
    tokio::time::sleep(Millis::MINUTE.duration()).await;
    check(&store, &book).await?;
    Ok(with(&book, |book| {
        let over = book.truths.values();
        book.figures.overspent = over.map(|t| t.used.saturating_sub(t.paid)).sum();
        let left = book.truths.values();
        book.figures.left = left.map(|t| t.paid.saturating_sub(t.used)).sum();
        book.figures
    }))
}

async fn send_load(size: &Size, entries: &[Arc<Entry>], book: &Shared) -> Result<(), Failure> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let gap = Millis::SECOND.get() / size.rate;
    let requests = LENGTH.get() / gap;
    for _ in 0..requests {
        let wait = rng.random_range(0..=2 * gap);
        tokio::time::sleep(Millis::new(wait).duration()).await;
        let entry = entries[rng.random_range(0..entries.len())].clone();
        let mut draw = rng.random_range(0..size.accounts.iter().sum::<u64>());
        let account = size.accounts.iter().position(|part| {
            let is_it = draw < *part;
            draw = draw.saturating_sub(*part);
            is_it
        });
        let budget = format!("account-{}", account.unwrap_or_default()).parse()?;
        let used = Tokens::new(rng.random_range(WORST.get() / 6..=WORST.get() * 5 / 6));
        let span = Millis::new(rng.random_range(500..=2_000));
        tokio::spawn(entry.serve(book.clone(), budget, used, span));
    }
    Ok(())
}

/// Fails unless the shards bill exactly what was used.
async fn check(store: &Store, book: &Shared) -> Result<(), Failure> {
    let truths = with(book, |book| book.truths.clone());
    for (budget, truth) in truths {
        let key = shard_key(shard_of(&budget, SHARDS));
        let object = store.get(&key).await?.ok_or("a shard is absent")?;
        let shard = cyc_budget::Shard::decode(&object.body)?;
        let settled = shard.budgets.get(&budget).map(|r| r.settled.get());
        if settled != Some(truth.used) {
            return Err(format!("{budget}: settled {settled:?}, used {}", truth.used).into());
        }
    }
    Ok(())
}
