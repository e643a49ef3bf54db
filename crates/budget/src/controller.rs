//! The controller that moves tokens between the wallet and the shards.
//!
//! All pending operations of a shard are applied in one compare-and-swap write. An operation whose
//! answer was lost stays in the queue; the next read of the shard shows whether it took effect.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyc_store::{Error, Platform, Precondition};
use cyc_types::{BudgetId, Clock, Incarnation, Millis, Tokens};
use futures::future::join_all;
use rand::RngExt as _;
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::{
    batch::{self, Outcome, Pending},
    close::CloseReport,
    op::{Applied, Op, OpError},
    policy,
    shard::{SHARDS, shard_of},
    wallet::HolderOp,
    wallet_handle::{Shared, WalletHandle},
};

/// Upper bound of the delay before a retry while a request waits for its result.
const MAX_EXPEDITED_RETRY_DELAY: Millis = Millis::new(200);

/// Settings of the controller.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of shards; must be the same in all processes.
    pub shards: u32,
    /// Policy that sizes draws and returns.
    pub draws: policy::Options,
    /// Upper bound of the backoff before the first retry.
    pub first_backoff: Millis,
    /// Upper bound of the backoff before any retry.
    pub max_backoff: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shards: SHARDS,
            draws: policy::Options::default(),
            first_backoff: Millis::new(20),
            max_backoff: Millis::new(2_000),
        }
    }
}

/// Totals of a budget as of the last read of its record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecordSummary {
    /// Tokens paid for.
    pub paid: Tokens,
    /// Tokens billed.
    pub settled: Tokens,
    /// Tokens that can be drawn.
    pub free: Tokens,
    /// Tokens in the grants of other holders.
    pub held_by_others: Tokens,
    /// Start of the read, by the clock of this process.
    pub read_at: Millis,
    /// Number of the read; reads are numbered from 1 within this process.
    pub(crate) read_number: u64,
}

pub(crate) type Reply = oneshot::Sender<Result<Applied, OpError>>;

/// A command to the controller.
#[derive(Debug)]
pub(crate) enum Command {
    Draw(HolderOp),
    Return(HolderOp),
    Apply(Op, Reply),
    Refresh(BudgetId),
    /// A request waits for tokens of the budget: shortens the backoff of the pending operations.
    ExpediteRetry(BudgetId),
    Close(Millis, oneshot::Sender<CloseReport>),
}

/// Pending operations of one shard.
#[derive(Debug, Default)]
struct Queue {
    /// In order of arrival.
    pending: Vec<Pending>,
    failures: u32,
    retry_at: Option<Instant>,
    /// Time of the retry if a request waits for it and `retry_at` is later.
    expedited_retry_at: Option<Instant>,
}

/// The controller of one entry incarnation. Exactly one task of the process runs it.
pub struct BudgetController {
    platform: Arc<dyn Platform>,
    pub(crate) shared: Arc<Shared>,
    rx: mpsc::UnboundedReceiver<Command>,
    options: Options,
    queues: BTreeMap<u32, Queue>,
    close_request: Option<CloseRequest>,
}

/// A received [`Command::Close`].
type CloseRequest = (Millis, oneshot::Sender<CloseReport>);

