//! Ejection of targets that fail, and their way back.

use cyc_types::Millis;

/// Whether a target may get requests. The order is that of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// As usual.
    Open,
    /// One request may find out whether it works again.
    Probe,
    /// None, unless all others are ejected too.
    Ejected,
}

/// What went wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made.
    NotReached,
    /// The target answered with a failure of its own.
    TargetFailed,
    /// No answer came to a request that was sent at this time.
    Timeout(Millis),
}

/// When targets are ejected.
#[derive(Debug, Clone)]
pub struct Options {
    /// Consecutive failures that eject. Invariant: at least 1.
    pub failures: u32,
    /// Time from the ejection to the first probe.
    pub probe_min: Millis,
    /// The longest time between probes; it doubles from the first one.
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
    Open,
    Ejected {
        until: Millis,
        interval: Millis,
    },
    /// A probe is under way; after `until` it is taken for lost.
    Probing {
        until: Millis,
        interval: Millis,
    },
}

/// The health of one target, from the requests of this entry.
#[derive(Debug, Clone)]
pub struct Health {
    options: Options,
    failures: u32,
    /// The last frame of an answer.
    sign: Option<Millis>,
    phase: Phase,
}

impl Health {
    /// Creates the health of a target that is open.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            failures: 0,
            sign: None,
            phase: Phase::Open,
        }
    }

    /// Returns whether the target may get requests.
    pub fn standing(&self, now: Millis) -> Standing {
        match self.phase {
            Phase::Open => Standing::Open,
            Phase::Ejected { until, .. } | Phase::Probing { until, .. } if now >= until => {
                Standing::Probe
            }
            Phase::Ejected { .. } | Phase::Probing { .. } => Standing::Ejected,
        }
    }

    /// Notes that a request is sent. For a target to be probed it is the probe: others wait.
    pub fn start(&mut self, now: Millis) {
        if self.standing(now) == Standing::Probe
            && let Phase::Ejected { interval, .. } | Phase::Probing { interval, .. } = self.phase
        {
            self.phase = Phase::Probing {
                until: now + interval,
                interval,
            };
        }
    }

    /// Notes a sign of life: a frame of an answer.
    pub fn alive(&mut self, now: Millis) {
        self.sign = Some(now);
    }

    /// Notes a request that ended well. An ejected target is open again.
    pub fn succeed(&mut self, now: Millis) {
        self.alive(now);
        self.failures = 0;
        self.phase = Phase::Open;
    }

    /// Notes a failure. A timeout does not count if the target has given a sign of life since the
    /// request was sent: it is slow, but it works.
    pub fn fail(&mut self, failure: Failure, now: Millis) {
        if let Failure::Timeout(sent) = failure
            && self.sign.is_some_and(|sign| sign >= sent)
        {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        match self.phase {
            Phase::Open if self.failures >= self.options.failures => {
                self.eject(now, self.options.probe_min);
            }
            Phase::Probing { interval, .. } => {
                self.eject(now, (interval + interval).min(self.options.probe_max));
            }
            Phase::Open | Phase::Ejected { .. } => {}
        }
    }

    fn eject(&mut self, now: Millis, interval: Millis) {
        self.phase = Phase::Ejected {
            until: now + interval,
            interval,
        };
    }
}
