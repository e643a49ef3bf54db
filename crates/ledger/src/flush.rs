//! The controller that writes receipts as segments, settles them and releases them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cyc_budget::Purse;
use cyc_proto::{GrantId, Receipt};
use cyc_store::{Body, Error, Expect, ObjectKey, Platform};
use cyc_types::{BudgetId, Clock, ErrorKind, Incarnation, Millis, RequestId, Tokens};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};

use crate::{
    level::{Levels, Series},
    segment::{RefusalCount, Segment},
};

/// The settings of the controller.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time between two segments.
    pub flush: Millis,
    /// How long a request id is remembered, so that it is billed once.
    pub retry_window: Millis,
    /// Receipts that may wait here before [`Ledger::has_room`] says no.
    pub max_unflushed: usize,
    /// Wait between two attempts while the platform is out.
    pub retry: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            flush: Millis::new(200),
            retry_window: Millis::new(600_000),
            max_unflushed: 200_000,
            retry: Millis::new(250),
        }
    }
}

/// What became of a receipt given to [`Ledger::bill`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Billed {
    /// It will be billed.
    Taken,
    /// Its request is billed already; this receipt is not.
    Duplicate,
    /// Another entry incarnation bills it.
    NotOurs,
}

/// The state of the ledger at this entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Receipts that are in no segment yet.
    pub unflushed: u64,
    /// Receipts in a segment that is not settled yet.
    pub unsettled: u64,
    /// Sums that a shard refused to settle, by grant. Not empty only after a fault.
    pub refused: BTreeMap<GrantId, Tokens>,
    /// True if another process writes in the name of this incarnation.
    pub fenced: bool,
}

/// The handle through which requests are billed.
#[derive(Debug, Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    wake: Notify,
    me: Incarnation,
    clock: Clock,
    options: Options,
    released: mpsc::UnboundedSender<Vec<RequestId>>,
}

#[derive(Debug, Default)]
struct State {
    receipts: Vec<Receipt>,
    refusals: BTreeMap<(BudgetId, ErrorKind, bool), (u64, Tokens)>,
    levels: Levels,
    seen: BTreeMap<RequestId, Seen>,
    status: Status,
    closing: Option<oneshot::Sender<()>>,
}

impl State {
    /// Returns true if something waits for a segment.
    fn has_left_over(&self) -> bool {
        !self.receipts.is_empty() || !self.refusals.is_empty() || !self.levels.is_empty()
    }
}

/// A request that is billed.
#[derive(Debug)]
struct Seen {
    at: Millis,
    released: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, requests: Vec<RequestId>) {
        // Without a receiver the sidecars keep their receipts, which is safe.
        self.released.send(requests).ok();
    }
}

impl Ledger {
    /// Takes a receipt, once for each request id within the retry window.
    pub fn bill(&self, receipt: Receipt) -> Billed {
        if receipt.entry != self.shared.me {
            return Billed::NotOurs;
        }
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if let Some(seen) = state.seen.get(&receipt.request) {
            // Another sidecar may keep a receipt of the same request.
            if seen.released {
                self.shared.release(vec![receipt.request]);
            }
            return Billed::Duplicate;
        }
        let seen = Seen {
            at: now,
            released: false,
        };
        state.seen.insert(receipt.request, seen);
        state.receipts.push(receipt);
        state.status.unflushed += 1;
        Billed::Taken
    }

    /// Counts a refused request. `money_remained` is true if the budget could have paid.
    pub fn refuse(&self, budget: &BudgetId, kind: ErrorKind, worst: Tokens, money_remained: bool) {
        let mut state = self.shared.lock();
        let key = (budget.clone(), kind, money_remained);
        let (requests, tokens) = state.refusals.entry(key).or_default();
        *requests += 1;
        *tokens += worst;
    }

    /// Counts a request by service level. One that was not answered has no latency.
    pub fn observe(&self, series: Series, good: bool, latency: Option<Millis>) {
        let now = self.shared.clock.wall();
        let mut state = self.shared.lock();
        state.levels.add(now, series, good, latency);
    }

    /// Returns false while too many receipts wait; then no new request should be taken. Receipts
    /// of requests that run are taken all the same.
    pub fn has_room(&self) -> bool {
        let status = &self.shared.lock().status;
        status.unflushed + status.unsettled < self.shared.options.max_unflushed as u64
    }

    /// Returns what waits here.
    pub fn status(&self) -> Status {
        self.shared.lock().status.clone()
    }

