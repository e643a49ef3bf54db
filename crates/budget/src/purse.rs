//! The wallet as requests use it: they wait here for tokens until their deadline.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Clock, ErrorKind, Incarnation, Millis, Refusal, Tokens};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    close::CloseReport,
    keeper::{Command, Known},
    lack::Lack,
    op::{Applied, Op, OpError},
    policy,
    wallet::{HolderOp, Reservation, Reserve, Wallet},
};

/// How many later requests may be served before a request that waits for more tokens.
const MAX_OVERTAKEN: u32 = 8;
/// Time between two looks at the platform while a request waits.
const RETRY_DRAW: Millis = Millis::new(100);
/// A wallet with less than this part of what it should keep is refilled.
const LOW_PART: u64 = 4;

/// The handle of a wallet that requests and the controllers share.
#[derive(Debug, Clone)]
pub struct Purse {
    pub(crate) shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<Command>,
}

/// What the handles and the controller share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: Notify,
    pub(crate) clock: Clock,
    pub(crate) draws: policy::Options,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) wallet: Wallet,
    pub(crate) known: BTreeMap<BudgetId, Known>,
    /// Number of the last read of a shard that was started.
    pub(crate) last_read: u64,
    /// Since when the platform is asked without an answer.
    pub(crate) asking_since: Option<Millis>,
    queues: BTreeMap<BudgetId, VecDeque<Waiter>>,
    next_ticket: u64,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    worst: Tokens,
    overtaken: u32,
}

/// A place in the queue of a budget, given up on drop.
struct Ticket<'a> {
    shared: &'a Shared,
    budget: &'a BudgetId,
    number: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(queue) = state.queues.get_mut(self.budget) {
            queue.retain(|waiter| waiter.ticket != self.number);
            if queue.is_empty() {
                state.queues.remove(self.budget);
            }
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }
}

impl Shared {
    pub(crate) fn new(me: Incarnation, clock: Clock, draws: policy::Options) -> Self {
        let state = State {
            wallet: Wallet::new(me),
            known: BTreeMap::new(),
            last_read: 0,
            asking_since: None,
            queues: BTreeMap::new(),
            next_ticket: 0,
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            clock,
            draws,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes the requests that wait.
    pub(crate) fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let result = f(&mut self.lock());
        self.changed.notify_waiters();
        result
    }

    fn enqueue<'a>(&'a self, budget: &'a BudgetId, worst: Tokens) -> Ticket<'a> {
        let mut state = self.lock();
        state.next_ticket += 1;
        let number = state.next_ticket;
        let queue = state.queues.entry(budget.clone()).or_default();
        queue.push_back(Waiter {
            ticket: number,
            worst,
            overtaken: 0,
        });
        Ticket {
            shared: self,
            budget,
            number,
        }
    }
}

/// Whether a request that is short should wait.
enum Verdict {
    Wait,
    Exhausted,
}

impl State {
    /// Reserves for a waiter unless an earlier one has been overtaken too often.
    fn try_reserve(
        &mut self,
        ticket: &Ticket<'_>,
        worst: Tokens,
        now: Millis,
    ) -> Result<Reservation, Tokens> {
        let earlier = |waiter: &&mut Waiter| waiter.ticket < ticket.number;
        let queue = self.queues.entry(ticket.budget.clone()).or_default();
        let barred = queue
            .iter_mut()
            .take_while(earlier)
            .any(|waiter| waiter.overtaken >= MAX_OVERTAKEN);
        if barred {
            return Err(worst);
        }
        match self.wallet.reserve(ticket.budget, worst, now) {
            Reserve::Short { missing } => Err(missing),
            Reserve::Granted(reservation) => {
                for waiter in queue.iter_mut().take_while(earlier) {
                    waiter.overtaken += 1;
                }
                Ok(reservation)
            }
        }
    }

    /// Judges by a record whose read was started after the request came. An earlier one may
    /// hide a top-up.
    fn verdict(&self, budget: &BudgetId, worst: Tokens, since: u64) -> Verdict {
        let Some(known) = self.known.get(budget).filter(|known| known.read > since) else {
            return Verdict::Wait;
        };
        let here = self.wallet.holding(budget);
        let reachable = known.free + here.largest + here.returning + here.lent + known.others;
        match reachable < worst {
            true => Verdict::Exhausted,
            false => Verdict::Wait,
        }
    }

