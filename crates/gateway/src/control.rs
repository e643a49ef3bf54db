//! Background tasks that maintain the state of the entry: configuration, targets, other entries,
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

/// Maximum wait of one watch request: short, so that a silently dead connection is noticed before
/// the next change is due.
pub const WATCH_WAIT: Millis = Millis::new(2_000);
/// First delay after a failed call to the store; it grows to [`RETRY_DELAY_MAX`].
pub const PAUSE_MIN: Millis = Millis::new(50);
/// Maximum delay between calls to a store that does not respond.
pub const PAUSE_MAX: Millis = Millis::new(400);

/// Backoff after failed calls, from [`RETRY_DELAY_MIN`] to [`RETRY_DELAY_MAX`].
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
    /// Resets the delay after a successful call, and returns the number of failures before it.
    pub fn reset(&mut self) -> u32 {
        self.backoff.reset();
        std::mem::take(&mut self.failures)
    }

    /// Counts a failure and returns the delay before the next call.
    pub fn grow(&mut self) -> Millis {
        self.failures += 1;
        self.backoff.next_wait()
    }
}