    /// Writes and settles everything, then ends the controller; returns what was left after
    /// `wait`.
    pub async fn close(&self, wait: Millis) -> Status {
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.shared.lock();
            // A fenced controller has ended and writes no more.
            if state.status.fenced {
                return state.status.clone();
            }
            state.closing = Some(tx);
        }
        self.shared.wake.notify_one();
        // What is left after the wait shows in the status.
        tokio::time::timeout(wait.duration(), rx).await.ok();
        self.status()
    }
}

/// The controller. One task of a process runs it.
pub struct Flusher {
    platform: Arc<dyn Platform>,
    purse: Purse,
    shared: Arc<Shared>,
    sequence: u64,
}

/// Another process has written a segment in our name: this incarnation was fenced.
struct Fenced;

impl Flusher {
    /// Creates the controller of an incarnation, the handle for requests, and the channel of the
    /// requests whose receipts the sidecars may drop.
    pub fn new(
        platform: Arc<dyn Platform>,
        purse: Purse,
        me: Incarnation,
        clock: Clock,
        options: Options,
    ) -> (Ledger, Self, mpsc::UnboundedReceiver<Vec<RequestId>>) {
        let (released, rx) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            wake: Notify::new(),
            me,
            clock,
            options,
            released,
        });
        let ledger = Ledger {
            shared: shared.clone(),
        };
        let flusher = Self {
            platform,
            purse,
            shared,
            sequence: 0,
        };
        (ledger, flusher, rx)
    }

    /// Runs until [`Ledger::close`] or until the incarnation is fenced.
    pub async fn run(mut self) {
        let mut next = Instant::now();
        loop {
            next += self
                .shared
                .options
                .flush
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
                self.purse.fenced();
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

    /// Writes what waits, one segment after the other. What comes meanwhile waits for the next
    /// flush, unless the controller is `closing`: else a busy entry would write without a pause.
    async fn flush_all(&mut self, closing: bool) -> Result<(), Fenced> {
        loop {
            let (segment, is_full) = self.next_segment();
            if segment.is_empty() {
                return Ok(());
            }
            self.sequence = segment.sequence;
            self.write(&segment).await?;
            self.settle(&segment).await;
            if !is_full && !closing {
                return Ok(());
            }
        }
    }

    /// Takes what waits into a segment, and tells whether something is left over.
    fn next_segment(&self) -> (Segment, bool) {
        let now = self.shared.clock.now();
        let wall = self.shared.clock.wall();
        let mut segment = Segment::new(self.shared.me.clone(), self.sequence + 1, wall);
        let mut state = self.shared.lock();
        let window = self.shared.options.retry_window;
        state
            .seen
            .retain(|_, seen| !seen.released || now.saturating_sub(seen.at) <= window);
        let mut refusals = take_refusals(&mut state);
        segment.fill(&mut state.receipts, &mut refusals);
        put_back(&mut state, refusals);
        let mut levels = state.levels.take();
        segment.fill_levels(&mut levels);
        state.levels.put_back(levels);
        let count = segment.receipts.len() as u64;
        state.status.unflushed = state.status.unflushed.saturating_sub(count);
        state.status.unsettled += count;
        let is_full = state.has_left_over();
        (segment, is_full)
    }

    /// Writes a segment, create-only, as often as it takes.
    async fn write(&self, segment: &Segment) -> Result<(), Fenced> {
        let Ok(body) = segment.encode() else {
            return Err(Fenced);
        };
        let key = segment.key();
        loop {
            match self.platform.put(&key, body.clone(), Expect::Absent).await {
                Ok(_) => return Ok(()),
                Err(Error::Conflict) => {
                    if let Some(ours) = self.is_ours(&key, &body).await {
                        return if ours { Ok(()) } else { Err(Fenced) };
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(self.shared.options.retry.duration()).await;
        }
    }

    /// Tells our own write, whose answer was lost, from another one's; `None` if not known.
    async fn is_ours(&self, key: &ObjectKey, body: &Body) -> Option<bool> {
        let object = self.platform.get(key).await.ok()??;
        Some(object.body == *body)
    }

    async fn settle(&self, segment: &Segment) {
        let sums = segment.sums().into_iter().collect();
        let result = self
            .purse
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
            if let Some(seen) = state.seen.get_mut(request) {
                seen.released = true;
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

fn put_back(state: &mut State, refusals: Vec<RefusalCount>) {
    for count in refusals {
        let key = (count.budget, count.kind, count.money_remained);
        state.refusals.insert(key, (count.requests, count.tokens));
    }
}
