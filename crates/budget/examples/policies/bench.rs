//! One run: several entries on one store, a load, and a fault in the middle minute.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use cyc_budget::{
    BudgetController, Payment, SHARDS, WalletHandle, controller, policy::Options, shard::shard_key,
    shard_of, top_up,
};
use cyc_proto::GrantId;
use cyc_standin::store::{Faults, Store};
use cyc_store::Platform as _;
use cyc_types::{BudgetId, Clock, Incarnation, Millis, Tokens};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{connection::StoreConnection, sizes::Size};

/// Seed of the load. The jitter of retries is not seeded.
const SEED: u64 = 20_261_204;
/// Duration of a run.
const RUN_DURATION: Millis = Millis::new(180_000);
/// Start and end of the fault.
const FAULT_WINDOW: (Millis, Millis) = (Millis::new(60_000), Millis::new(120_000));
/// Tokens that each request reserves.
const WORST_CASE: Tokens = Tokens::new(600);
/// Mean number of tokens used by a request; the number is between 1/6 and 5/6 of the worst case.
const MEAN_USE_TOKENS: u64 = 300;
/// Time that a request waits for tokens at most.
const RESERVE_TIMEOUT: Millis = Millis::new(500);
/// Time between two settlements of receipts.
const FLUSH_INTERVAL: Millis = Millis::new(1_000);
/// Step of the simulated clock.
const CLOCK_STEP: Millis = Millis::new(10);
/// Time without an answer from the platform after which an entry borrows from peers.
const PLATFORM_OUTAGE_DELAY: Millis = Millis::new(150);
/// Interval at which an entry checks whether to borrow.
const BORROW_INTERVAL: Millis = Millis::new(50);
/// Requested size of a loan as a multiple of the tokens that waiting requests need.
const LOAN_FACTOR: u64 = 4;

/// The fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store is unavailable for a minute.
    StoreOutage,
    /// The first entry cannot reach the store for a minute.
    EntryPartitioned,
    /// The budgets cover 6/10 of the load.
    BudgetsExhausted,
}

impl Fault {
    /// All faults, in the order of the table.
    pub const ALL: [Self; 4] = [
        Self::None,
        Self::StoreOutage,
        Self::EntryPartitioned,
        Self::BudgetsExhausted,
    ];

    /// Name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "no fault",
            Self::StoreOutage => "store outage of one minute",
            Self::EntryPartitioned => "one entry partitioned for one minute",
            Self::BudgetsExhausted => "budgets exhausted",
        }
    }
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunResults {
    /// Requests sent.
    pub requests: u64,
    /// Tokens used beyond what was paid, over all budgets.
    pub overspent_tokens: u64,
    /// Requests refused although their budget could have paid their worst case.
    pub refused: u64,
    /// Sum of the worst cases of those requests.
    pub refused_tokens: u64,
    /// Tokens paid for and not used at the end of the run.
    pub left_tokens: u64,
}

type BoxError = Box<dyn std::error::Error>;

/// Actual balance of one budget, counted by the load and not read from the records.
#[derive(Debug, Clone, Copy, Default)]
struct ActualBalance {
    paid: u64,
    used: u64,
    reserved: u64,
}

#[derive(Default)]
struct RunState {
    budgets: BTreeMap<BudgetId, ActualBalance>,
    results: RunResults,
}

type Shared = Arc<Mutex<RunState>>;

fn with_state<T>(state: &Shared, f: impl FnOnce(&mut RunState) -> T) -> T {
    f(&mut state.lock().unwrap_or_else(PoisonError::into_inner))
}

struct Entry {
    incarnation: Incarnation,
    wallet: WalletHandle,
    connection: Arc<StoreConnection>,
    unflushed: Mutex<BTreeMap<GrantId, Tokens>>,
}

impl Entry {
    fn new(number: usize, store: &Store, clock: &Clock, draws: Options) -> Result<Self, BoxError> {
        let incarnation = Incarnation::new(format!("vm-entry-{number}").parse()?, 1);
        let connection = Arc::new(StoreConnection {
            store: store.clone(),
            is_cut: AtomicBool::new(false),
        });
        let options = controller::Options {
            draws,
            ..controller::Options::default()
        };
        let (wallet, controller) = BudgetController::new(
            connection.clone(),
            incarnation.clone(),
            clock.clone(),
            options,
        );
        tokio::spawn(controller.run());
        Ok(Self {
            incarnation,
            wallet,
            connection,
            unflushed: Mutex::default(),
        })
    }

