//! The shared handle of a wallet, through which requests wait for tokens until their deadline.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Clock, ErrorKind, Incarnation, Millis, Refusal, Tokens};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    close::CloseReport,
    controller::{Command, RecordSummary},
    op::{Applied, Op, OpError},
    policy,
    shortfall::Shortfall,
    wallet::{HolderOp, Reservation, ReserveOutcome, Wallet},
};

/// Upper bound of the later requests that are served before a waiting one, so that small requests
/// do not starve a large one.
const MAX_OVERTAKES: u32 = 8;
/// Interval at which a waiting request tries again; also the pause after a draw that moved no
/// tokens.
const DRAW_RETRY_INTERVAL: Millis = Millis::new(100);
/// A wallet is refilled below 1/`REFILL_DIVISOR` of the tokens that it may retain.
const REFILL_DIVISOR: u64 = 4;

/// Handle of the wallet that requests and the controller share.
#[derive(Debug, Clone)]
pub struct WalletHandle {
    pub(crate) shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<Command>,
}

/// State shared by the handles and the controller.
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
    pub(crate) summaries: BTreeMap<BudgetId, RecordSummary>,
    /// Number of the last read of a shard that was started, or 0.
    pub(crate) last_read_number: u64,
    /// Start of the earliest call to the platform since its last answer, if one is unanswered.
    pub(crate) unanswered_since: Option<Millis>,
    queues: BTreeMap<BudgetId, VecDeque<Waiter>>,
    next_ticket: u64,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    worst_case: Tokens,
    overtakes: u32,
}

/// A place in the queue of a budget, left on drop.
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
    pub(crate) fn new(holder: Incarnation, clock: Clock, draws: policy::Options) -> Self {
        let state = State {
            wallet: Wallet::new(holder),
            summaries: BTreeMap::new(),
            last_read_number: 0,
            unanswered_since: None,
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

    /// Changes the state and wakes the waiting requests.
    pub(crate) fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let result = f(&mut self.lock());
        self.changed.notify_waiters();
        result
    }

    fn enqueue<'a>(&'a self, budget: &'a BudgetId, worst_case: Tokens) -> Ticket<'a> {
        let mut state = self.lock();
        state.next_ticket += 1;
        let number = state.next_ticket;
        let queue = state.queues.entry(budget.clone()).or_default();
        queue.push_back(Waiter {
            ticket: number,
            worst_case,
            overtakes: 0,
        });
        Ticket {
            shared: self,
            budget,
            number,
        }
    }
}

/// Decision on a request that the wallet cannot cover.
enum ShortfallDecision {
    Wait,
    Exhausted,
}

impl State {
    /// Reserves for a waiter unless an earlier one has been overtaken [`MAX_OVERTAKES`] times. The
    /// error holds the missing tokens.
    fn try_reserve(
        &mut self,
        ticket: &Ticket<'_>,
        worst_case: Tokens,
        now: Millis,
    ) -> Result<Reservation, Tokens> {
        let earlier = |waiter: &&mut Waiter| waiter.ticket < ticket.number;
        let queue = self.queues.entry(ticket.budget.clone()).or_default();
        let must_yield = queue
            .iter_mut()
            .take_while(earlier)
            .any(|waiter| waiter.overtakes >= MAX_OVERTAKES);
        if must_yield {
            return Err(worst_case);
        }
        match self.wallet.reserve(ticket.budget, worst_case, now) {
            ReserveOutcome::Short { missing } => Err(missing),
            ReserveOutcome::Granted(reservation) => {
                for waiter in queue.iter_mut().take_while(earlier) {
                    waiter.overtakes += 1;
                }
                Ok(reservation)
            }
        }
    }

    /// Decides whether a request waits, by a record that was read after the request arrived, since
    /// an earlier read could miss a top-up.
    fn decide_on_shortfall(
        &self,
        budget: &BudgetId,
        worst_case: Tokens,
        last_read_before: u64,
    ) -> ShortfallDecision {
        let Some(summary) = self
            .summaries
            .get(budget)
            .filter(|summary| summary.read_number > last_read_before)
        else {
            return ShortfallDecision::Wait;
        };
        let holding = self.wallet.holding(budget);
        let reachable = summary.free
            + holding.largest_grant
            + holding.returning
            + holding.lent
            + summary.held_by_others;
        match reachable < worst_case {
            true => ShortfallDecision::Exhausted,
            false => ShortfallDecision::Wait,
        }
    }

