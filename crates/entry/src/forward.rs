//! Forwarding: attempts at one target after the other until one answers, and the relay of its
//! answer.
//!
//! A request is forwarded by a task of its own, which goes on when the caller goes away: only the
//! end of the run tells what is billed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_budget::Reservation;
use cyc_proto::sidecar::{FindRequest, Frame, SidecarClient as _};
use cyc_route::Permit;
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome as Ran, Refusal, RequestId, TargetId};
use futures::{StreamExt as _, stream::FuturesUnordered};
use tokio::sync::mpsc;

use crate::{
    app::App,
    cx::{Ask, Caller},
    fleet::Sidecar,
};

mod answer;
mod attempts;

/// Frames that may wait for a slow caller.
const EVENT_BUFFER: usize = 64;
/// How long a target is waited for that may be sent work.
const TARGET_WAIT: Millis = Millis::new(2_000);
/// Time between two looks for such a target.
const TARGET_POLL: Millis = Millis::new(20);
/// Time beyond the deadline in which a caller may still take a refusal.
const REFUSAL_WAIT: Millis = Millis::new(5_000);
/// How long targets are asked whether they have a request already.
const FIND_WAIT: Millis = Millis::new(250);

/// What the caller's side of a request receives: frames, then nothing; or a refusal.
pub type Events = mpsc::Receiver<Result<Frame, Refusal>>;

/// What is needed to forward a request.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// True if the caller gave a key, so that a retry may join.
    pub keyed: bool,
    /// Who calls.
    pub caller: Caller,
    /// What is asked.
    pub ask: Ask,
    /// When the caller gives up.
    pub until: Millis,
    /// Tokens for the first attempt. Invariant: given when the job starts.
    pub reservation: Option<Reservation>,
    /// The slot, held until the run has ended; `None` if another job of the request holds it.
    pub permit: Option<Permit>,
    /// The targets that jobs of this request have tried.
    pub tried: Tried,
}

/// The targets that were tried, shared by the jobs of one request.
#[derive(Debug, Clone, Default)]
pub struct Tried(Arc<Mutex<Vec<TargetId>>>);

impl Tried {
    fn lock(&self) -> MutexGuard<'_, Vec<TargetId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a target.
    pub fn add(&self, target: TargetId) {
        self.lock().push(target);
    }

    /// Returns the targets, in the order in which they were tried.
    pub fn list(&self) -> Vec<TargetId> {
        self.lock().clone()
    }
}

/// Starts to forward a request and returns what will come of it.
pub fn start(app: Arc<App>, job: Job) -> Events {
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    let busy = app.begin();
    tokio::spawn(async move {
        let _busy = busy;
        let mut job = job;
        let reservation = job.reservation.take();
        let driver = Driver {
            app,
            job,
            tx,
            reservation,
            head: None,
            forwarded: false,
            gone: false,
            replay: None,
        };
        driver.drive().await;
    });
    rx
}

/// What an attempt came to.
enum Step {
    /// The caller has been told everything.
    Done,
    /// Another target may be asked.
    Next(Refusal),
    /// Nothing more can be done.
    Fail(Refusal),
}

struct Driver {
    app: Arc<App>,
    job: Job,
    tx: mpsc::Sender<Result<Frame, Refusal>>,
    /// Tokens for the next attempt. Invariant: in no other attempt's use.
    reservation: Option<Reservation>,
    /// The head of the answer, kept back until something follows it, so that another target may
    /// still answer.
    head: Option<Frame>,
    /// True if the caller has been given a frame of an answer.
    forwarded: bool,
    /// True if the caller has gone or does not read: it gets no further frame, so that none is
    /// left out before one that it gets.
    gone: bool,
    /// The claimant that did not give the answer; a stored one may be taken instead.
    replay: Option<Incarnation>,
}

/// # Attempts
impl Driver {
    async fn drive(mut self) {
        let refusal = self.attempts().await;
        if let Some(reservation) = self.reservation.take() {
            self.app.purse.release(reservation);
        }
        if let Some(refusal) = refusal.filter(|_| !self.gone) {
            let wait = (self.left() + REFUSAL_WAIT).duration();
            self.tx.send_timeout(Err(refusal), wait).await.ok();
        }
    }

    /// Tries targets until the caller has an answer; returns the refusal otherwise.
    async fn attempts(&mut self) -> Option<Refusal> {
        if let Some(sidecar) = self.find_running().await {
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                Step::Done => return None,
                Step::Fail(refusal) => return Some(refusal),
                Step::Next(_) => {}
            }
        }
        let mut last = Refusal::new(ErrorKind::NoTarget, "no live target serves this");
        let mut reached = 0;
        loop {
            if self.left().is_zero() {
                return Some(self.at_deadline(last));
            }
            let Some(sidecar) = self.next_target().await else {
                return Some(last);
            };
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                Step::Done => return None,
                Step::Fail(refusal) => return Some(worse(last, refusal)),
                Step::Next(refusal) => {
                    reached += u32::from(refusal.outcome() != Ran::NotRun);
                    last = worse(last, refusal);
                }
            }
            if reached >= self.job.ask.max_attempts.max(1) {
                return Some(last);
            }
        }
    }

    /// Returns the best target that was not tried. Where none was, one is waited for a while: an
    /// entry that has just started may not have heard of all targets yet.
    async fn next_target(&self) -> Option<Arc<Sidecar>> {
        let tried = self.job.tried.list();
        let until = self.app.clock.now() + TARGET_WAIT.min(self.left());
        loop {
            let chosen = self.app.choose(&self.job, &tried);
            if chosen.is_some() || !tried.is_empty() || self.app.clock.now() >= until {
                return chosen;
            }
            tokio::time::sleep(TARGET_POLL.duration()).await;
        }
    }

    fn left(&self) -> Millis {
        self.job.until.saturating_sub(self.app.clock.now())
    }

    fn at_deadline(&self, last: Refusal) -> Refusal {
        match last.outcome() {
            Ran::NotRun => Refusal::new(
                ErrorKind::DeadlineBeforeStart,
                format!("the last try: {last}"),
            ),
            Ran::Ran | Ran::Unknown => last,
        }
    }

    /// Finds a target that already has the request, where a retry is possible. Only a retry at
    /// another entry makes this find something, so targets out of reach are not waited for.
    async fn find_running(&self) -> Option<Arc<Sidecar>> {
        if !self.job.keyed || !self.job.ask.idempotent {
            return None;
        }
        let request = self.job.request;
        let mut asked: FuturesUnordered<_> = self
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
        // The first that has it is enough: one that gives no answer must not hide it.
        let first = async {
            while let Some(found) = asked.next().await {
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        tokio::time::timeout(FIND_WAIT.duration(), first)
            .await
            .ok()?
    }
}

/// Keeps the refusal that knows of a run over one that does not.
pub(crate) fn worse(last: Refusal, new: Refusal) -> Refusal {
    if last.outcome() != Ran::NotRun && new.outcome() == Ran::NotRun {
        last
    } else {
        new
    }
}
