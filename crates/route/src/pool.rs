//! Concurrency limits: one pool for each route class, fair among client accounts.

mod queue;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_proto::sidecar::RouteClass;
use cyc_types::{ClientAccountId, Clock, ErrorKind, Millis, Refusal};
use queue::{Queue, Waiter};
use tokio::sync::oneshot;

/// Lower bound of the retry-after time in a refusal.
const RETRY_AFTER_MIN: Millis = Millis::SECOND;

/// The limits of a pool.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of running requests. Invariant: at least 1.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// A request is refused at once if its estimated wait exceeds its timeout times this factor.
    pub refuse_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 64,
            queue_limit: 1_024,
            refuse_factor: 2.0,
        }
    }
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    queue: Mutex<Queue>,
}

impl Inner {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dequeue(&self) -> Option<Waiter> {
        self.queue().dequeue()
    }

    /// Grants free slots to queued requests. The caller must not hold the lock, because dropping a
    /// permit acquires it.
    fn grant_free_slots(self: &Arc<Self>) {
        while let Some(waiter) = self.dequeue() {
            let permit = Permit {
                pool: self.clone(),
                account: waiter.account,
                acquired_at: self.clock.now(),
            };
            // If the caller was cancelled, this drops the permit, which releases the slot.
            let _ = waiter.tx.send(Ok(permit));
        }
    }
}

/// A limited number of slots with a bounded queue. Clones share the slots.
#[derive(Debug, Clone)]
pub struct Pool(Arc<Inner>);

/// A slot of a pool, released on drop.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<Inner>,
    account: ClientAccountId,
    acquired_at: Millis,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = self.pool.clock.now().saturating_sub(self.acquired_at);
        self.pool.queue().release(&self.account, held);
        self.pool.grant_free_slots();
    }
}

/// Removes a request from the queue on drop, also if its caller is cancelled.
struct QueueGuard<'a> {
    pool: &'a Inner,
    account: &'a ClientAccountId,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.pool.queue().remove(self.account, self.id);
    }
}

impl Pool {
    /// Creates a pool with all slots free.
    pub fn new(options: Options, clock: Clock) -> Self {
        let queue = Mutex::new(Queue::new(options));
        Self(Arc::new(Inner { clock, queue }))
    }

    /// Waits for a slot for at most `timeout`.
    ///
    /// A free slot goes to the account with the fewest running requests relative to its weight.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] or [`ErrorKind::AccountLimited`] with a retry-after time, if the
    /// queue is full or the estimated wait is too long for the timeout;
    /// [`ErrorKind::DeadlineBeforeStart`] if the timeout expired in the queue.
    pub async fn acquire(
        &self,
        account: &ClientAccountId,
        weight: u32,
        timeout: Millis,
    ) -> Result<Permit, Refusal> {
        let (tx, mut rx) = oneshot::channel();
        let waiter = Waiter {
            account: account.clone(),
            tx,
        };
        let (id, evicted) = self.0.queue().push(waiter, weight, timeout)?;
        if let Some((waiter, refusal)) = evicted {
            let _ = waiter.tx.send(Err(refusal));
        }
        let guard = QueueGuard {
            pool: &self.0,
            account,
            id,
        };
        self.0.grant_free_slots();
        let timeout_refusal = || {
            let wait = self.0.queue().estimate_wait(account, weight);
            let refusal = Refusal::new(ErrorKind::DeadlineBeforeStart, "no slot was free in time");
            refusal.with_retry_after(wait.max(RETRY_AFTER_MIN))
        };
        let answer = tokio::time::timeout(timeout.duration(), &mut rx).await;
        drop(guard);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(timeout_refusal()),
        }
    }

    /// Changes the number of slots. Running requests keep theirs, even if more run than there are
    /// slots now.
    pub fn resize(&self, slots: usize) {
        self.0.queue().resize(slots);
        self.0.grant_free_slots();
    }

    /// Returns the numbers of running and of queued requests.
    pub fn counts(&self) -> (usize, usize) {
        self.0.queue().counts()
    }
}

/// The pools of all route classes. They share no slots or queues, so no class can starve another.
#[derive(Debug, Clone)]
pub struct Pools {
    status: Pool,
    booking: Pool,
    drafting: Pool,
}

impl Pools {
    /// Creates the pools; `options` gives the limits of each.
    pub fn new(options: impl Fn(RouteClass) -> Options, clock: &Clock) -> Self {
        let pool = |class| Pool::new(options(class), clock.clone());
        Self {
            status: pool(RouteClass::Status),
            booking: pool(RouteClass::Booking),
            drafting: pool(RouteClass::Drafting),
        }
    }

    /// Returns the pool of a route class.
    pub fn of(&self, class: RouteClass) -> &Pool {
        match class {
            RouteClass::Status => &self.status,
            RouteClass::Booking => &self.booking,
            RouteClass::Drafting => &self.drafting,
        }
    }
}