    /// The shortfalls of waiting requests by budget.
    pub(crate) fn shortfalls(&self) -> Vec<Shortfall> {
        let shortfall = |(budget, queue): (&BudgetId, &VecDeque<Waiter>)| {
            let smallest_request = queue.iter().map(|waiter| waiter.worst_case).min()?;
            Some(Shortfall {
                budget: budget.clone(),
                smallest_request,
                total: queue.iter().map(|waiter| waiter.worst_case).sum(),
            })
        };
        self.queues.iter().filter_map(shortfall).collect()
    }

    /// True if requests wait for tokens of a budget.
    pub(crate) fn has_waiters(&self, budget: &BudgetId) -> bool {
        self.queues
            .get(budget)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Tokens that all waiting requests need beyond the free tokens of the own grant.
    fn missing_tokens(&self, budget: &BudgetId) -> Tokens {
        let queue = self.queues.get(budget).into_iter().flatten();
        let needed: Tokens = queue.map(|waiter| waiter.worst_case).sum();
        needed.saturating_sub(self.wallet.own_free(budget))
    }

    /// Budgets with free tokens in the own grant.
    pub(crate) fn budgets_with_free_tokens(&self) -> Vec<BudgetId> {
        let mut budgets = self.wallet.budgets();
        budgets.retain(|budget| !self.wallet.own_free(budget).is_zero());
        budgets
    }

    /// Free tokens in the shard at its last read.
    pub(crate) fn last_known_free(&self, budget: &BudgetId) -> Tokens {
        let summary = self.summaries.get(budget);
        summary.map_or(Tokens::ZERO, |summary| summary.free)
    }

    /// Starts a draw if few free tokens are left for the rate of use, before requests lack them.
    fn start_refill(
        &mut self,
        shared: &Shared,
        budget: &BudgetId,
        now: Millis,
    ) -> Option<HolderOp> {
        let rate = self.wallet.rate(budget, now);
        let threshold = shared
            .draws
            .retained(rate, self.last_known_free(budget))
            .get()
            / REFILL_DIVISOR;
        let is_low = self.wallet.own_free(budget).get() < threshold;
        let due = is_low && self.wallet.draw_due(budget, shared.draws.idle, now);
        due.then(|| self.wallet.start_draw(budget, Tokens::new(1)))
            .flatten()
    }
}

impl WalletHandle {
    pub(crate) fn new(shared: Arc<Shared>, tx: mpsc::UnboundedSender<Command>) -> Self {
        Self { shared, tx }
    }