    /// Serves one request that takes `duration` and uses `used` tokens.
    async fn serve(
        self: Arc<Self>,
        state: Shared,
        budget: BudgetId,
        used: Tokens,
        duration: Millis,
    ) {
        with_state(&state, |state| state.results.requests += 1);
        let Ok(reservation) = self
            .wallet
            .reserve(&budget, WORST_CASE, RESERVE_TIMEOUT)
            .await
        else {
            return with_state(&state, |state| {
                let actual = state.budgets.entry(budget).or_default();
                if actual.paid >= actual.used + actual.reserved + WORST_CASE.get() {
                    state.results.refused += 1;
                    state.results.refused_tokens += WORST_CASE.get();
                }
            });
        };
        let reserved = |state: &mut RunState| {
            let actual = state.budgets.entry(budget.clone()).or_default();
            actual.reserved += WORST_CASE.get();
        };
        with_state(&state, reserved);
        tokio::time::sleep(duration.duration()).await;
        with_state(&state, |state| {
            let actual = state.budgets.entry(budget.clone()).or_default();
            actual.reserved -= WORST_CASE.get();
            actual.used += used.get();
        });
        let grant = reservation.grant.clone();
        self.wallet.settle(reservation, used);
        let mut unflushed = self
            .unflushed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *unflushed.entry(grant).or_default() += used;
    }

    async fn flush(self: Arc<Self>) {
        for sequence in 1.. {
            tokio::time::sleep(FLUSH_INTERVAL.duration()).await;
            let sums = {
                let mut unflushed = self
                    .unflushed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                std::mem::take(&mut *unflushed)
            };
            let sums = sums.into_iter().collect();
            let settled = self
                .wallet
                .settle_segment(&self.incarnation, sequence, sums)
                .await;
            if let Err(refused) = settled {
                eprintln!("{}: settlement refused: {refused:?}", self.incarnation);
            }
        }
    }
}

/// Borrows from peers for one entry until the run ends.
async fn borrow_for_shortfalls(entries: Vec<Arc<Entry>>, borrower: usize) {
    let entry = &entries[borrower];
    let mut loan = 0;
    loop {
        tokio::time::sleep(BORROW_INTERVAL.duration()).await;
        for shortfall in entry.wallet.shortfalls(PLATFORM_OUTAGE_DELAY) {
            for peer in entries
                .iter()
                .filter(|peer| peer.incarnation != entry.incarnation)
            {
                loan += 1;
                let lent = peer.wallet.with_wallet(|wallet| {
                    let half = Tokens::new(wallet.own_free(&shortfall.budget).get() / 2);
                    let want = Tokens::new(shortfall.total.get() * LOAN_FACTOR)
                        .min(half.max(shortfall.smallest_request));
                    wallet.lend(
                        (entry.incarnation.clone(), loan),
                        &shortfall.budget,
                        want,
                        shortfall.smallest_request,
                    )
                });
                if let Some((grant, tokens)) = lent {
                    entry
                        .wallet
                        .with_wallet(|wallet| wallet.receive_loan(loan, &grant, tokens));
                    break;
                }
            }
        }
    }
}

fn run_clock() -> Clock {
    let clock = Clock::new_manual(Millis::ZERO);
    let driven = clock.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(CLOCK_STEP.duration()).await;
            driven.advance(CLOCK_STEP);
        }
    });
    clock
}

async fn pay(store: &Store, size: &Size, fault: Fault, state: &Shared) -> Result<(), BoxError> {
    let seconds = RUN_DURATION.get() / Millis::SECOND.get();
    for (number, percent) in size.account_percents.iter().enumerate() {
        let expected_tokens = size.requests_per_second * seconds * MEAN_USE_TOKENS * percent / 100;
        let paid = match fault {
            Fault::BudgetsExhausted => expected_tokens * 6 / 10,
            _ => expected_tokens * 4,
        };
        let budget: BudgetId = format!("account-{number}").parse()?;
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
        let actual = ActualBalance {
            paid,
            ..ActualBalance::default()
        };
        with_state(state, |state| state.budgets.insert(budget, actual));
    }
    Ok(())
}

