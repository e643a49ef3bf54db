//! Waiting between retries, with jitter.

use crate::clock::Millis;

/// A growing wait between retries: each at most twice the one before, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Millis,
    limit: Millis,
    next: Millis,
}

impl Backoff {
    /// Creates a backoff that starts at `first` and grows up to `limit`.
    pub fn new(first: Millis, limit: Millis) -> Self {
        Self {
            first,
            limit,
            next: first,
        }
    }

    /// Returns the next wait: between half and all of the current step, which then doubles.
    pub fn next_wait(&mut self) -> Millis {
        let step = self.next.get().max(2);
        self.next = Millis::new((step * 2).min(self.limit.get()));
        Millis::new(step / 2 + rand::random_range(0..=step / 2))
    }

    /// Starts again at the first step, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
