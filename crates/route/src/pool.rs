//! Concurrency pools: one for each route class, fair among client accounts.

mod queue;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_proto::sidecar::RouteClass;
use cyc_types::{ClientAccountId, Clock, ErrorKind, Millis, Refusal};
use queue::{Queue, Waiter};
use tokio::sync::oneshot;

/// The smallest advice on when to retry.
const RETRY_AFTER_MIN: Millis = Millis::SECOND;

/// The size of a pool.
#[derive(Debug, Clone)]
pub struct Options {
    /// Requests that may run at a time. Invariant: at least 1.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// A request is refused at once if its estimated wait is more than this many deadlines.
    pub refuse_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 64,
            queue: 1_024,
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

    fn take_next(&self) -> Option<Waiter> {
        self.queue().take_next()
    }

    /// Gives free slots to waiting requests. Called without the lock, which a dropped permit takes.
    fn hand_out(self: &Arc<Self>) {
        while let Some(waiter) = self.take_next() {
            let permit = Permit {
                pool: self.clone(),
                account: waiter.account,
                since: self.clock.now(),
            };
            // A caller that has gone drops the permit, which frees the slot again.
            let _ = waiter.tx.send(Ok(permit));
        }
    }
}

/// A bounded number of slots with a bounded queue. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Pool(Arc<Inner>);

/// A slot of a pool, free again when dropped.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<Inner>,
    account: ClientAccountId,
    since: Millis,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = self.pool.clock.now().saturating_sub(self.since);
        self.pool.queue().release(&self.account, held);
        self.pool.hand_out();
    }
}

/// Takes a waiting request out of the queue when its caller goes away.
struct Place<'a> {
    pool: &'a Inner,
    account: &'a ClientAccountId,
    id: u64,
}

impl Drop for Place<'_> {
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

    /// Waits for a slot, at most until `deadline` from now.
    ///
    /// A free slot goes to the account with the fewest running requests for its weight.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] or [`ErrorKind::AccountLimited`] with advice on when to retry, if
    /// the queue is full or too long for the deadline; [`ErrorKind::DeadlineBeforeStart`] if the
    /// deadline passed in the queue.
    pub async fn acquire(
        &self,
        account: &ClientAccountId,
        weight: u32,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let (tx, mut rx) = oneshot::channel();
        let waiter = Waiter {
            account: account.clone(),
            tx,
        };
        let (id, evicted) = self.0.queue().push(waiter, weight, deadline)?;
        if let Some((waiter, refusal)) = evicted {
            let _ = waiter.tx.send(Err(refusal));
        }
        let place = Place {
            pool: &self.0,
            account,
            id,
        };
        self.0.hand_out();
        let late = || {
            let wait = self.0.queue().estimate(account, weight);
            let refusal = Refusal::new(ErrorKind::DeadlineBeforeStart, "no slot was free in time");
            refusal.with_retry_after(wait.max(RETRY_AFTER_MIN))
        };
        let answer = tokio::time::timeout(deadline.duration(), &mut rx).await;
        drop(place);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(late()),
        }
    }

    /// Changes the number of slots. Requests that run keep theirs, also beyond a smaller number.
    pub fn resize(&self, slots: usize) {
        self.0.queue().resize(slots);
        self.0.hand_out();
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn depth(&self) -> (usize, usize) {
        self.0.queue().depth()
    }
}

/// The pools of all classes. They share nothing, so that no class can starve another.
#[derive(Debug, Clone)]
pub struct Pools {
    status: Pool,
    booking: Pool,
    drafting: Pool,
}

impl Pools {
    /// Creates the pools; `options` gives the size of each.
    pub fn new(options: impl Fn(RouteClass) -> Options, clock: &Clock) -> Self {
        let pool = |class| Pool::new(options(class), clock.clone());
        Self {
            status: pool(RouteClass::Status),
            booking: pool(RouteClass::Booking),
            drafting: pool(RouteClass::Drafting),
        }
    }

    /// Returns the pool of a class.
    pub fn of(&self, class: RouteClass) -> &Pool {
        match class {
            RouteClass::Status => &self.status,
            RouteClass::Booking => &self.booking,
            RouteClass::Drafting => &self.drafting,
        }
    }
}
