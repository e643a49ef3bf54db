//! A value that is seen only some time after it was set.

use std::collections::VecDeque;

use cyc_types::Millis;

/// Past values that are kept, so that the lag can be raised at run time.
const MAX_HISTORY: usize = 4_096;

/// The recent values of something, with the time at which each was set.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    /// Invariant: never empty, and ordered by time.
    history: VecDeque<(Millis, T)>,
}

impl<T: Clone + Default> Lagged<T> {
    /// Creates a history that starts with `first`, which is seen at once.
    pub fn new(first: T) -> Self {
        Self {
            history: VecDeque::from([(Millis::ZERO, first)]),
        }
    }

    /// Sets the value at the time `now`.
    pub fn set(&mut self, now: Millis, value: T) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, value));
    }

    /// Returns the value as it was `lag` before `now`.
    pub fn seen(&self, now: Millis, lag: Millis) -> T {
        let visible = |at: Millis| at == Millis::ZERO || at + lag <= now;
        let found = self.history.iter().rev().find(|(at, _)| visible(*at));
        let oldest = || self.history.front();
        found
            .or_else(oldest)
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    }

    /// Returns the newest value.
    pub fn newest(&self) -> T {
        let newest = self.history.back();
        newest.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}
