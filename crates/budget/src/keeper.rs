//! The controller that moves tokens between the wallet and the shards.
//!
//! All operations that wait for a shard go into one conditional update. An operation whose answer
//! was lost stays in the queue; the next read of the shard shows whether it took effect.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyc_store::{Error, Expect, Platform};
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
    purse::{Purse, Shared},
    shard::{SHARDS, shard_of},
    wallet::HolderOp,
};

/// The longest wait before a retry that a request waits for.
const HURRIED_RETRY: Millis = Millis::new(200);

/// The settings of the controller.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The number of shards; the same at all processes.
    pub shards: u32,
    /// How draws are sized.
    pub draws: policy::Options,
    /// The longest wait before the first retry.
    pub first_retry: Millis,
    /// The longest wait before any retry.
    pub largest_retry: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shards: SHARDS,
            draws: policy::Options::default(),
            first_retry: Millis::new(20),
            largest_retry: Millis::new(2_000),
        }
    }
}

/// The last known record of a budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    /// What was paid.
    pub paid: Tokens,
    /// What is billed.
    pub settled: Tokens,
    /// What can be drawn.
    pub free: Tokens,
    /// What other holders hold.
    pub others: Tokens,
    /// When the record was read, by the clock of this process.
    pub at: Millis,
    /// Number of the read within this process.
    pub(crate) read: u64,
}

pub(crate) type Reply = oneshot::Sender<Result<Applied, OpError>>;

/// An order to the controller.
#[derive(Debug)]
pub(crate) enum Command {
    Draw(HolderOp),
    Return(HolderOp),
    Apply(Op, Reply),
    Refresh(BudgetId),
    /// A request waits for tokens of the budget: what is pending is tried again soon.
    Hurry(BudgetId),
    Close(Millis, oneshot::Sender<CloseReport>),
}

/// The operations that wait for one shard.
#[derive(Debug, Default)]
struct Queue {
    /// In the order in which they came.
    pending: Vec<Pending>,
    failures: u32,
    retry_at: Option<Instant>,
    /// When the retry may be at the earliest if a request waits for it.
    hurried_at: Option<Instant>,
}

/// The controller. One task of a process runs it.
pub struct Keeper {
    platform: Arc<dyn Platform>,
    pub(crate) shared: Arc<Shared>,
    rx: mpsc::UnboundedReceiver<Command>,
    options: Options,
    queues: BTreeMap<u32, Queue>,
    closing: Option<Closing>,
}

/// An order to close that was received.
type Closing = (Millis, oneshot::Sender<CloseReport>);

