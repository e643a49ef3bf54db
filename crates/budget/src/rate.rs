//! Estimate of the rate at which an entry uses a budget.

use cyc_types::{Millis, PerSecond, Tokens};

/// Time after which the weight of a recorded use has decayed to 1/e.
const TIME_CONSTANT: Millis = Millis::new(5_000);

/// Exponentially decaying average of the tokens used per second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    per_second: f64,
    pub(crate) last_use: Option<Millis>,
}

impl Rate {
    pub(crate) fn record(&mut self, tokens: Tokens, now: Millis) {
        self.per_second = self.at(now).get() + tokens.get() as f64 / time_constant_seconds();
        self.last_use = Some(now);
    }

    pub(crate) fn at(&self, now: Millis) -> PerSecond {
        let age = self.last_use.map_or(0, |at| now.saturating_sub(at).get());
        let decay = (-(age as f64) / TIME_CONSTANT.get() as f64).exp();
        PerSecond::new(self.per_second * decay)
    }
}

fn time_constant_seconds() -> f64 {
    TIME_CONSTANT.get() as f64 / Millis::SECOND.get() as f64
}
