//! Metrics, service-level counts and refusal counts of each request.

use std::sync::{Arc, atomic::Ordering};

use cadence::{Counted as _, Timed as _};
use cyc_ledger::Series;
use cyc_obs::names;
use cyc_proto::sidecar::{Frame, RouteClass};
use cyc_types::{BudgetId, ErrorKind, Millis, Outcome, Refusal, Tokens};
use strum::{Display, IntoStaticStr};

use crate::{
    app::{App, InFlightGuard},
    cx::Cx,
    forward,
};

/// The lowest HTTP status of a target's answer that counts as a failure.
const FIRST_SERVER_ERROR: u16 = 500;

/// How a request counts towards the service level objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Answered within the latency objective.
    Good,
    /// Answered, or abandoned by the caller, after the latency objective.
    Slow,
    /// Not answered completely, or answered with a server error.
    Failed,
    /// Refused, cut short or abandoned because of the caller; not counted.
    Excluded,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The complete answer was sent.
    Answered,
    /// The request ended with an error.
    Failed(ErrorKind),
    /// The caller disconnected before the end.
    Abandoned,
}

/// The times of a request, relative to its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// When the first piece of the answer was sent, if any.
    pub first: Option<Millis>,
    /// When the request ended.
    pub end: Millis,
}

/// Returns true if the caller caused the error.
pub const fn is_caller_error(kind: ErrorKind) -> bool {
    use ErrorKind as K;
    match kind {
        K::BadRequest
        | K::Unauthenticated
        | K::Forbidden
        | K::NoSuchRoute
        | K::NoSuchModel
        | K::TooLarge
        | K::KeyRequired
        | K::KeyReused
        | K::BudgetExhausted
        | K::AccountLimited
        | K::Cancelled => true,
        K::BudgetUnreachable
        | K::PromptRefused
        | K::Overloaded
        | K::DeadlineBeforeStart
        | K::DeadlineWhileRunning
        | K::Draining
        | K::NoTarget
        | K::PlatformUnavailable
        | K::NotConfigured
        | K::Fenced
        | K::OutcomeUnknown
        | K::TargetFailed
        | K::AnswerIncomplete
        | K::Internal => false,
    }
}

/// Classifies a finished request, and returns the latency that is compared with the objective.
///
/// Without an objective every complete answer is good. A request whose deadline passed before the
/// objective is excluded.
pub fn classify(
    class: RouteClass,
    objective: Option<Millis>,
    end: Completion,
    timings: Timings,
) -> (Verdict, Option<Millis>) {
    let latency = match (class, end) {
        (RouteClass::Drafting, _) => timings.first,
        (RouteClass::Status | RouteClass::Booking, Completion::Answered) => Some(timings.end),
        (RouteClass::Status | RouteClass::Booking, _) => None,
    };
    let in_time = |latency| objective.is_none_or(|limit| latency <= limit);
    let verdict = match (end, latency) {
        (Completion::Failed(kind), _) if is_caller_error(kind) => Verdict::Excluded,
        (
            Completion::Failed(ErrorKind::DeadlineBeforeStart | ErrorKind::DeadlineWhileRunning),
            _,
        ) if objective.is_some_and(|limit| timings.end < limit) => Verdict::Excluded,
        (Completion::Failed(_), _) => Verdict::Failed,
        (Completion::Abandoned, None) if in_time(timings.end) => Verdict::Excluded,
        (Completion::Answered, None) => Verdict::Good,
        (Completion::Abandoned, None) => Verdict::Slow,
        (_, Some(latency)) if in_time(latency) => Verdict::Good,
        (_, Some(_)) => Verdict::Slow,
    };
    (verdict, latency)
}

/// Observes one request from start to end. If dropped before an end is set, the caller has
/// disconnected.
struct RequestObserver {
    app: Arc<App>,
    series: Series,
    started: Millis,
    first: Option<Millis>,
    /// Invariant: `None` until the request has ended.
    end: Option<Completion>,
    /// Delays the shutdown until the answer is sent and the request is counted.
    _in_flight: InFlightGuard,
}

