//! Background tasks that maintain the state of the entry: configuration, targets, other entries,
//! prepaid tokens.

mod config;
mod evacuations;
mod grants;
mod heartbeats;
mod holders;
mod liveness;
mod loans;
mod news;
mod peer_call;
mod prepaid;
mod targets;

pub use config::watch_configuration;
pub use evacuations::watch_evacuations;
pub use grants::{acquire_grant, report_limits};
pub use heartbeats::exchange_heartbeats;
pub use holders::{learn_holders, leave_reports, report_holders};
pub use liveness::{BrokenAnswer, UnansweredPrompt, check_targets};
pub use loans::{LoanFailures, return_surplus, run_loans, run_token_returns};
pub use news::{compare_news, spread_news};
pub use peer_call::{PeerConnections, handle_peer_call};
pub use prepaid::{return_prepaid, run_prepaid};
pub use targets::watch_targets;

use cyc_types::{Backoff, Millis};

/// Maximum wait of one watch request: short, so that a connection lost without an error is noticed
/// before the next change is due.
pub const WATCH_WAIT: Millis = Millis::new(2_000);
/// First delay after a failed call to the store; it grows to [`RETRY_DELAY_MAX`].
pub const RETRY_DELAY_MIN: Millis = Millis::new(50);
/// Maximum delay between calls to a store that does not respond.
pub const RETRY_DELAY_MAX: Millis = Millis::new(400);

/// Backoff after failed calls, from [`RETRY_DELAY_MIN`] to [`RETRY_DELAY_MAX`].
#[derive(Debug)]
pub struct RetryDelay {
    backoff: Backoff,
    failures: u32,
    /// Delays of lists that replace a watch.
    relists: Backoff,
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self {
            backoff: Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX),
            failures: 0,
            relists: Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX),
        }
    }
}

impl RetryDelay {
    /// Resets the delay after a successful call, and returns the number of failures before it.
    pub fn reset(&mut self) -> u32 {
        self.backoff.reset();
        std::mem::take(&mut self.failures)
    }

    /// Counts a watch whose changes are gone or too large, and returns the delay before the list that
    /// replaces it. The delay grows until a watch succeeds, so that changes that are always too large
    /// cause no busy loop.
    pub fn next_relist_delay(&mut self) -> Millis {
        self.failures += 1;
        self.relists.next_delay()
    }

    /// Records that a watch succeeded.
    pub fn watch_succeeded(&mut self) {
        self.relists.reset();
    }

    /// Counts a failure and returns the delay before the next call.
    pub fn next_delay(&mut self) -> Millis {
        self.failures += 1;
        self.backoff.next_delay()
    }
}
