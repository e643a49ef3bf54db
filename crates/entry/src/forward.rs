//! Request forwarding: tries one target after another until one answers, and relays its answer.
//!
//! Each request is forwarded by its own task, which continues after the caller disconnects: what is
//! billed is known only when the run has ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_budget::Reservation;
use cyc_proto::sidecar::{FindRequest, Frame, SidecarClient as _};
use cyc_route::Permit;
use cyc_types::{
    ErrorKind, Incarnation, Millis, Outcome as RunOutcome, Refusal, RequestId, TargetId,
};
use futures::{StreamExt as _, stream::FuturesUnordered};
use tokio::sync::mpsc;

use crate::{
    app::App,
    cx::{Caller, RequestSpec},
    fleet::Sidecar,
};

mod answer;
mod attempts;

/// Frames buffered for a slow caller before the relay waits.
const FRAME_BUFFER: usize = 64;
/// How long to wait for a usable target while none has been tried.
const TARGET_WAIT_LIMIT: Millis = Millis::new(2_000);
/// Interval between checks for a usable target.
const TARGET_POLL_INTERVAL: Millis = Millis::new(20);
/// Time past the deadline during which a refusal may still be delivered to a slow caller.
const REFUSAL_GRACE: Millis = Millis::new(5_000);
/// Time limit for asking targets whether they already have the request.
const FIND_TIMEOUT: Millis = Millis::new(250);

/// The frames of an answer, or the refusal that ends it.
pub type Frames = mpsc::Receiver<Result<Frame, Refusal>>;

/// One request to forward.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// True if the caller sent an idempotency key, so that a retry may join the run.
    pub keyed: bool,
    /// The client account and the budget that pays.
    pub caller: Caller,
    /// The operation to perform.
    pub spec: RequestSpec,
    /// The caller's deadline, by the clock of this process.
    pub deadline: Millis,
    /// The reservation for the first attempt. Invariant: `Some` when the job starts.
    pub reservation: Option<Reservation>,
    /// The concurrency slot, held until the run has ended; `None` if another job of the request
    /// holds it.
    pub permit: Option<Permit>,
    /// The targets already tried by any job of this request.
    pub tried: TriedTargets,
}

/// The targets already tried, shared by the jobs of one request.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets(Arc<Mutex<Vec<TargetId>>>);

impl TriedTargets {
    fn lock(&self) -> MutexGuard<'_, Vec<TargetId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an attempt was made at `target`.
    pub fn add(&self, target: TargetId) {
        self.lock().push(target);
    }

    /// Returns the targets in the order in which they were tried.
    pub fn list(&self) -> Vec<TargetId> {
        self.lock().clone()
    }
}

/// Spawns a task that forwards the request, and returns its frames.
pub fn start(app: Arc<App>, job: Job) -> Frames {
    let (tx, rx) = mpsc::channel(FRAME_BUFFER);
    let in_flight = app.begin_request();
    tokio::spawn(async move {
        let _in_flight = in_flight;
        let mut job = job;
        let reservation = job.reservation.take();
        let task = ForwardTask {
            app,
            job,
            tx,
            reservation,
            held_head: None,
            forwarded: false,
            caller_disconnected: false,
            replay: None,
        };
        task.run().await;
    });
    rx
}

/// How the job continues after an attempt.
enum AttemptResult {
    /// The answer was relayed to its end.
    Done,
    /// The attempt failed and another target may be tried.
    Retry(Refusal),
    /// The attempt failed and no other target may be tried.
    Fail(Refusal),
}

struct ForwardTask {
    app: Arc<App>,
    job: Job,
    tx: mpsc::Sender<Result<Frame, Refusal>>,
    /// The reservation for the next attempt. Invariant: not in use by any other attempt.
    reservation: Option<Reservation>,
    /// The head of the answer, held back until a data or end frame follows, so that another target
    /// can still answer if this one fails.
    held_head: Option<Frame>,
    /// True once a frame of an answer was sent to the caller.
    forwarded: bool,
    /// True if the caller has disconnected or stopped reading. It then gets no further frame, so
    /// that it never gets a frame after a gap.
    caller_disconnected: bool,
    /// The claimant whose answer could not be read; a stored answer may be used instead.
    replay: Option<Incarnation>,
}

