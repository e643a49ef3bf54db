//! Retry budget and hedged requests.

use std::collections::VecDeque;

use cyc_types::Millis;

/// Latency samples that are needed before any request is hedged.
const MIN_SAMPLES: usize = 20;
/// Latency samples that are kept; the oldest are dropped first.
const MAX_SAMPLES: usize = 256;
/// Percentile of the recent latencies that is used as the hedge delay.
const HEDGE_PERCENTILE: usize = 95;

/// Limits retries to a fraction of the requests, so that they cannot amplify an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    /// Retries that may be sent now. Invariant: between 0 and `capacity`.
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `ratio` retries per request, up to `capacity`.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            capacity,
            available: capacity,
        }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.available = (self.available + self.ratio).min(self.capacity);
    }

    /// Takes one retry. Returns false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Decides when an idempotent request is also sent to a second target.
#[derive(Debug, Clone, Default)]
pub struct Hedge {
    recent: VecDeque<Millis>,
}

impl Hedge {
    /// Creates a hedge without latency samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&mut self, latency: Millis) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// Returns the 95th percentile of the recent latencies; `None` with too few samples.
    pub fn delay(&self) -> Option<Millis> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Millis> = self.recent.iter().copied().collect();
        let rank = (sorted.len() * HEDGE_PERCENTILE).div_ceil(100) - 1;
        Some(*sorted.select_nth_unstable(rank).1)
    }

    /// Decides whether to hedge a request that has waited for `elapsed`. A hedged request takes one
    /// retry from the budget.
    pub fn try_hedge(&self, idempotent: bool, elapsed: Millis, budget: &mut RetryBudget) -> bool {
        idempotent && self.delay().is_some_and(|delay| elapsed >= delay) && budget.try_take()
    }
}
