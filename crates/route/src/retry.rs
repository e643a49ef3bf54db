//! When to send a request again.

use std::collections::VecDeque;

use cyc_types::Millis;

/// Latencies that a hedge needs before it decides anything.
const MIN_SAMPLES: usize = 20;
/// Latencies that are kept.
const MAX_SAMPLES: usize = 256;
/// The share of requests that are faster than the hedge delay, in percent.
const HEDGE_PERCENT: usize = 95;

/// Bounds retries to a share of the requests, so that they cannot multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    /// Retries that may be sent now. Invariant: between 0 and `most`.
    left: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries a request, with at most `most` saved up, all of them
    /// at the start.
    pub fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            left: most,
        }
    }

    /// Notes a first attempt.
    pub fn request(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one retry. Returns false if the budget has none left.
    pub fn retry(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Decides when an idempotent look-up is sent to a second target as well.
#[derive(Debug, Clone, Default)]
pub struct Hedge {
    recent: VecDeque<Millis>,
}

impl Hedge {
    /// Creates a hedge without latencies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the latency of a look-up.
    pub fn note(&mut self, latency: Millis) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// Returns the 95th percentile of the recent latencies, once there are enough of them.
    pub fn delay(&self) -> Option<Millis> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Millis> = self.recent.iter().copied().collect();
        let rank = (sorted.len() * HEDGE_PERCENT).div_ceil(100) - 1;
        Some(*sorted.select_nth_unstable(rank).1)
    }

    /// Decides whether to send a second attempt of a request that waits since `elapsed`; takes it
    /// from the retry budget.
    pub fn is_due(&self, idempotent: bool, elapsed: Millis, budget: &mut RetryBudget) -> bool {
        idempotent && self.delay().is_some_and(|delay| elapsed >= delay) && budget.retry()
    }
}
