//! What each request counts for: metrics, service level and the refusals of the spend report.

use std::sync::Arc;

use cadence::{Counted as _, Timed as _};
use cyc_ledger::Series;
use cyc_obs::names;
use cyc_proto::sidecar::{Frame, RouteClass};
use cyc_types::{BudgetId, ErrorKind, Millis, Outcome, Refusal, Tokens};
use strum::{Display, IntoStaticStr};

use crate::{app::App, cx::Cx, forward};

/// The smallest HTTP status of a target that counts as a failure.
const FIRST_SERVER_ERROR: u16 = 500;

/// What a request counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Answered within the objective.
    Good,
    /// Answered, but later than the objective.
    Slow,
    /// Not answered, or not wholly.
    Failed,
    /// Refused or given up for reasons of the caller; counts neither way.
    Excluded,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer was passed on.
    Answered,
    /// It ended with an error.
    Failed(ErrorKind),
    /// The caller went away before.
    Abandoned,
}

/// The times of a request, from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// The first piece of the answer.
    pub first: Option<Millis>,
    /// The end.
    pub end: Millis,
}

/// Returns true if an error has its cause with the caller.
pub const fn is_callers(kind: ErrorKind) -> bool {
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

/// Returns what a request counts for, and the latency that the objective is about.
///
/// Without an objective any whole answer is good. A deadline of the caller's that passed before
/// the objective counts neither way.
pub fn judge(
    class: RouteClass,
    objective: Option<Millis>,
    end: End,
    times: Times,
) -> (Verdict, Option<Millis>) {
    let latency = match (class, end) {
        (RouteClass::Drafting, _) => times.first,
        (RouteClass::Status | RouteClass::Booking, End::Answered) => Some(times.end),
        (RouteClass::Status | RouteClass::Booking, _) => None,
    };
    let in_time = |latency| objective.is_none_or(|limit| latency <= limit);
    let verdict = match (end, latency) {
        (End::Failed(kind), _) if is_callers(kind) => Verdict::Excluded,
        (End::Failed(ErrorKind::DeadlineBeforeStart | ErrorKind::DeadlineWhileRunning), _)
            if objective.is_some_and(|limit| times.end < limit) =>
        {
            Verdict::Excluded
        }
        (End::Failed(_), _) => Verdict::Failed,
        (End::Abandoned, None) if in_time(times.end) => Verdict::Excluded,
        (End::Answered, None) => Verdict::Good,
        (End::Abandoned, None) => Verdict::Slow,
        (_, Some(latency)) if in_time(latency) => Verdict::Good,
        (_, Some(_)) => Verdict::Slow,
    };
    (verdict, latency)
}

/// Watches one request from its start to its end; dropped before, the caller has gone away.
struct Probe {
    app: Arc<App>,
    series: Series,
    started: Millis,
    first: Option<Millis>,
    /// Invariant: `None` until the request has ended.
    end: Option<End>,
}

impl Probe {
    fn new(app: Arc<App>, cx: &Cx) -> Self {
        let series = Series {
            class: cx.ask.class,
            service: cx.ask.service.clone(),
            zone: app.zone.clone(),
        };
        let started = app.clock.now();
        Self {
            app,
            series,
            started,
            first: None,
            end: None,
        }
    }

    fn elapsed(&self) -> Millis {
        self.app.clock.now().saturating_sub(self.started)
    }

    fn piece(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.elapsed());
        }
    }

    fn finish(&self) {
        let class = self.series.class;
        let config = self.app.config.current();
        let objective = config.as_ref().and_then(|c| c.services.objective(class));
        let times = Times {
            first: self.first,
            end: self.elapsed(),
        };
        let end = self.end.unwrap_or(End::Abandoned);
        let (verdict, latency) = judge(class, objective.map(|o| o.latency_ms), end, times);
        if verdict != Verdict::Excluded {
            let good = verdict == Verdict::Good;
            self.app.ledger.observe(self.series.clone(), good, latency);
        }
        self.emit(verdict, end, times);
    }

    /// A metric that cannot be sent is dropped: no request may wait for it.
    fn emit(&self, verdict: Verdict, end: End, times: Times) {
        let metrics = &self.app.metrics;
        let class = self.series.class;
        let name = format!("{}{class}.{verdict}", names::REQUESTS);
        metrics.count(&name, 1).ok();
        if let Some(first) = times.first {
            let name = format!("{}{class}", names::FIRST_PIECE);
            metrics.time(&name, first.get()).ok();
        }
        if end == End::Answered {
            let name = format!("{}{class}", names::ANSWER);
            metrics.time(&name, times.end.get()).ok();
        }
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.finish();
    }
}

/// The answer to a request on its way to the caller.
pub struct Events {
    rx: forward::Events,
    probe: Probe,
    budget: Option<BudgetId>,
    worst: Tokens,
}

impl Events {
    /// Returns the next frame; see [`forward::Events`].
    pub async fn recv(&mut self) -> Option<Result<Frame, Refusal>> {
        let event = self.rx.recv().await;
        match &event {
            Some(Ok(Frame::Head { status, .. })) if *status >= FIRST_SERVER_ERROR => {
                self.probe.end = Some(End::Failed(ErrorKind::TargetFailed));
            }
            Some(Ok(Frame::Head { .. })) => {}
            Some(Ok(Frame::Data { .. })) => self.probe.piece(),
            Some(Ok(Frame::End { .. })) => {
                self.probe.piece();
                self.probe.end.get_or_insert(End::Answered);
            }
            Some(Ok(Frame::Failed { refusal, .. }) | Err(refusal)) => self.failed(refusal),
            None => {
                let cut_off = End::Failed(ErrorKind::Internal);
                self.probe.end.get_or_insert(cut_off);
            }
        }
        event
    }

    fn failed(&mut self, refusal: &Refusal) {
        self.probe.end = Some(End::Failed(refusal.kind));
        count_refusal(&self.probe.app, refusal.kind);
        if refusal.outcome() == Outcome::NotRun
            && let Some(budget) = &self.budget
        {
            let ledger = &self.probe.app.ledger;
            ledger.refuse(budget, refusal.kind, self.worst, true);
        }
    }
}

/// Sends a request through the filters and watches what becomes of it.
///
/// # Errors
/// The refusal of the filter that stopped it.
pub async fn run(app: &Arc<App>, cx: &mut Cx) -> Result<Events, Refusal> {
    let mut probe = Probe::new(app.clone(), cx);
    if let Err(refusal) = crate::chain::run(app, cx).await {
        probe.end = Some(End::Failed(refusal.kind));
        return Err(refusal);
    }
    let Some(rx) = cx.events.take() else {
        probe.end = Some(End::Failed(ErrorKind::Internal));
        return Err(Refusal::new(ErrorKind::Internal, "nothing was forwarded"));
    };
    Ok(Events {
        rx,
        probe,
        budget: cx.caller.as_ref().map(|caller| caller.budget.clone()),
        worst: cx.ask.worst,
    })
}

/// Counts a refusal by kind.
pub fn count_refusal(app: &App, kind: ErrorKind) {
    let name = format!("{}{kind}", names::REFUSED);
    // A metric that cannot be sent is dropped: no request may wait for it.
    app.metrics.count(&name, 1).ok();
}
