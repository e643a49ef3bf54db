//! Admission of requests during a graceful shutdown.

use cyc_types::Millis;

/// Time after the signal during which all requests are still accepted: the platform needs two
/// failed readiness checks a second apart to route callers elsewhere.
pub const DEREGISTRATION_DELAY: Millis = Millis::new(2_500);

/// A graceful shutdown in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When the signal arrived.
    pub since: Millis,
    /// When the process ends, even with requests in flight.
    pub end: Millis,
    /// The last request has ended; the process only returns its tokens.
    pub is_finished: bool,
}

impl Shutdown {
    /// Returns true if a request that may take `max_duration` is accepted at `now`. After
    /// [`DEREGISTRATION_DELAY`] only requests that end before the process does are accepted.
    pub fn admits(&self, now: Millis, max_duration: Millis) -> bool {
        !self.is_finished
            && (now < self.since + DEREGISTRATION_DELAY || now + max_duration < self.end)
    }
}