impl RequestObserver {
    fn new(app: Arc<App>, cx: &Cx) -> Self {
        let series = Series {
            class: cx.spec.class,
            service: cx.spec.service.clone(),
            zone: app.zone.clone(),
        };
        let started = app.clock.now();
        let in_flight = app.begin_request();
        app.open_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            app,
            series,
            started,
            first: None,
            end: None,
            _in_flight: in_flight,
        }
    }

    fn elapsed(&self) -> Millis {
        self.app.clock.now().saturating_sub(self.started)
    }

    fn record_piece(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.elapsed());
        }
    }

    fn record_end(&self) {
        let class = self.series.class;
        let config = self.app.config.current();
        let objective = config.as_ref().and_then(|c| c.services.objective(class));
        let timings = Timings {
            first: self.first,
            end: self.elapsed(),
        };
        let end = self.end.unwrap_or(Completion::Abandoned);
        let (verdict, latency) = classify(class, objective.map(|o| o.latency_ms), end, timings);
        if verdict != Verdict::Excluded {
            let good = verdict == Verdict::Good;
            self.app
                .ledger
                .record_request(self.series.clone(), good, latency);
        }
        self.emit_metrics(verdict, end, timings);
    }

    /// Send errors are ignored, so that metrics cannot fail a request.
    fn emit_metrics(&self, verdict: Verdict, end: Completion, timings: Timings) {
        let metrics = &self.app.metrics;
        let class = self.series.class;
        let name = format!("{}{class}.{verdict}", names::REQUESTS);
        metrics.count(&name, 1).ok();
        if let Some(first) = timings.first {
            let name = format!("{}{class}", names::FIRST_PIECE);
            metrics.time(&name, first.get()).ok();
        }
        if end == Completion::Answered {
            let name = format!("{}{class}", names::ANSWER);
            metrics.time(&name, timings.end.get()).ok();
        }
    }
}

impl Drop for RequestObserver {
    fn drop(&mut self) {
        self.record_end();
        self.app.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The frames of an answer, observed on their way to the caller.
pub struct ObservedFrames {
    rx: forward::Frames,
    observer: RequestObserver,
    budget: Option<BudgetId>,
    worst_case: Tokens,
}

impl ObservedFrames {
    /// Returns the next frame; see [`forward::Frames`].
    pub async fn recv(&mut self) -> Option<Result<Frame, Refusal>> {
        let event = self.rx.recv().await;
        match &event {
            Some(Ok(Frame::Head { status, .. })) if *status >= FIRST_SERVER_ERROR => {
                self.observer.end = Some(Completion::Failed(ErrorKind::TargetFailed));
            }
            Some(Ok(Frame::Head { .. })) => {}
            Some(Ok(Frame::Data { .. })) => self.observer.record_piece(),
            Some(Ok(Frame::End { .. })) => {
                self.observer.record_piece();
                self.observer.end.get_or_insert(Completion::Answered);
            }
            Some(Ok(Frame::Failed { refusal, .. }) | Err(refusal)) => self.record_failure(refusal),
            None => {
                let incomplete = Completion::Failed(ErrorKind::Internal);
                self.observer.end.get_or_insert(incomplete);
            }
        }
        event
    }

    fn record_failure(&mut self, refusal: &Refusal) {
        self.observer.end = Some(Completion::Failed(refusal.kind));
        count_refusal(&self.observer.app, refusal.kind);
        if refusal.outcome() == Outcome::NotRun
            && let Some(budget) = &self.budget
        {
            let ledger = &self.observer.app.ledger;
            ledger.record_refusal(budget, refusal.kind, self.worst_case, true);
        }
    }
}

/// Runs the filters on a request and observes its result.
///
/// # Errors
/// The refusal of the first filter that rejects the request.
pub async fn run(app: &Arc<App>, cx: &mut Cx) -> Result<ObservedFrames, Refusal> {
    let mut observer = RequestObserver::new(app.clone(), cx);
    if let Err(refusal) = crate::chain::run(app, cx).await {
        observer.end = Some(Completion::Failed(refusal.kind));
        return Err(refusal);
    }
    let Some(rx) = cx.frames.take() else {
        observer.end = Some(Completion::Failed(ErrorKind::Internal));
        return Err(Refusal::new(ErrorKind::Internal, "nothing was forwarded"));
    };
    Ok(ObservedFrames {
        rx,
        observer,
        budget: cx.caller.as_ref().map(|caller| caller.budget.clone()),
        worst_case: cx.spec.worst_case,
    })
}

/// Counts a refusal in the metric of its kind.
pub fn count_refusal(app: &App, kind: ErrorKind) {
    let name = format!("{}{kind}", names::REFUSED);
    // Send errors are ignored, so that metrics cannot fail a request.
    app.metrics.count(&name, 1).ok();
}