/// # Attempts
impl ForwardTask {
    async fn run(mut self) {
        let refusal = self.try_targets().await;
        if let Some(reservation) = self.reservation.take() {
            self.app.wallet.release(reservation);
        }
        if let Some(refusal) = refusal.filter(|_| !self.caller_disconnected) {
            let wait = (self.time_left() + REFUSAL_GRACE).duration();
            self.tx.send_timeout(Err(refusal), wait).await.ok();
        }
    }

    /// Tries targets until one has answered; otherwise returns the refusal for the caller.
    async fn try_targets(&mut self) -> Option<Refusal> {
        if let Some(sidecar) = self.find_existing().await {
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                AttemptResult::Done => return None,
                AttemptResult::Fail(refusal) => return Some(refusal),
                AttemptResult::Retry(_) => {}
            }
        }
        let mut last = Refusal::new(ErrorKind::NoTarget, "no live target serves this");
        let mut attempts_reached = 0;
        loop {
            if self.time_left().is_zero() {
                return Some(self.deadline_refusal(last));
            }
            let Some(sidecar) = self.next_target().await else {
                return Some(last);
            };
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                AttemptResult::Done => return None,
                AttemptResult::Fail(refusal) => return Some(select_refusal(last, refusal)),
                AttemptResult::Retry(refusal) => {
                    attempts_reached += u32::from(refusal.outcome() != RunOutcome::NotRun);
                    last = select_refusal(last, refusal);
                }
            }
            if attempts_reached >= self.job.spec.max_attempts.max(1) {
                return Some(last);
            }
        }
    }

    /// Returns the best target that was not tried yet. For the first attempt this polls for up to
    /// [`TARGET_WAIT_LIMIT`], because an entry that has just started may not know all targets yet.
    async fn next_target(&self) -> Option<Arc<Sidecar>> {
        let tried = self.job.tried.list();
        let until = self.app.clock.now() + TARGET_WAIT_LIMIT.min(self.time_left());
        loop {
            let chosen = self.app.choose(&self.job, &tried);
            if chosen.is_some() || !tried.is_empty() || self.app.clock.now() >= until {
                return chosen;
            }
            tokio::time::sleep(TARGET_POLL_INTERVAL.duration()).await;
        }
    }

    fn time_left(&self) -> Millis {
        self.job.deadline.saturating_sub(self.app.clock.now())
    }

    fn deadline_refusal(&self, last: Refusal) -> Refusal {
        match last.outcome() {
            RunOutcome::NotRun => Refusal::new(
                ErrorKind::DeadlineBeforeStart,
                format!("the last try: {last}"),
            ),
            RunOutcome::Ran | RunOutcome::Unknown => last,
        }
    }

    /// Finds a target that already has the request, for requests with an idempotency key on an
    /// idempotent route. There is a match only if the caller has sent the request before, so the
    /// search takes at most [`FIND_TIMEOUT`].
    async fn find_existing(&self) -> Option<Arc<Sidecar>> {
        if !self.job.keyed || !self.job.spec.idempotent {
            return None;
        }
        let request = self.job.request;
        let mut replies: FuturesUnordered<_> = self
            .app
            .candidates(&self.job)
            .into_iter()
            .map(|sidecar| async move {
                let client = sidecar.link.client().await.ok()?;
                client
                    .find(FindRequest { request })
                    .await
                    .ok()?
                    .then_some(sidecar)
            })
            .collect();
        // Return the first match without waiting for targets that do not respond.
        let first_match = async {
            while let Some(found) = replies.next().await {
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        tokio::time::timeout(FIND_TIMEOUT.duration(), first_match)
            .await
            .ok()?
    }
}

/// Returns `last` if only it reports that the request ran or may have run, otherwise `new`.
pub(crate) fn select_refusal(last: Refusal, new: Refusal) -> Refusal {
    if last.outcome() != RunOutcome::NotRun && new.outcome() == RunOutcome::NotRun {
        last
    } else {
        new
    }
}
