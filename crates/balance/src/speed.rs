//! The speed of targets, learnt from their own answers.
//!
//! The time to the first event of an answer is a delay plus the time to prefill the tokens that the
//! target did not have cached. A line through the recent answers of a target separates the two. It
//! is drawn towards the line through the answers of all targets of the service, so that a target
//! with few answers counts as a typical one, and that line towards the configured rate.

use cyc_types::Millis;

/// Time constant of the answers of a target: short enough to follow a target whose machine gets
/// other work for long.
const TIME_CONSTANT: Millis = Millis::new(15_000);
/// Weight of the typical line, in answers, at no tokens and at [`PRIOR_TOKENS`] each.
const PRIOR_ANSWERS: f64 = 6.0;
/// Size of a prompt at which the typical line is weighted: one prefill step or two.
const PRIOR_TOKENS: f64 = 4_000.0;
/// A single answer counts as at most this many times as slow or as fast as expected: prompts whose
/// cached parts were misjudged say little about the target.
const MAX_ANSWER_FACTOR: f64 = 4.0;
/// A learnt rate is at most this many times the typical one, or its inverse. Factors of 0.55 to 1.3
/// are seen.
const MAX_RATE_FACTOR: f64 = 3.0;
/// Longest learnt delay, in ms.
const MAX_DELAY_MS: f64 = 1_000.0;
/// Time constant with which a report of the pace loses its weight: spells of other work on a machine
/// last some 600 ms, so that one that is reported lasts 300 ms more in the mean.
const SPELL_TIME_CONSTANT: Millis = Millis::new(300);
/// The figure of a machine of usual speed.
const USUAL_PERCENT: f64 = 100.0;
/// Bounds of a reported factor.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Weight of a report below the usual factor.
const LOWER_WEIGHT: f64 = 0.5;
/// Weight of a report above it.
const HIGHER_WEIGHT: f64 = 0.03;

/// Delay and prefill rate of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Time to the first event without any prefill, in ms.
    pub delay_ms: f64,
    /// Time to prefill one token, in ms. Invariant: above zero.
    pub ms_per_token: f64,
}

impl Speed {
    /// The speed of a target that prefills `tokens_per_ms`.
    pub fn new(delay_ms: f64, tokens_per_ms: f64) -> Self {
        Self {
            delay_ms,
            ms_per_token: 1.0 / tokens_per_ms.max(f64::MIN_POSITIVE),
        }
    }

    /// Tokens prefilled in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        1.0 / self.ms_per_token
    }

    fn time_ms(&self, tokens: f64) -> f64 {
        self.delay_ms + tokens * self.ms_per_token
    }
}

/// What the recent answers of a target, or of all targets of a service, say about their speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedEstimate {
    sums: Sums,
    /// When `sums` were exact.
    at: Millis,
}

/// Sums over answers, for the line through them.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    answers: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    tokens_time: f64,
}

impl Sums {
    fn add(&mut self, weight: f64, tokens: f64, time_ms: f64) {
        self.answers += weight;
        self.tokens += weight * tokens;
        self.time += weight * time_ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_time += weight * tokens * time_ms;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            tokens: self.tokens * factor,
            time: self.time * factor,
            tokens_squared: self.tokens_squared * factor,
            tokens_time: self.tokens_time * factor,
        }
    }
}

impl SpeedEstimate {
    /// Records that the first event came `took_ms` after the request, when `tokens` had to be
    /// prefilled, converted to a machine of usual speed.
    pub fn record(&mut self, tokens: u64, took_ms: f64, typical: Speed, now: Millis) {
        let tokens = tokens as f64;
        let expected = typical.time_ms(tokens).max(1.0);
        let took = took_ms.clamp(expected / MAX_ANSWER_FACTOR, expected * MAX_ANSWER_FACTOR);
        self.sums = self.decayed(now);
        self.sums.add(1.0, tokens, took);
        self.at = now;
    }

    fn decayed(&self, now: Millis) -> Sums {
        let age = now.saturating_sub(self.at).get() as f64;
        self.sums.scaled((-age / TIME_CONSTANT.get() as f64).exp())
    }

    /// The speed at `now`, where `typical` is that of similar targets.
    pub fn get(&self, typical: Speed, now: Millis) -> Speed {
        let mut sums = self.decayed(now);
        sums.add(PRIOR_ANSWERS, 0.0, typical.delay_ms);
        sums.add(PRIOR_ANSWERS, PRIOR_TOKENS, typical.time_ms(PRIOR_TOKENS));
        let spread = sums.answers * sums.tokens_squared - sums.tokens * sums.tokens;
        let slope = (sums.answers * sums.tokens_time - sums.tokens * sums.time) / spread;
        let ms_per_token = slope.clamp(
            typical.ms_per_token / MAX_RATE_FACTOR,
            typical.ms_per_token * MAX_RATE_FACTOR,
        );
        let delay_ms = (sums.time - ms_per_token * sums.tokens) / sums.answers;
        Speed {
            delay_ms: delay_ms.clamp(0.0, MAX_DELAY_MS),
            ms_per_token,
        }
    }
}

/// How long work takes on a target's machine, relative to a machine of usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The factor without other work on the machine. Invariant: above zero.
    pub usual: f64,
    /// The last reported factor.
    pub reported: f64,
    /// The chance that the machine still does what it did at the report.
    pub kept: f64,
}

impl Pace {
    /// The pace of a target that has not reported any.
    pub fn unknown(usual: f64) -> Self {
        Self {
            usual,
            reported: usual,
            kept: 0.0,
        }
    }

    /// The expected factor.
    pub fn expected(&self) -> f64 {
        self.usual + (self.reported - self.usual) * self.kept
    }
}

/// The pace of a target, from its reports.
#[derive(Debug, Clone, Copy)]
pub struct PaceEstimate {
    usual: f64,
    reported: f64,
    at: Millis,
}

impl PaceEstimate {
    /// Creates the estimate from a first report: the time that work takes, in percent of that on a
    /// machine of usual speed.
    pub fn new(percent: u32, now: Millis) -> Self {
        let factor = factor(percent);
        Self {
            usual: factor,
            reported: factor,
            at: now,
        }
    }

    /// Records a report. Other work only slows a machine down, so that the usual factor follows low
    /// reports at once and high ones slowly.
    pub fn record(&mut self, percent: u32, now: Millis) {
        let factor = factor(percent);
        let weight = match factor < self.usual {
            true => LOWER_WEIGHT,
            false => HIGHER_WEIGHT,
        };
        self.usual += (factor - self.usual) * weight;
        self.reported = factor;
        self.at = now;
    }

    /// The last reported factor relative to the usual one.
    pub fn ratio(&self) -> f64 {
        self.reported / self.usual
    }

    /// The factor without other work on the machine.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// The pace at `now`.
    pub fn get(&self, now: Millis) -> Pace {
        let age = now.saturating_sub(self.at).get() as f64;
        Pace {
            usual: self.usual,
            reported: self.reported,
            kept: (-age / SPELL_TIME_CONSTANT.get() as f64).exp(),
        }
    }
}

fn factor(percent: u32) -> f64 {
    let (least, most) = FACTOR_BOUNDS;
    (f64::from(percent) / USUAL_PERCENT).clamp(least, most)
}