    /// Returns what the waiting requests lack, by budget.
    pub(crate) fn waiting(&self) -> Vec<Lack> {
        let lack = |(budget, queue): (&BudgetId, &VecDeque<Waiter>)| {
            let least = queue.iter().map(|waiter| waiter.worst).min()?;
            Some(Lack {
                budget: budget.clone(),
                least,
                all: queue.iter().map(|waiter| waiter.worst).sum(),
            })
        };
        self.queues.iter().filter_map(lack).collect()
    }

    /// Returns true if requests wait for tokens of a budget.
    pub(crate) fn has_waiters(&self, budget: &BudgetId) -> bool {
        self.queues
            .get(budget)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Returns what the waiting requests lack together.
    fn lacking(&self, budget: &BudgetId) -> Tokens {
        let queue = self.queues.get(budget).into_iter().flatten();
        let wanted: Tokens = queue.map(|waiter| waiter.worst).sum();
        wanted.saturating_sub(self.wallet.own_free(budget))
    }

    /// Returns the budgets of which tokens are free here.
    pub(crate) fn held_budgets(&self) -> Vec<BudgetId> {
        let mut budgets = self.wallet.budgets();
        budgets.retain(|budget| !self.wallet.own_free(budget).is_zero());
        budgets
    }

    /// Returns what was free in the shard when it was last read.
    pub(crate) fn last_free(&self, budget: &BudgetId) -> Tokens {
        let known = self.known.get(budget);
        known.map_or(Tokens::ZERO, |known| known.free)
    }

    /// Starts a draw ahead of need when little is left for the rate of use.
    fn refill(&mut self, shared: &Shared, budget: &BudgetId, now: Millis) -> Option<HolderOp> {
        let rate = self.wallet.rate(budget, now);
        let low = shared.draws.keep(rate, self.last_free(budget)).get() / LOW_PART;
        let short = self.wallet.own_free(budget).get() < low;
        let due = short && self.wallet.draw_due(budget, shared.draws.idle, now);
        due.then(|| self.wallet.start_draw(budget, Tokens::new(1)))
            .flatten()
    }
}

impl Purse {
    pub(crate) fn new(shared: Arc<Shared>, tx: mpsc::UnboundedSender<Command>) -> Self {
        Self { shared, tx }
    }

    /// Reserves the worst case of a request, waiting at most `wait` for reservations in flight
    /// to end or a draw to land.
    ///
    /// # Errors
    /// [`ErrorKind::BudgetExhausted`] if the platform's record, read after the request came,
    /// shows that the budget cannot cover it; [`ErrorKind::BudgetUnreachable`] if tokens may be
    /// left but could not be had in time; [`ErrorKind::Fenced`] if this incarnation was fenced.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        worst: Tokens,
        wait: Millis,
    ) -> Result<Reservation, Refusal> {
        let ticket = self.shared.enqueue(budget, worst);
        let since = self.shared.lock().last_read;
        let deadline = tokio::time::sleep(wait.duration());
        let mut is_first = true;
        tokio::pin!(deadline);
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(result) = self.attempt(&ticket, worst, since) {
                return result;
            }
            if std::mem::take(&mut is_first) {
                self.send(Command::Hurry(budget.clone()));
            }
            tokio::select! {
                () = &mut changed => {}
                () = tokio::time::sleep(RETRY_DRAW.duration()) => {}
                () = &mut deadline => return Err(self.unreachable(budget, worst)),
            }
        }
    }

    fn attempt(
        &self,
        ticket: &Ticket<'_>,
        worst: Tokens,
        since: u64,
    ) -> Option<Result<Reservation, Refusal>> {
        let budget = ticket.budget;
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if state.wallet.is_fenced() {
            let refusal = Refusal::new(ErrorKind::Fenced, "this entry was replaced");
            return Some(Err(refusal));
        }
        let missing = match state.try_reserve(ticket, worst, now) {
            Ok(reservation) => {
                if let Some(op) = state.refill(&self.shared, budget, now) {
                    self.send(Command::Draw(op));
                }
                return Some(Ok(reservation));
            }
            Err(missing) => missing,
        };
        if let Verdict::Exhausted = state.verdict(budget, worst, since) {
            let detail = format!("{budget} has fewer than the {worst} tokens of this request");
            return Some(Err(Refusal::new(ErrorKind::BudgetExhausted, detail)));
        }
        if state.wallet.draw_due(budget, RETRY_DRAW, now) {
            let need = missing.max(state.lacking(budget));
            if let Some(op) = state.wallet.start_draw(budget, need) {
                self.send(Command::Draw(op));
            }
        }
        None
    }

