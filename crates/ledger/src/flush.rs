//! Writes receipts to segments, settles them, and then lets the sidecars drop them.
//!
//! [`Ledger`] takes the receipts of the process; [`Flusher`] writes them in the background.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cyc_budget::WalletHandle;
use cyc_proto::{GrantId, Receipt};
use cyc_store::{Body, Error, ObjectKey, Platform, Precondition};
use cyc_types::{BudgetId, Clock, ErrorKind, Incarnation, Millis, RequestId, Tokens};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};

use crate::{
    level::{Levels, Series},
    segment::{RefusalCount, Segment},
};

/// The settings of [`Flusher`] and [`Ledger`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Interval between two flushes.
    pub flush_interval: Millis,
    /// How long a billed request id is kept, so that a retry is not billed again.
    pub retry_window: Millis,
    /// [`Ledger::has_room`] returns false once this many receipts are unflushed or unsettled.
    pub max_backlog: usize,
    /// Delay between two attempts to write a segment while the platform is unavailable.
    pub retry_delay: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            flush_interval: Millis::new(200),
            retry_window: Millis::new(600_000),
            max_backlog: 200_000,
            retry_delay: Millis::new(250),
        }
    }
}

/// Result of [`Ledger::bill`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Billed {
    /// The receipt was accepted and will be billed.
    Accepted,
    /// The request is already billed; this receipt is ignored.
    Duplicate,
    /// Another entry incarnation has to bill the receipt.
    OtherEntry,
}

/// The backlog of the ledger at this entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Receipts that are not in a segment yet.
    pub unflushed: u64,
    /// Receipts in the segment that is being written or settled.
    pub unsettled: u64,
    /// Tokens that a budget shard refused to settle, by grant. Empty unless there was a fault.
    pub refused: BTreeMap<GrantId, Tokens>,
    /// True if another process wrote a segment in the name of this incarnation.
    pub fenced: bool,
}

/// A cloneable handle through which the process bills and counts requests.
#[derive(Debug, Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    wake: Notify,
    incarnation: Incarnation,
    clock: Clock,
    options: Options,
    released: mpsc::UnboundedSender<Vec<RequestId>>,
}

#[derive(Debug, Default)]
struct State {
    receipts: Vec<Receipt>,
    refusals: BTreeMap<(BudgetId, ErrorKind, bool), (u64, Tokens)>,
    levels: Levels,
    billed: BTreeMap<RequestId, BilledRequest>,
    status: Status,
    closing: Option<oneshot::Sender<()>>,
}

impl State {
    /// Returns true if there is anything to write to a segment.
    fn has_unflushed(&self) -> bool {
        !self.receipts.is_empty() || !self.refusals.is_empty() || !self.levels.is_empty()
    }
}

/// A billed request, kept to detect duplicates.
#[derive(Debug)]
struct BilledRequest {
    at: Millis,
    /// True if the receipt is settled, so that sidecars may drop it.
    released: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, requests: Vec<RequestId>) {
        // If the receiver is closed, the sidecars keep their receipts, which is safe.
        self.released.send(requests).ok();
    }
}

impl Ledger {
    /// Accepts a receipt for billing, once for each request id within the retry window.
    pub fn bill(&self, receipt: Receipt) -> Billed {
        if receipt.entry != self.shared.incarnation {
            return Billed::OtherEntry;
        }
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if let Some(billed) = state.billed.get(&receipt.request) {
            // A second sidecar may hold a receipt of the same request.
            if billed.released {
                self.shared.release(vec![receipt.request]);
            }
            return Billed::Duplicate;
        }
        let billed = BilledRequest {
            at: now,
            released: false,
        };
        state.billed.insert(receipt.request, billed);
        state.receipts.push(receipt);
        state.status.unflushed += 1;
        Billed::Accepted
    }

    /// Counts a refused request, which could have used at most `worst_case` tokens.
    /// `money_remained` is true if the budget could have paid.
    pub fn record_refusal(
        &self,
        budget: &BudgetId,
        kind: ErrorKind,
        worst_case: Tokens,
        money_remained: bool,
    ) {
        let mut state = self.shared.lock();
        let key = (budget.clone(), kind, money_remained);
        let (requests, tokens) = state.refusals.entry(key).or_default();
        *requests += 1;
        *tokens += worst_case;
    }

    /// Counts a request by service level. `latency` is `None` if it was not answered.
    pub fn record_request(&self, series: Series, good: bool, latency: Option<Millis>) {
        let now = self.shared.clock.wall_time();
        let mut state = self.shared.lock();
        state.levels.add(now, series, good, latency);
    }

    /// Returns false while the backlog is full, see [`Options::max_backlog`]. The entry should then
    /// refuse new requests; receipts of running requests are still accepted.
    pub fn has_room(&self) -> bool {
        let status = &self.shared.lock().status;
        status.unflushed + status.unsettled < self.shared.options.max_backlog as u64
    }

    /// Returns a snapshot of the backlog.
    pub fn status(&self) -> Status {
        self.shared.lock().status.clone()
    }

    /// Flushes and settles everything, then stops the controller. Returns the backlog that is left
    /// when that is done or after `timeout`.
    pub async fn close(&self, timeout: Millis) -> Status {
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.shared.lock();
            // A fenced controller has stopped and writes nothing more.
            if state.status.fenced {
                return state.status.clone();
            }
            state.closing = Some(tx);
        }
        self.shared.wake.notify_one();
        // After a time-out the status shows what is left.
        tokio::time::timeout(timeout.duration(), rx).await.ok();
        self.status()
    }
}