impl BudgetController {
    /// Creates the controller of the entry incarnation `holder` and the handle that requests use.
    pub fn new(
        platform: Arc<dyn Platform>,
        holder: Incarnation,
        clock: Clock,
        options: Options,
    ) -> (WalletHandle, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(holder, clock, options.draws));
        let controller = Self {
            platform,
            shared: shared.clone(),
            rx,
            options,
            queues: BTreeMap::new(),
            close_request: None,
        };
        (WalletHandle::new(shared, tx), controller)
    }

    /// Runs until [`WalletHandle::close`] or until all handles are dropped.
    pub async fn run(mut self) {
        let idle = self
            .options
            .draws
            .idle
            .duration()
            .max(Duration::from_millis(1));
        let mut tick = tokio::time::interval(idle);
        loop {
            self.receive_commands();
            if let Some((timeout, tx)) = self.close_request.take() {
                // The send fails if the caller was cancelled; then the report is not needed.
                tx.send(self.close(timeout).await).ok();
                return;
            }
            self.attempt_due().await;
            let retry = self.next_retry();
            tokio::select! {
                command = self.rx.recv() => match command {
                    None => return,
                    Some(command) => self.accept(command),
                },
                _ = tick.tick() => self.return_surplus(),
                () = sleep_until(retry) => {}
            }
        }
    }

    pub(crate) fn receive_commands(&mut self) {
        while let Ok(command) = self.rx.try_recv() {
            self.accept(command);
        }
    }

    fn accept(&mut self, command: Command) {
        let pending = match command {
            Command::Draw(op) => Pending::Draw(op),
            Command::Return(op) => Pending::Return(op),
            Command::Apply(op, reply) => Pending::Apply(op, Some(reply)),
            Command::Refresh(budget) => Pending::Read(budget),
            Command::ExpediteRetry(budget) => {
                let shard = shard_of(&budget, self.options.shards);
                if let Some(queue) = self.queues.get_mut(&shard) {
                    queue.expedite_retry();
                }
                return;
            }
            Command::Close(timeout, tx) => {
                self.close_request = Some((timeout, tx));
                return;
            }
        };
        self.enqueue(pending);
    }

    pub(crate) fn enqueue(&mut self, pending: Pending) {
        let shard = shard_of(pending.budget(), self.options.shards);
        let queue = self.queues.entry(shard).or_default();
        // A budget has at most one queued read, or reads would pile up while the platform is down.
        let is_queued = |read: &BudgetId| {
            let mut queued = queue.pending.iter();
            queued.any(|queued| matches!(queued, Pending::Read(budget) if budget == read))
        };
        if !matches!(&pending, Pending::Read(budget) if is_queued(budget)) {
            queue.pending.push(pending);
        }
    }

    pub(crate) fn next_retry(&self) -> Option<Instant> {
        self.queues
            .values()
            .filter_map(|queue| queue.retry_at)
            .min()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Attempts the pending operations of all shards that are not backing off.
    pub(crate) async fn attempt_due(&mut self) {
        let now = Instant::now();
        let (platform, shared) = (&self.platform, &self.shared);
        let due = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| queue.retry_at.is_none_or(|at| at <= now))
            .map(|(shard, queue)| async {
                let result = batch::attempt(&**platform, shared, *shard, &queue.pending).await;
                (queue, result)
            });
        for (queue, result) in join_all(due).await {
            match result {
                Ok(outcome) => finish(shared, queue, outcome),
                Err(error) => {
                    if error == Error::Conflict {
                        shared.lock().unanswered_since = None;
                    }
                    back_off(queue, &self.options, &error);
                    let mut budgets = queue.pending.iter().map(Pending::budget);
                    if budgets.any(|budget| shared.lock().has_waiters(budget)) {
                        queue.expedite_retry();
                    }
                }
            }
        }
        self.queues.retain(|_, queue| !queue.pending.is_empty());
    }

    /// Starts returns of unused tokens, and refreshes the summaries of the budgets of which the
    /// own grant has free tokens.
    fn return_surplus(&mut self) {
        let draws = &self.options.draws;
        let now = self.shared.clock.now();
        let ops: Vec<HolderOp> = self.shared.update(|state| {
            let mut ops = Vec::new();
            for budget in state.wallet.budgets() {
                let last_known_free = state.last_known_free(&budget);
                let wallet = &mut state.wallet;
                let free = wallet.own_free(&budget);
                let retained = draws.retained(wallet.rate(&budget, now), last_known_free);
                let surplus = match wallet.is_idle(&budget, draws.idle, now) {
                    true => free,
                    false
                        if wallet.had_no_shortfall(&budget, draws.idle, now)
                            && !retained.is_zero() =>
                    {
                        free.saturating_sub(retained + retained)
                    }
                    false => Tokens::ZERO,
                };
                ops.extend(wallet.start_return(&budget, surplus));
            }
            ops
        });
        for op in ops {
            self.enqueue(Pending::Return(op));
        }
        let held = self.shared.lock().budgets_with_free_tokens();
        for budget in held {
            self.enqueue(Pending::Read(budget));
        }
    }
}

fn finish(shared: &Shared, queue: &mut Queue, outcome: Outcome) {
    queue.failures = 0;
    queue.retry_at = None;
    queue.expedited_retry_at = None;
    let pending = std::mem::take(&mut queue.pending);
    let now = shared.clock.now();
    shared.update(|state| {
        state.unanswered_since = None;
        state.summaries.extend(outcome.summaries);
        for (pending, result) in pending.into_iter().zip(outcome.results) {
            match (pending, result) {
                (Pending::Draw(_) | Pending::Return(_), Err(OpError::Closed(_))) => {
                    state.wallet.fence();
                }
                (Pending::Draw(op), result) => {
                    let moved = result.map_or(Tokens::ZERO, Applied::tokens);
                    state.wallet.finish_draw(&op, moved, now);
                }
                (Pending::Return(op), _) => state.wallet.finish_return(&op),
                (Pending::Apply(_, Some(reply)), result) => {
                    // The send fails if the caller was cancelled; the operation stands.
                    reply.send(result).ok();
                }
                (Pending::Apply(_, None) | Pending::Read(_), _) => {}
            }
        }
    });
}

/// Schedules the next attempt with exponential backoff and full jitter; a conflict resets
/// the bound.
fn back_off(queue: &mut Queue, options: &Options, error: &Error) {
    queue.failures = match error {
        Error::Conflict => queue.failures.min(1),
        _ => queue.failures.saturating_add(1),
    };
    let factor = 1_u64 << queue.failures.saturating_sub(1).min(16);
    let bound = options.first_backoff.get().saturating_mul(factor);
    let bound = bound.min(options.max_backoff.get());
    let delay = rand::rng().random_range(0..=bound);
    let now = Instant::now();
    queue.retry_at = Some(now + Duration::from_millis(delay));
    let delay = MAX_EXPEDITED_RETRY_DELAY.get();
    let delay = rand::rng().random_range(delay / 2..=delay);
    queue.expedited_retry_at = Some(now + Duration::from_millis(delay));
}

impl Queue {
    /// Moves the retry to an earlier time, since a waiting request could time out before it.
    fn expedite_retry(&mut self) {
        let earlier = self.retry_at.min(self.expedited_retry_at);
        self.retry_at = earlier.or(self.retry_at);
    }
}

pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// The write condition under which the object is still as it was read.
pub(crate) fn overwrite_condition(object: Option<&cyc_store::Object>) -> Precondition {
    object.map_or(Precondition::Absent, |object| {
        Precondition::Version(object.version)
    })
}
