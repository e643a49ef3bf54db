//! Sums whose parts lose weight exponentially with their age.

use crate::Millis;

/// A sum of amounts, each weighted with `exp(-age / time constant)`.
///
/// At a steady rate the sum is that rate times the time constant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSum {
    sum: f64,
    /// When `sum` was exact.
    at: Millis,
}

impl DecayingSum {
    /// The sum at `now`.
    pub fn get(&self, time_constant: Millis, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at).get() as f64;
        self.sum * (-age / time_constant.get() as f64).exp()
    }

    /// Adds an amount; a negative one takes back an earlier one. The sum is never negative.
    pub fn add(&mut self, amount: f64, time_constant: Millis, now: Millis) {
        self.sum = (self.get(time_constant, now) + amount).max(0.0);
        self.at = now;
    }
}
