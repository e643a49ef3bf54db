//! Hedged look-ups: an idempotent call whose answer is late goes to a second target as well, and
//! the first whole answer is given.
//!
//! Both attempts have the same request id, so the ledger bills one of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_proto::sidecar::{Frame, RouteClass, Work};
use cyc_route::{Failure, Hedge, RetryBudget};
use cyc_types::{Millis, Refusal, Tokens};
use tokio::sync::mpsc;

use crate::{
    app::App,
    forward::{self, Events, Job, worse},
};

/// Hedged attempts for each first attempt.
const HEDGE_SHARE: f64 = 0.05;
/// The most hedged attempts that are saved up.
const MAX_SAVED: f64 = 100.0;
/// How long an idempotent status check waits for its first target, if its route is not hedged or
/// too few latencies are known.
const STALL_DELAY: Millis = Millis::new(1_000);
/// How long a second attempt may wait for tokens.
const RESERVE_WAIT: Millis = Millis::new(50);
/// Frames that an answer of a plain call has: head, body, end.
const CALL_FRAMES: usize = 4;

/// The latencies of look-ups at one entry, and how many second attempts it may send.
#[derive(Debug)]
pub struct Hedges {
    state: Mutex<(Hedge, RetryBudget)>,
}

impl Default for Hedges {
    fn default() -> Self {
        let budget = RetryBudget::new(HEDGE_SHARE, MAX_SAVED);
        Self {
            state: Mutex::new((Hedge::new(), budget)),
        }
    }
}

impl Hedges {
    fn lock(&self) -> MutexGuard<'_, (Hedge, RetryBudget)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a first attempt and returns how long it is waited for.
    fn begin(&self, hedged: bool) -> Millis {
        let mut state = self.lock();
        state.1.request();
        let delay = state.0.delay().filter(|_| hedged);
        delay.unwrap_or(STALL_DELAY).min(STALL_DELAY)
    }

    fn may_send(&self) -> bool {
        self.lock().1.retry()
    }

    fn note(&self, latency: Millis) {
        self.lock().0.note(latency);
    }
}

/// A whole answer, or why there is none.
type Answer = Result<Vec<Frame>, Refusal>;

/// Starts to forward a request, hedged if it may be.
pub fn start(app: Arc<App>, job: Job) -> Events {
    let is_call = matches!(job.ask.work, Work::Call { .. });
    let is_status = job.ask.class == RouteClass::Status;
    if !job.ask.idempotent || !is_call || !(job.ask.hedge || is_status) {
        return forward::start(app, job);
    }
    let (tx, rx) = mpsc::channel(CALL_FRAMES);
    let busy = app.begin();
    tokio::spawn(async move {
        let _busy = busy;
        match answer(&app, job).await {
            Ok(frames) => {
                for frame in frames {
                    // A caller that went away needs nothing more.
                    tx.send(Ok(frame)).await.ok();
                }
            }
            Err(refusal) => {
                tx.send(Err(refusal)).await.ok();
            }
        }
    });
    rx
}

async fn answer(app: &Arc<App>, mut job: Job) -> Answer {
    // Held until the first answer: an attempt that lost keeps no slot.
    let _permit = job.permit.take();
    let started = app.clock.now();
    let delay = app.hedges.begin(job.ask.hedge);
    let second = Job {
        reservation: None,
        ask: job.ask.clone(),
        caller: job.caller.clone(),
        tried: job.tried.clone(),
        permit: None,
        ..job
    };
    let tried = job.tried.clone();
    let mut first = Box::pin(collect(forward::start(app.clone(), job)));
    if let Ok(answer) = tokio::time::timeout(delay.duration(), &mut first).await {
        app.hedges.note(app.clock.now().saturating_sub(started));
        return answer;
    }
    let late = tried.list();
    let Some(second) = reserve(app, second).await else {
        return first.await;
    };
    let mut second = Box::pin(collect(forward::start(app.clone(), second)));
    tokio::select! {
        answer = &mut first => either(answer, second).await,
        answer = &mut second => {
            if answer.is_ok() {
                // The first target was overtaken: it hangs, unless it answers others.
                for target in late {
                    let failure = Err(Failure::Timeout(started));
                    app.fleet.note(&target, failure, app.clock.now());
                }
            }
            either(answer, first).await
        }
    }
}

/// Takes the tokens of a second attempt, if one may be sent.
async fn reserve(app: &App, mut job: Job) -> Option<Job> {
    let other = app.choose(&job, &job.tried.list());
    if other.is_none() || !app.hedges.may_send() {
        return None;
    }
    let worst: Tokens = job.ask.worst;
    let reserving = app.purse.reserve(&job.caller.budget, worst, RESERVE_WAIT);
    job.reservation = Some(reserving.await.ok()?);
    Some(job)
}

/// Returns the answer that came, or waits for the other one if it is a refusal.
async fn either(answer: Answer, other: impl Future<Output = Answer>) -> Answer {
    match answer {
        Ok(frames) => Ok(frames),
        Err(refusal) => other.await.map_err(|last| worse(refusal, last)),
    }
}

async fn collect(mut events: Events) -> Answer {
    let mut frames = Vec::new();
    while let Some(event) = events.recv().await {
        frames.push(event?);
    }
    Ok(frames)
}
