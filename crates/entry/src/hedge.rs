//! Hedged requests: if the answer to an idempotent call is late, the call is sent to a second
//! target too, and the first complete answer is returned.
//!
//! Both attempts carry the same request id, so that the ledger bills only one of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_proto::sidecar::{Frame, RouteClass, Work};
use cyc_route::{Failure, Hedge, RetryBudget};
use cyc_types::{Millis, Refusal, Tokens};
use tokio::sync::mpsc;

use crate::{
    app::App,
    forward::{self, Frames, Job, select_refusal},
};

/// Hedged attempts allowed per first attempt.
const HEDGE_RATIO: f64 = 0.05;
/// Upper limit of unused hedged attempts that accumulate.
const MAX_SAVED_HEDGES: f64 = 100.0;
/// Longest delay before a second attempt. Also the delay for status calls on routes without
/// hedging, and while too few latencies are known.
const MAX_HEDGE_DELAY: Millis = Millis::new(1_000);
/// How long a second attempt may wait for its reservation.
const RESERVE_TIMEOUT: Millis = Millis::new(50);
/// Buffer for the frames of a plain call's answer: head, body, end.
const CALL_FRAME_BUFFER: usize = 4;

/// The latencies of calls that were answered before a second attempt was due, and the budget for
/// second attempts.
#[derive(Debug)]
pub struct HedgeControl {
    state: Mutex<(Hedge, RetryBudget)>,
}

impl Default for HedgeControl {
    fn default() -> Self {
        let budget = RetryBudget::new(HEDGE_RATIO, MAX_SAVED_HEDGES);
        Self {
            state: Mutex::new((Hedge::new(), budget)),
        }
    }
}

impl HedgeControl {
    fn lock(&self) -> MutexGuard<'_, (Hedge, RetryBudget)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a first attempt and returns the delay before a second one is sent.
    fn start_attempt(&self, hedged: bool) -> Millis {
        let mut state = self.lock();
        state.1.record_request();
        let delay = state.0.delay().filter(|_| hedged);
        delay.unwrap_or(MAX_HEDGE_DELAY).min(MAX_HEDGE_DELAY)
    }

    fn try_take_hedge(&self) -> bool {
        self.lock().1.try_take()
    }

    fn record_latency(&self, latency: Millis) {
        self.lock().0.record_latency(latency);
    }
}

/// All frames of an answer, or the refusal.
type CompleteAnswer = Result<Vec<Frame>, Refusal>;

/// Starts to forward a request, with hedging if it is eligible.
pub fn start(app: Arc<App>, job: Job) -> Frames {
    let is_call = matches!(job.spec.work, Work::Call { .. });
    let is_status = job.spec.class == RouteClass::Status;
    if !job.spec.idempotent || !is_call || !(job.spec.hedge || is_status) {
        return forward::start(app, job);
    }
    let (tx, rx) = mpsc::channel(CALL_FRAME_BUFFER);
    let in_flight = app.begin_request();
    tokio::spawn(async move {
        let _in_flight = in_flight;
        match answer(&app, job).await {
            Ok(frames) => {
                for frame in frames {
                    // The send fails only if the caller has disconnected.
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

async fn answer(app: &Arc<App>, mut job: Job) -> CompleteAnswer {
    // Held until the first answer, so that the slower attempt does not occupy a slot.
    let _permit = job.permit.take();
    let started = app.clock.now();
    let delay = app.hedging.start_attempt(job.spec.hedge);
    let second = Job {
        reservation: None,
        spec: job.spec.clone(),
        caller: job.caller.clone(),
        tried: job.tried.clone(),
        permit: None,
        ..job
    };
    let tried = job.tried.clone();
    let mut first = Box::pin(collect_answer(forward::start(app.clone(), job)));
    if let Ok(answer) = tokio::time::timeout(delay.duration(), &mut first).await {
        app.hedging
            .record_latency(app.clock.now().saturating_sub(started));
        return answer;
    }
    let slow_targets = tried.list();
    let Some(second) = reserve(app, second).await else {
        return first.await;
    };
    let mut second = Box::pin(collect_answer(forward::start(app.clone(), second)));
    tokio::select! {
        answer = &mut first => first_success(answer, second).await,
        answer = &mut second => {
            if answer.is_ok() {
                // The first target was slower than a second one that started later. The timeout
                // counts only if the first target has sent no frame since `started`.
                for target in slow_targets {
                    let failure = Err(Failure::Timeout(started));
                    app.fleet.record_result(&target, failure, app.clock.now());
                }
            }
            first_success(answer, first).await
        }
    }
}

/// Reserves tokens for a second attempt; `None` if there is no other target, the hedge budget is
/// used up, or no tokens are free in time.
async fn reserve(app: &App, mut job: Job) -> Option<Job> {
    let other_target = app.choose(&job, &job.tried.list());
    if other_target.is_none() || !app.hedging.try_take_hedge() {
        return None;
    }
    let worst_case: Tokens = job.spec.worst_case;
    let reservation = app
        .wallet
        .reserve(&job.caller.budget, worst_case, RESERVE_TIMEOUT);
    job.reservation = Some(reservation.await.ok()?);
    Some(job)
}

/// Returns the answer if it is complete; otherwise waits for the other attempt.
async fn first_success(
    answer: CompleteAnswer,
    other: impl Future<Output = CompleteAnswer>,
) -> CompleteAnswer {
    match answer {
        Ok(frames) => Ok(frames),
        Err(refusal) => other.await.map_err(|last| select_refusal(refusal, last)),
    }
}

async fn collect_answer(mut received: Frames) -> CompleteAnswer {
    let mut frames = Vec::new();
    while let Some(event) = received.recv().await {
        frames.push(event?);
    }
    Ok(frames)
}