/// The controller that flushes the receipts. Each process runs one.
pub struct Flusher {
    platform: Arc<dyn Platform>,
    wallet: WalletHandle,
    shared: Arc<Shared>,
    sequence: u64,
}

/// Another process wrote a segment in the name of this incarnation, so it was fenced.
struct Fenced;

impl Flusher {
    /// Creates the controller of an incarnation, the handle for billing, and a channel of the
    /// requests whose receipts the sidecars may drop.
    pub fn new(
        platform: Arc<dyn Platform>,
        wallet: WalletHandle,
        incarnation: Incarnation,
        clock: Clock,
        options: Options,
    ) -> (Ledger, Self, mpsc::UnboundedReceiver<Vec<RequestId>>) {
        let (released, rx) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            wake: Notify::new(),
            incarnation,
            clock,
            options,
            released,
        });
        let ledger = Ledger {
            shared: shared.clone(),
        };
        let flusher = Self {
            platform,
            wallet,
            shared,
            sequence: 0,
        };
        (ledger, flusher, rx)
    }

    /// Flushes at the configured interval until [`Ledger::close`] or until the incarnation is
    /// fenced.
    pub async fn run(mut self) {
        let mut next = Instant::now();
        loop {
            next += self
                .shared
                .options
                .flush_interval
                .duration()
                .max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.shared.wake.notified() => {}
            }
            let closing = self.shared.lock().closing.take();
            if self.flush_all(closing.is_some()).await.is_err() {
                {
                    let mut state = self.shared.lock();
                    state.status.fenced = true;
                    state.closing = None;
                }
                self.wallet.fence();
                return;
            }
            if let Some(tx) = closing {
                // The caller may have stopped waiting.
                tx.send(()).ok();
                return;
            }
            next = next.max(Instant::now());
        }
    }

    /// Writes the backlog, one segment after the other. Receipts that arrive during the last
    /// segment wait for the next flush, so that a busy entry does not write without a pause; if the
    /// controller is `closing`, they are written too.
    async fn flush_all(&mut self, closing: bool) -> Result<(), Fenced> {
        loop {
            let (segment, has_more) = self.next_segment();
            if segment.is_empty() {
                return Ok(());
            }
            self.sequence = segment.sequence;
            self.write(&segment).await?;
            self.settle(&segment).await;
            if !has_more && !closing {
                return Ok(());
            }
        }
    }

    /// Moves as much of the backlog as fits into a segment; true if some of it did not fit.
    fn next_segment(&self) -> (Segment, bool) {
        let now = self.shared.clock.now();
        let wall = self.shared.clock.wall_time();
        let mut segment = Segment::new(self.shared.incarnation.clone(), self.sequence + 1, wall);
        let mut state = self.shared.lock();
        let window = self.shared.options.retry_window;
        state
            .billed
            .retain(|_, billed| !billed.released || now.saturating_sub(billed.at) <= window);
        let mut refusals = take_refusals(&mut state);
        segment.fill(&mut state.receipts, &mut refusals);
        restore_refusals(&mut state, refusals);
        let mut levels = state.levels.take();
        segment.fill_levels(&mut levels);
        state.levels.restore(levels);
        let count = segment.receipts.len() as u64;
        state.status.unflushed = state.status.unflushed.saturating_sub(count);
        state.status.unsettled += count;
        let has_more = state.has_unflushed();
        (segment, has_more)
    }

    /// Creates the object of a segment, retrying until the platform confirms it.
    async fn write(&self, segment: &Segment) -> Result<(), Fenced> {
        let Ok(body) = segment.encode() else {
            return Err(Fenced);
        };
        let key = segment.key();
        loop {
            match self
                .platform
                .put(&key, body.clone(), Precondition::Absent)
                .await
            {
                Ok(_) => return Ok(()),
                Err(Error::Conflict) => {
                    if let Some(is_own) = self.is_own_write(&key, &body).await {
                        return if is_own { Ok(()) } else { Err(Fenced) };
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(self.shared.options.retry_delay.duration()).await;
        }
    }

    /// Returns whether the stored object is our own write, whose answer was lost; `None` if the
    /// object cannot be read.
    async fn is_own_write(&self, key: &ObjectKey, body: &Body) -> Option<bool> {
        let object = self.platform.get(key).await.ok()??;
        Some(object.body == *body)
    }

    async fn settle(&self, segment: &Segment) {
        let sums = segment.sums().into_iter().collect();
        let result = self
            .wallet
            .settle_segment(&segment.writer, segment.sequence, sums)
            .await;
        let mut state = self.shared.lock();
        state.status.unsettled = 0;
        for (grant, _) in result.err().into_iter().flatten() {
            let sum = segment.sums().get(&grant).copied().unwrap_or_default();
            *state.status.refused.entry(grant).or_default() += sum;
        }
        let requests: Vec<RequestId> = segment.receipts.iter().map(|r| r.request).collect();
        for request in &requests {
            if let Some(billed) = state.billed.get_mut(request) {
                billed.released = true;
            }
        }
        drop(state);
        if !requests.is_empty() {
            self.shared.release(requests);
        }
    }
}

fn take_refusals(state: &mut State) -> Vec<RefusalCount> {
    let counts = std::mem::take(&mut state.refusals).into_iter();
    counts
        .map(
            |((budget, kind, money_remained), (requests, tokens))| RefusalCount {
                budget,
                kind,
                money_remained,
                requests,
                tokens,
            },
        )
        .collect()
}

fn restore_refusals(state: &mut State, refusals: Vec<RefusalCount>) {
    for count in refusals {
        let key = (count.budget, count.kind, count.money_remained);
        state.refusals.insert(key, (count.requests, count.tokens));
    }
}
