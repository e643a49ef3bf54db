//! The expected load of targets, from reports that are always somewhat old.
//!
//! A report loses its weight with its age: of the requests that ran then most have ended, and as many
//! as usual have come from other entries. The estimate therefore moves from the report towards the
//! usual load of the target, and that of a target without recent reports is the mean of its service.
//! A target that nobody has heard of does not look idle.

use cyc_types::Millis;

use crate::decay::DecayingSum;

/// The same for waiting requests: queues form and end within some hundred milliseconds.
const WAITING_TIME_CONSTANT: Millis = Millis::new(500);
/// Time constant of the usual load. An entry with a part of the traffic hears from a target every
/// few seconds.
const USUAL_TIME_CONSTANT: Millis = Millis::new(4_000);
/// Weight of the mean of the service, in reports, in the usual load of a target.
const PRIOR_REPORTS: f64 = 2.0;

/// Requests that run and wait at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Requests that run.
    pub running: f64,
    /// Requests that wait.
    pub waiting: f64,
}

/// The mean of the reports of a target or of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualLoad {
    reports: DecayingSum,
    running: DecayingSum,
    waiting: DecayingSum,
}

impl UsualLoad {
    /// Adds a report.
    pub fn record(&mut self, running: u32, waiting: u32, now: Millis) {
        self.reports.add(1.0, USUAL_TIME_CONSTANT, now);
        self.running
            .add(f64::from(running), USUAL_TIME_CONSTANT, now);
        self.waiting
            .add(f64::from(waiting), USUAL_TIME_CONSTANT, now);
    }

    /// The mean at `now`, drawn to `prior`, which is that of similar targets.
    pub fn get(&self, prior: ExpectedLoad, now: Millis) -> ExpectedLoad {
        let reports = self.reports.get(USUAL_TIME_CONSTANT, now) + PRIOR_REPORTS;
        let mean = |sum: DecayingSum, prior: f64| {
            (sum.get(USUAL_TIME_CONSTANT, now) + prior * PRIOR_REPORTS) / reports
        };
        ExpectedLoad {
            running: mean(self.running, prior.running),
            waiting: mean(self.waiting, prior.waiting),
        }
    }
}

/// The last report of a target, and what this entry has sent it since.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadEstimate {
    usual: UsualLoad,
    report: Option<(u32, u32, Millis)>,
    /// Requests of this entry that the report does not contain.
    sent_since: u32,
}

impl LoadEstimate {
    /// Records a report.
    pub fn record(&mut self, running: u32, waiting: u32, now: Millis) {
        self.usual.record(running, waiting, now);
        self.report = Some((running, waiting, now));
        self.sent_since = 0;
    }

    /// Records that this entry sends a request.
    pub fn send(&mut self) {
        self.sent_since = self.sent_since.saturating_add(1);
    }

    /// Age of the last report.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.report.map(|(_, _, at)| now.saturating_sub(at))
    }

    /// The load at `now`, of which `in_flight` requests are this entry's own. `similar` is the mean of
    /// similar targets; a request takes `lasts` in the mean.
    pub fn get(
        &self,
        similar: ExpectedLoad,
        in_flight: u32,
        lasts: Millis,
        now: Millis,
    ) -> ExpectedLoad {
        // A queue says nothing of the load some seconds later. A target that is avoided for it sends no
        // reports, so that it would be avoided for long.
        let usual = ExpectedLoad {
            waiting: similar.waiting,
            ..self.usual.get(similar, now)
        };
        let own = f64::from(self.sent_since.min(in_flight));
        let Some((running, waiting, at)) = self.report else {
            return ExpectedLoad {
                running: (usual.running + own).max(f64::from(in_flight)),
                ..usual
            };
        };
        let age = now.saturating_sub(at).get() as f64;
        let mix = |reported: u32, usual: f64, time: Millis| {
            let kept = (-age / (time.get() as f64).max(1.0)).exp();
            usual + (f64::from(reported) - usual) * kept
        };
        let running = mix(running, usual.running, lasts) + own;
        ExpectedLoad {
            running: running.max(f64::from(in_flight)),
            waiting: mix(waiting, usual.waiting, WAITING_TIME_CONSTANT),
        }
    }
}
