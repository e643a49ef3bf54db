//! Faults of the engine that can be switched at run time.

use cyc_types::Millis;
use serde::{Deserialize, Serialize};

/// The faults in force. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many chat requests the faults of answers apply to; `None` means all.
    pub times: Option<u64>,
    /// Starts the run and never sends the head of the answer.
    pub hang: bool,
    /// Answers 503 without starting the run.
    pub refuse: bool,
    /// Starts the run and answers with this status in place of an answer.
    pub status: Option<u16>,
    /// Sends the head of the answer this much late.
    pub late: Millis,
    /// Additional time for each token.
    pub token_delay: Millis,
    /// Breaks the connection after so many tokens of the answer.
    pub break_after: Option<u64>,
    /// Ends the answer cleanly but without its end marker after so many tokens.
    pub truncate_after: Option<u64>,
    /// Stays silent after so many tokens of the answer.
    pub stall_after: Option<u64>,
    /// Sends id and text of another answer.
    pub crossed: bool,
    /// How far the load report lags. `times` does not matter for it.
    pub load_lag: Millis,
    /// How late cache events are published. `times` does not matter for it.
    pub events_late: Millis,
    /// Cache events whose number is a multiple of this are never published; zero loses none.
    /// `times` does not matter for it.
    pub events_lost_every: u64,
}

impl Faults {
    /// Returns the faults for the next chat request and counts it.
    pub(super) fn take(&mut self) -> Self {
        match &mut self.times {
            None => self.clone(),
            Some(0) => Self::default(),
            Some(rest) => {
                *rest -= 1;
                self.clone()
            }
        }
    }
}
