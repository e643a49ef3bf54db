//! Retry budget per service: this entry's part of the retries that all entries together may send.
//!
//! The budget applies to sliding windows: each entry keeps the times of its retries and first
//! attempts in the window that ends now, and compares their numbers. A window that ends later may
//! therefore contain a retry without the first attempts that allowed it.

use std::collections::{HashMap, VecDeque};

use cyc_types::{Millis, ServiceId};

/// The retry budget of all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Millis,
    /// Retries per window that are allowed regardless of first attempts.
    pub extra: f64,
}

/// Part of [`Options::extra`] that entries use. The rest is a margin, because the number of entries
/// is known only roughly while some of them start.
const EXTRA_FRACTION: f64 = 0.6;

#[derive(Debug, Default)]
struct ServiceCounter {
    first_attempts: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl ServiceCounter {
    fn evict(&mut self, now: Millis, window: Millis) {
        let is_old = |at: &Millis| now.saturating_sub(*at) > window;
        while self.first_attempts.front().is_some_and(is_old) {
            self.first_attempts.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}

/// Retry budget of this entry, by service.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    counters: HashMap<ServiceId, ServiceCounter>,
}

impl RetryBudget {
    /// Creates a budget without recorded attempts.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            counters: HashMap::new(),
        }
    }

    /// Changes the limits.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, service: &ServiceId, now: Millis) {
        let counter = self.counters.entry(service.clone()).or_default();
        counter.evict(now, self.options.window);
        counter.first_attempts.push_back(now);
    }

    /// Takes one retry if this entry's own first attempts and its part of the extra retries, which
    /// `entries` share, allow it.
    pub fn take(&mut self, service: &ServiceId, entries: usize, now: Millis) -> bool {
        let counter = self.counters.entry(service.clone()).or_default();
        counter.evict(now, self.options.window);
        let extra = self.options.extra * EXTRA_FRACTION / entries.max(1) as f64;
        let allowed = counter.first_attempts.len() as f64 * self.options.ratio + extra;
        if counter.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counter.retries.push_back(now);
        true
    }
}