    /// Reserves the worst case of a request. Waits at most `timeout` for other reservations to end
    /// or for a draw to complete.
    ///
    /// # Errors
    /// [`ErrorKind::BudgetExhausted`] if the record, read after the request arrived, shows that
    /// the budget cannot cover the request; [`ErrorKind::BudgetUnreachable`] if tokens may be left
    /// but could not be reserved in time; [`ErrorKind::Fenced`] if this incarnation was fenced.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        worst_case: Tokens,
        timeout: Millis,
    ) -> Result<Reservation, Refusal> {
        let ticket = self.shared.enqueue(budget, worst_case);
        let last_read_before = self.shared.lock().last_read_number;
        let deadline = tokio::time::sleep(timeout.duration());
        let mut is_first = true;
        tokio::pin!(deadline);
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(result) = self.attempt(&ticket, worst_case, last_read_before) {
                return result;
            }
            if std::mem::take(&mut is_first) {
                self.send(Command::ExpediteRetry(budget.clone()));
            }
            tokio::select! {
                () = &mut changed => {}
                () = tokio::time::sleep(DRAW_RETRY_INTERVAL.duration()) => {}
                () = &mut deadline => return Err(self.unreachable_refusal(budget, worst_case)),
            }
        }
    }

    fn attempt(
        &self,
        ticket: &Ticket<'_>,
        worst_case: Tokens,
        last_read_before: u64,
    ) -> Option<Result<Reservation, Refusal>> {
        let budget = ticket.budget;
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if state.wallet.is_fenced() {
            let refusal = Refusal::new(ErrorKind::Fenced, "this entry was replaced");
            return Some(Err(refusal));
        }
        let missing = match state.try_reserve(ticket, worst_case, now) {
            Ok(reservation) => {
                if let Some(op) = state.start_refill(&self.shared, budget, now) {
                    self.send(Command::Draw(op));
                }
                return Some(Ok(reservation));
            }
            Err(missing) => missing,
        };
        if let ShortfallDecision::Exhausted =
            state.decide_on_shortfall(budget, worst_case, last_read_before)
        {
            let detail = format!("{budget} has fewer than the {worst_case} tokens of this request");
            return Some(Err(Refusal::new(ErrorKind::BudgetExhausted, detail)));
        }
        if state.wallet.draw_due(budget, DRAW_RETRY_INTERVAL, now) {
            let need = missing.max(state.missing_tokens(budget));
            if let Some(op) = state.wallet.start_draw(budget, need) {
                self.send(Command::Draw(op));
            }
        }
        None
    }

    fn unreachable_refusal(&self, budget: &BudgetId, worst_case: Tokens) -> Refusal {
        let detail = format!("{worst_case} tokens of {budget} could not be reserved in time");
        Refusal::new(ErrorKind::BudgetUnreachable, detail)
    }

    fn send(&self, command: Command) {
        // The send fails only if the controller has ended, that is, at shutdown of the process.
        self.tx.send(command).ok();
    }
}

/// Settlement and state.
impl WalletHandle {
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

    /// Empties the wallet once this incarnation is fenced. Nothing can be reserved from then on.
    pub fn fence(&self) {
        self.shared.update(|state| state.wallet.fence());
    }

    /// Gives access to the wallet, for loans and status, and wakes the waiting requests.
    pub fn with_wallet<T>(&self, f: impl FnOnce(&mut Wallet) -> T) -> T {
        self.shared.update(|state| f(&mut state.wallet))
    }

    /// Number of requests that wait for tokens.
    pub fn waiting_requests(&self) -> usize {
        self.shared.lock().queues.values().map(VecDeque::len).sum()
    }

    /// Unreserved tokens of this entry's own grants, over all budgets.
    pub fn idle_tokens(&self) -> Tokens {
        let wallet = &self.shared.lock().wallet;
        let budgets = wallet.budgets();
        budgets.iter().map(|budget| wallet.own_free(budget)).sum()
    }

    /// Totals of a budget as of the last read of its record.
    pub fn record_summary(&self, budget: &BudgetId) -> Option<RecordSummary> {
        self.shared.lock().summaries.get(budget).copied()
    }
}

/// Commands to the controller.
impl WalletHandle {
    /// Applies an operation; waits until the platform is reachable.
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

    /// Bills the sums of one segment, by grant. The caller has to settle the segments of one
    /// writer in the order of their sequences. Waits until the platform is reachable.
    ///
    /// # Errors
    /// The refusals by grant, with `None` if the controller has ended; the other sums are billed
    /// nevertheless.
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

    /// Requests a new read of the record of a budget.
    pub fn refresh(&self, budget: &BudgetId) {
        self.send(Command::Refresh(budget.clone()));
    }

    /// Returns free tokens of the own grant to the shard.
    pub fn return_tokens(&self, budget: &BudgetId, tokens: Tokens) {
        let op: Option<HolderOp> = self.with_wallet(|wallet| wallet.start_return(budget, tokens));
        if let Some(op) = op {
            self.send(Command::Return(op));
        }
    }

    /// Returns all unreserved tokens to the shards, closes empty grants and ends the controller.
    /// The caller has to close the ledger and repay loans first. Stops waiting for the platform
    /// after `timeout`.
    pub async fn close(&self, timeout: Millis) -> CloseReport {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Close(timeout, tx));
        rx.await.unwrap_or_default()
    }
}
