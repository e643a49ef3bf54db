//! A value whose readers see its updates with a configurable delay.

use std::collections::VecDeque;

use cyc_types::Millis;

/// Number of values kept, so that the lag can be raised at run time.
const MAX_HISTORY: usize = 4_096;

/// The recent values of a variable, with the time at which each was set.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    /// Invariant: not empty, and ordered by time.
    history: VecDeque<(Millis, T)>,
}

impl<T: Clone + Default> Lagged<T> {
    /// Creates a history that starts with `first`, which is visible immediately.
    pub fn new(first: T) -> Self {
        Self {
            history: VecDeque::from([(Millis::ZERO, first)]),
        }
    }

    /// Records `value` as set at `now`; `now` must not decrease between calls.
    pub fn set(&mut self, now: Millis, value: T) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, value));
    }

    /// The value as it was `lag` before `now`, or the oldest one kept if the history is shorter.
    pub fn visible(&self, now: Millis, lag: Millis) -> T {
        let is_visible = |at: Millis| at == Millis::ZERO || at + lag <= now;
        let found = self.history.iter().rev().find(|(at, _)| is_visible(*at));
        let oldest = || self.history.front();
        found
            .or_else(oldest)
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    }

    /// The value set last, regardless of the lag.
    pub fn latest(&self) -> T {
        let latest = self.history.back();
        latest.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}
