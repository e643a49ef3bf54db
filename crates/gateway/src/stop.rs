//! Admission of requests during a graceful shutdown.

use cyc_types::Millis;

/// Time after the signal during which all requests are still accepted: the platform needs two
/// failed readiness checks a second apart to route callers elsewhere.
pub const LINGER: Millis = Millis::new(2_500);

/// A graceful shutdown in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the signal arrived.
    pub since: Millis,
    /// When the process ends, even with requests in flight.
    pub end: Millis,
    /// The last request has ended; the process only returns its tokens.
    pub is_over: bool,
}

impl Stop {
    /// Returns true if a request that may take `longest` is accepted at `now`. After
    /// [`DEREGISTRATION_DELAY`] only requests that end before the process does are accepted.
    pub fn admits(&self, now: Millis, longest: Millis) -> bool {
        !self.is_over && (now < self.since + LINGER || now + longest < self.end)
    }
}