fn set_fault(fault: Fault, store: &Store, entry: &Entry, is_active: bool) {
    match fault {
        Fault::None | Fault::BudgetsExhausted => {}
        Fault::StoreOutage => store.set_faults(Faults {
            outage: is_active,
            ..Faults::default()
        }),
        Fault::EntryPartitioned => entry.connection.is_cut.store(is_active, Ordering::SeqCst),
    }
}

/// Runs one case.
pub async fn run(
    size: &Size,
    fault: Fault,
    draws: Options,
    lending: bool,
) -> Result<RunResults, BoxError> {
    let clock = run_clock();
    let store = Store::new().with_clock(clock.clone());
    let state = Shared::default();
    pay(&store, size, fault, &state).await?;
    let mut entries = Vec::new();
    for number in 0..size.entries {
        entries.push(Arc::new(Entry::new(number, &store, &clock, draws)?));
    }
    for (number, entry) in entries.iter().enumerate() {
        tokio::spawn(entry.clone().flush());
        if lending {
            tokio::spawn(borrow_for_shortfalls(entries.clone(), number));
        }
    }
    let (from, to) = FAULT_WINDOW;
    let (faulty, cut) = (store.clone(), entries[0].clone());
    tokio::spawn(async move {
        tokio::time::sleep(from.duration()).await;
        set_fault(fault, &faulty, &cut, true);
        tokio::time::sleep(to.saturating_sub(from).duration()).await;
        set_fault(fault, &faulty, &cut, false);
    });
    send_load(size, &entries, &state).await?;
    // Lets all requests and settlements finish.
    tokio::time::sleep(Millis::MINUTE.duration()).await;
    check(&store, &state).await?;
    Ok(with_state(&state, |state| {
        let overspent = state.budgets.values();
        state.results.overspent_tokens = overspent
            .map(|actual| actual.used.saturating_sub(actual.paid))
            .sum();
        let left = state.budgets.values();
        state.results.left_tokens = left
            .map(|actual| actual.paid.saturating_sub(actual.used))
            .sum();
        state.results
    }))
}

async fn send_load(size: &Size, entries: &[Arc<Entry>], state: &Shared) -> Result<(), BoxError> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let gap = Millis::SECOND.get() / size.requests_per_second;
    let requests = RUN_DURATION.get() / gap;
    for _ in 0..requests {
        let wait = rng.random_range(0..=2 * gap);
        tokio::time::sleep(Millis::new(wait).duration()).await;
        let entry = entries[rng.random_range(0..entries.len())].clone();
        let mut choice = rng.random_range(0..size.account_percents.iter().sum::<u64>());
        let account = size.account_percents.iter().position(|percent| {
            let is_drawn = choice < *percent;
            choice = choice.saturating_sub(*percent);
            is_drawn
        });
        let budget = format!("account-{}", account.unwrap_or_default()).parse()?;
        let used = Tokens::new(rng.random_range(WORST_CASE.get() / 6..=WORST_CASE.get() * 5 / 6));
        let duration = Millis::new(rng.random_range(500..=2_000));
        tokio::spawn(entry.serve(state.clone(), budget, used, duration));
    }
    Ok(())
}

/// Fails unless the shards bill exactly the tokens that were used.
async fn check(store: &Store, state: &Shared) -> Result<(), BoxError> {
    let budgets = with_state(state, |state| state.budgets.clone());
    for (budget, actual) in budgets {
        let key = shard_key(shard_of(&budget, SHARDS));
        let object = store.get(&key).await?.ok_or("a shard is missing")?;
        let shard = cyc_budget::Shard::decode(&object.body)?;
        let settled = shard.budgets.get(&budget).map(|r| r.settled.get());
        if settled != Some(actual.used) {
            return Err(format!("{budget}: settled {settled:?}, used {}", actual.used).into());
        }
    }
    Ok(())
}
