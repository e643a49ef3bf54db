//! This entry's part of the repeats that all entries together may send to a service.
//!
//! The bound counts over sliding windows, so each entry keeps the times of its repeats in the last
//! window and compares them with its own first sends in that window or the one before.

use std::collections::{HashMap, VecDeque};

use cyc_types::{Millis, ServiceId};

/// The bound for all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeats per first send.
    pub ratio: f64,
    /// The span that is counted over.
    pub window: Millis,
    /// Repeats in a window that are allowed without any first send.
    pub extra: f64,
}

/// The part of [`Options::extra`] that is used: the number of entries is known only roughly while
/// some of them start.
const EXTRA_USED: f64 = 0.6;

#[derive(Debug, Default)]
struct Counter {
    firsts: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Counter {
    fn evict(&mut self, now: Millis, window: Millis) {
        let is_old = |at: &Millis| now.saturating_sub(*at) > window;
        while self.firsts.front().is_some_and(is_old) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}

/// The repeats of this entry, by service.
#[derive(Debug)]
pub struct Repeats {
    options: Options,
    counters: HashMap<ServiceId, Counter>,
}

impl Repeats {
    /// Creates the counters.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            counters: HashMap::new(),
        }
    }

    /// Changes the bound.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Notes the first send of a request.
    pub fn first(&mut self, service: &ServiceId, now: Millis) {
        let counter = self.counters.entry(service.clone()).or_default();
        counter.evict(now, self.options.window);
        counter.firsts.push_back(now);
    }

    /// Takes one repeat, if this entry's part of `entries` has one left.
    pub fn take(&mut self, service: &ServiceId, entries: usize, now: Millis) -> bool {
        let counter = self.counters.entry(service.clone()).or_default();
        counter.evict(now, self.options.window);
        let extra = self.options.extra * EXTRA_USED / entries.max(1) as f64;
        let allowed = counter.firsts.len() as f64 * self.options.ratio + extra;
        if counter.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counter.repeats.push_back(now);
        true
    }
}
