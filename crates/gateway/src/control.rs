//! The controllers that keep the entry's state: configuration, list of targets, other entries,
//! prepaid tokens.

mod config;
mod loans;
mod shares;
mod signs;
mod targets;

pub use config::follow_configuration;
pub use loans::{Links, answer_entry, give_back, keep_giving_back, keep_loans};
pub use shares::{keep_shares, return_shares};
pub use signs::follow_entries;
pub use targets::follow_targets;

use cyc_types::{Backoff, Millis};

/// How long one watch waits: short, so that a connection that has gone silent is noticed before
/// a change is due.
pub const WATCH_WAIT: Millis = Millis::new(2_000);
/// Pause after a failed call to the store; it grows to [`PAUSE_MAX`].
pub const PAUSE_MIN: Millis = Millis::new(50);
/// The longest pause between calls to a store that does not answer.
pub const PAUSE_MAX: Millis = Millis::new(400);

/// The pause after failed calls, from [`PAUSE_MIN`] to [`PAUSE_MAX`].
#[derive(Debug)]
pub struct Pause {
    backoff: Backoff,
    failures: u32,
}

impl Default for Pause {
    fn default() -> Self {
        Self {
            backoff: Backoff::new(PAUSE_MIN, PAUSE_MAX),
            failures: 0,
        }
    }
}

impl Pause {
    /// Notes a call that was answered, and returns the number of failures before it.
    pub fn reset(&mut self) -> u32 {
        self.backoff.reset();
        std::mem::take(&mut self.failures)
    }

    /// Notes a failure and returns how long to wait.
    pub fn grow(&mut self) -> Millis {
        self.failures += 1;
        self.backoff.next_wait()
    }
}
