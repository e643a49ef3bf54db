//! The estimate of the rate at which an entry uses a budget.

use cyc_types::{Millis, PerSecond, Tokens};

/// The time constant of the estimate.
const RATE_WINDOW: Millis = Millis::new(5_000);

/// An exponentially weighted rate of use.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    per_second: f64,
    pub(crate) since: Option<Millis>,
}

impl Rate {
    pub(crate) fn record(&mut self, tokens: Tokens, now: Millis) {
        self.per_second = self.at(now).get() + tokens.get() as f64 / window_seconds();
        self.since = Some(now);
    }

    pub(crate) fn at(&self, now: Millis) -> PerSecond {
        let age = self.since.map_or(0, |at| now.saturating_sub(at).get());
        let decay = (-(age as f64) / RATE_WINDOW.get() as f64).exp();
        PerSecond::new(self.per_second * decay)
    }
}

fn window_seconds() -> f64 {
    RATE_WINDOW.get() as f64 / Millis::SECOND.get() as f64
}
