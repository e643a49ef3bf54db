//! Ejects failing targets and readmits them after a successful probe.

use cyc_types::Millis;

/// Whether a target may receive requests. The variants are in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// Receives requests normally.
    Available,
    /// May receive one request that tests whether the target has recovered.
    Probe,
    /// Receives no requests unless all other targets are ejected too.
    Ejected,
}

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target could not be reached.
    ConnectFailed,
    /// The target answered with an error of its own.
    TargetFailed,
    /// A request that was sent at this time was not answered in time.
    Timeout(Millis),
}

/// Threshold of ejection and intervals of probes.
#[derive(Debug, Clone)]
pub struct Options {
    /// Consecutive failures that eject a target. Invariant: at least 1.
    pub failures: u32,
    /// Time from an ejection to the first probe.
    pub probe_min: Millis,
    /// Maximum interval between probes. The interval starts at `probe_min` and doubles with each
    /// failed probe.
    pub probe_max: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failures: 5,
            probe_min: Millis::SECOND,
            probe_max: Millis::MINUTE,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Available,
    Ejected {
        until: Millis,
        interval: Millis,
    },
    /// A probe is in flight; it counts as lost after `until`.
    Probing {
        until: Millis,
        interval: Millis,
    },
}

/// The health of one target, as observed by this process.
#[derive(Debug, Clone)]
pub struct Health {
    options: Options,
    failures: u32,
    /// When the last frame of an answer arrived.
    last_frame: Option<Millis>,
    phase: Phase,
}

impl Health {
    /// Creates the health of a target that is not ejected.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            failures: 0,
            last_frame: None,
            phase: Phase::Available,
        }
    }

    /// Returns whether the target may receive requests.
    pub fn availability(&self, now: Millis) -> Availability {
        match self.phase {
            Phase::Available => Availability::Available,
            Phase::Ejected { until, .. } | Phase::Probing { until, .. } if now >= until => {
                Availability::Probe
            }
            Phase::Ejected { .. } | Phase::Probing { .. } => Availability::Ejected,
        }
    }

    /// Records that a request is sent. If a probe is due, this request is the probe: the target
    /// counts as ejected until the probe ends or its interval has passed.
    pub fn record_request(&mut self, now: Millis) {
        if self.availability(now) == Availability::Probe
            && let Phase::Ejected { interval, .. } | Phase::Probing { interval, .. } = self.phase
        {
            self.phase = Phase::Probing {
                until: now + interval,
                interval,
            };
        }
    }

    /// Records that a frame of an answer arrived.
    pub fn record_frame(&mut self, now: Millis) {
        self.last_frame = Some(now);
    }

    /// Records a successful request. It readmits an ejected target.
    pub fn record_success(&mut self, now: Millis) {
        self.record_frame(now);
        self.failures = 0;
        self.phase = Phase::Available;
    }

    /// Records a failure. A timeout does not count if a frame of an answer has arrived since the
    /// request was sent: the target is slow, but it works.
    pub fn record_failure(&mut self, failure: Failure, now: Millis) {
        if let Failure::Timeout(sent) = failure
            && self.last_frame.is_some_and(|at| at >= sent)
        {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        match self.phase {
            Phase::Available if self.failures >= self.options.failures => {
                self.eject(now, self.options.probe_min);
            }
            Phase::Probing { interval, .. } => {
                self.eject(now, (interval + interval).min(self.options.probe_max));
            }
            Phase::Available | Phase::Ejected { .. } => {}
        }
    }

    fn eject(&mut self, now: Millis, interval: Millis) {
        self.phase = Phase::Ejected {
            until: now + interval,
            interval,
        };
    }
}
