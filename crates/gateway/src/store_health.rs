//! Reachability of the store, from the outcomes of this entry's calls.

use cyc_types::Millis;

/// Consecutive failed calls that count as an outage; a single one may be a lost connection.
const OUTAGE_FAILURES: u32 = 2;

/// The calls that have failed since the last successful one.
#[derive(Debug, Clone, Copy)]
struct Failing {
    since: Millis,
    calls: u32,
}

/// Whether the store answers this entry.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    failing: Option<Failing>,
}

impl StoreHealth {
    /// Records a call that the store answered.
    pub fn record_success(&mut self) {
        self.failing = None;
    }

    /// Records a call that was refused, had no answer or could not be sent.
    pub fn record_failure(&mut self, now: Millis) {
        let failing = self.failing.get_or_insert(Failing {
            since: now,
            calls: 0,
        });
        failing.calls += 1;
    }

    /// Length so far of the current outage, if there is one.
    pub fn outage(&self, now: Millis) -> Option<Millis> {
        let failing = self.failing?;
        (failing.calls >= OUTAGE_FAILURES).then(|| now.saturating_sub(failing.since))
    }
}