impl Keeper {
    /// Creates the controller of an incarnation, and the handle for requests.
    pub fn new(
        platform: Arc<dyn Platform>,
        me: Incarnation,
        clock: Clock,
        options: Options,
    ) -> (Purse, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(me, clock, options.draws));
        let keeper = Self {
            platform,
            shared: shared.clone(),
            rx,
            options,
            queues: BTreeMap::new(),
            closing: None,
        };
        (Purse::new(shared, tx), keeper)
    }

    /// Runs until [`Purse::close`] or until all handles are gone.
    pub async fn run(mut self) {
        let idle = self
            .options
            .draws
            .idle
            .duration()
            .max(Duration::from_millis(1));
        let mut tick = tokio::time::interval(idle);
        loop {
            self.receive_waiting();
            if let Some((wait, tx)) = self.closing.take() {
                // The caller may have gone; then nobody reads the report.
                tx.send(self.close(wait).await).ok();
                return;
            }
            self.attempt_due().await;
            let retry = self.next_retry();
            tokio::select! {
                command = self.rx.recv() => match command {
                    None => return,
                    Some(command) => self.push(command),
                },
                _ = tick.tick() => self.return_surplus(),
                () = sleep_until(retry) => {}
            }
        }
    }

    pub(crate) fn receive_waiting(&mut self) {
        while let Ok(command) = self.rx.try_recv() {
            self.push(command);
        }
    }

    fn push(&mut self, command: Command) {
        let pending = match command {
            Command::Draw(op) => Pending::Draw(op),
            Command::Return(op) => Pending::Return(op),
            Command::Apply(op, reply) => Pending::Apply(op, Some(reply)),
            Command::Refresh(budget) => Pending::Read(budget),
            Command::Hurry(budget) => {
                let shard = shard_of(&budget, self.options.shards);
                if let Some(queue) = self.queues.get_mut(&shard) {
                    queue.hurry();
                }
                return;
            }
            Command::Close(wait, tx) => {
                self.closing = Some((wait, tx));
                return;
            }
        };
        self.enqueue(pending);
    }

    pub(crate) fn enqueue(&mut self, pending: Pending) {
        let shard = shard_of(pending.budget(), self.options.shards);
        let queue = self.queues.entry(shard).or_default();
        // Reads of the same budget would pile up while the platform is out.
        let waits = |read: &BudgetId| {
            let mut queued = queue.pending.iter();
            queued.any(|queued| matches!(queued, Pending::Read(budget) if budget == read))
        };
        if !matches!(&pending, Pending::Read(budget) if waits(budget)) {
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

    /// Tries all shards whose queue is not waiting for a retry.
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
                        shared.lock().asking_since = None;
                    }
                    back_off(queue, &self.options, &error);
                    let mut budgets = queue.pending.iter().map(Pending::budget);
                    if budgets.any(|budget| shared.lock().has_waiters(budget)) {
                        queue.hurry();
                    }
                }
            }
        }
        self.queues.retain(|_, queue| !queue.pending.is_empty());
    }

    /// Starts to return what the entry does not use, and reads again what others left free.
    fn return_surplus(&mut self) {
        let draws = &self.options.draws;
        let now = self.shared.clock.now();
        let ops: Vec<HolderOp> = self.shared.update(|state| {
            let mut ops = Vec::new();
            for budget in state.wallet.budgets() {
                let last_free = state.last_free(&budget);
                let wallet = &mut state.wallet;
                let free = wallet.own_free(&budget);
                let keep = draws.keep(wallet.rate(&budget, now), last_free);
                let surplus = match wallet.is_idle(&budget, draws.idle, now) {
                    true => free,
                    false if wallet.is_plenty(&budget, draws.idle, now) && !keep.is_zero() => {
                        free.saturating_sub(keep + keep)
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
        let held = self.shared.lock().held_budgets();
        for budget in held {
            self.enqueue(Pending::Read(budget));
        }
    }
}

fn finish(shared: &Shared, queue: &mut Queue, outcome: Outcome) {
    queue.failures = 0;
    queue.retry_at = None;
    queue.hurried_at = None;
    let pending = std::mem::take(&mut queue.pending);
    let now = shared.clock.now();
    shared.update(|state| {
        state.asking_since = None;
        state.known.extend(outcome.known);
        for (pending, result) in pending.into_iter().zip(outcome.results) {
            match (pending, result) {
                (Pending::Draw(_) | Pending::Return(_), Err(OpError::Closed(_))) => {
                    state.wallet.fenced();
                }
                (Pending::Draw(op), result) => {
                    let moved = result.map_or(Tokens::ZERO, Applied::tokens);
                    state.wallet.finish_draw(&op, moved, now);
                }
                (Pending::Return(op), _) => state.wallet.finish_return(&op),
                (Pending::Apply(_, Some(reply)), result) => {
                    // The caller may have gone; the operation stands all the same.
                    reply.send(result).ok();
                }
                (Pending::Apply(_, None) | Pending::Read(_), _) => {}
            }
        }
    });
}

/// Keeps the operations and waits before the next attempt: full jitter under a doubling bound.
fn back_off(queue: &mut Queue, options: &Options, error: &Error) {
    queue.failures = match error {
        Error::Conflict => queue.failures.min(1),
        _ => queue.failures.saturating_add(1),
    };
    let factor = 1_u64 << queue.failures.saturating_sub(1).min(16);
    let bound = options.first_retry.get().saturating_mul(factor);
    let bound = bound.min(options.largest_retry.get());
    let wait = rand::rng().random_range(0..=bound);
    let now = Instant::now();
    queue.retry_at = Some(now + Duration::from_millis(wait));
    let hurried = HURRIED_RETRY.get();
    let hurried = rand::rng().random_range(hurried / 2..=hurried);
    queue.hurried_at = Some(now + Duration::from_millis(hurried));
}

impl Queue {
    /// Moves the retry forward, for a request that would give up before it.
    fn hurry(&mut self) {
        let earlier = self.retry_at.min(self.hurried_at);
        self.retry_at = earlier.or(self.retry_at);
    }
}

pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns the condition for writing over an object as it was read.
pub(crate) fn expect_of(object: Option<&cyc_store::Object>) -> Expect {
    object.map_or(Expect::Absent, |object| Expect::Version(object.version))
}
