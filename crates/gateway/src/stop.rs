//! Which requests are still taken during a planned stop.

use cyc_types::Millis;

/// How long after the signal everything is taken as before: the platform needs two missed
/// questions a second apart to send callers elsewhere.
pub const LINGER: Millis = Millis::new(2_500);

/// A planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the signal came.
    pub since: Millis,
    /// When the process ends, with or without the requests in flight.
    pub end: Millis,
    /// The last request has ended; the process only returns its tokens.
    pub is_over: bool,
}

impl Stop {
    /// Returns true if a request that may last for `longest` is taken at `now`. After
    /// [`LINGER`] only those are that end before the process does.
    pub fn admits(&self, now: Millis, longest: Millis) -> bool {
        !self.is_over && (now < self.since + LINGER || now + longest < self.end)
    }
}
