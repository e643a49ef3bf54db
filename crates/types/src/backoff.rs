//! Exponential backoff with jitter.

use crate::clock::Millis;

/// An exponential backoff: the upper bound of the delay doubles with each retry up to a maximum,
/// and the delay is random in the upper half of the bound.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Millis,
    max: Millis,
    next_bound: Millis,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `initial` and grows up to `max`.
    pub fn new(initial: Millis, max: Millis) -> Self {
        Self {
            initial,
            max,
            next_bound: initial,
        }
    }

    /// Returns the delay before the next retry, between half and all of the current bound, and
    /// doubles the bound.
    pub fn next_delay(&mut self) -> Millis {
        let bound = self.next_bound.get().max(2);
        self.next_bound = Millis::new((bound * 2).min(self.max.get()));
        Millis::new(bound / 2 + rand::random_range(0..=bound / 2))
    }

    /// Resets the bound to its initial value; called after a success.
    pub fn reset(&mut self) {
        self.next_bound = self.initial;
    }
}