    fn unreachable(&self, budget: &BudgetId, worst: Tokens) -> Refusal {
        let detail = format!("{worst} tokens of {budget} could not be reserved in time");
        Refusal::new(ErrorKind::BudgetUnreachable, detail)
    }

    fn send(&self, command: Command) {
        // The controller ends only when the process does; then nothing waits for the command.
        self.tx.send(command).ok();
    }
}

/// Ends of reservations.
impl Purse {
    /// Ends a reservation of which `used` is billed.
    pub fn settle(&self, reservation: Reservation, used: Tokens) {
        let now = self.shared.clock.now();
        self.shared
            .update(|state| state.wallet.settle(reservation, used, now));
    }

    /// Ends a reservation of a request that is not billed.
    pub fn release(&self, reservation: Reservation) {
        self.settle(reservation, Tokens::ZERO);
    }

    /// Empties the wallet: this incarnation was fenced.
    pub fn fenced(&self) {
        self.shared.update(|state| state.wallet.fenced());
    }

    /// Looks at or changes the wallet itself, for loans and status; wakes waiting requests.
    pub fn with_wallet<T>(&self, f: impl FnOnce(&mut Wallet) -> T) -> T {
        self.shared.update(|state| f(&mut state.wallet))
    }

    /// Returns the number of requests that wait for tokens.
    pub fn waiting(&self) -> usize {
        self.shared.lock().queues.values().map(VecDeque::len).sum()
    }

    /// Returns the tokens of the own grants that no request has reserved.
    pub fn idle_tokens(&self) -> Tokens {
        let wallet = &self.shared.lock().wallet;
        let budgets = wallet.budgets();
        budgets.iter().map(|budget| wallet.own_free(budget)).sum()
    }

    /// Returns the last known record of a budget.
    pub fn known(&self, budget: &BudgetId) -> Option<Known> {
        self.shared.lock().known.get(budget).copied()
    }
}

/// Orders to the controller.
impl Purse {
    /// Applies an operation; waits as long as the platform is out.
    ///
    /// # Errors
    /// The shard's refusal, or `None` if the controller has ended.
    pub async fn apply(&self, op: Op) -> Result<Applied, Option<OpError>> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Apply(op, tx));
        match rx.await {
            Ok(result) => result.map_err(Some),
            Err(_) => Err(None),
        }
    }

    /// Bills the sums of one segment, by grant. Segments of one writer have to be given in the
    /// order of their sequences; waits as long as the platform is out.
    ///
    /// # Errors
    /// The refusals by grant, with `None` if the controller has ended; the other sums are billed
    /// all the same.
    pub async fn settle_segment(
        &self,
        writer: &Incarnation,
        sequence: u64,
        sums: Vec<(GrantId, Tokens)>,
    ) -> Result<(), Vec<(GrantId, Option<OpError>)>> {
        let settles = sums.into_iter().map(|(grant, spent)| async move {
            let op = Op::Settle {
                grant: grant.clone(),
                writer: writer.clone(),
                sequence,
                spent,
            };
            self.apply(op).await.map_err(|error| (grant, error))
        });
        let results = futures::future::join_all(settles).await;
        let refused: Vec<_> = results.into_iter().filter_map(Result::err).collect();
        match refused.is_empty() {
            true => Ok(()),
            false => Err(refused),
        }
    }

    /// Reads the record of a budget again.
    pub fn refresh(&self, budget: &BudgetId) {
        self.send(Command::Refresh(budget.clone()));
    }

    /// Returns free tokens of the own grant to the shard.
    pub fn give_back(&self, budget: &BudgetId, tokens: Tokens) {
        let op: Option<HolderOp> = self.with_wallet(|wallet| wallet.start_return(budget, tokens));
        if let Some(op) = op {
            self.send(Command::Return(op));
        }
    }

    /// Returns everything that is not reserved, closes empty grants and ends the controller. The
    /// ledger has to be closed and loans repaid before.
    /// `wait` bounds how long the platform is tried.
    pub async fn close(&self, wait: Millis) -> CloseReport {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Close(wait, tx));
        rx.await.unwrap_or_default()
    }
}
