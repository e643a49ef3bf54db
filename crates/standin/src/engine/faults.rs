//! Injected faults of the engine, which can be changed at run time.

use cyc_types::Millis;
use serde::{Deserialize, Serialize};

/// The active faults. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of further chat requests that the answer faults apply to; `None` means all.
    pub times: Option<u64>,
    /// Starts the run and never sends the response head.
    pub hang: bool,
    /// Responds with 503 without starting the run.
    pub refuse: bool,
    /// Starts the run and responds with this status and an error body.
    pub status: Option<u16>,
    /// Delay before the response head is sent.
    pub late: Millis,
    /// Additional time per token.
    pub token_delay: Millis,
    /// Aborts the connection after this many tokens of the response.
    pub break_after: Option<u64>,
    /// Ends the response cleanly but without its end marker after this many tokens.
    pub truncate_after: Option<u64>,
    /// Sends nothing further after this many tokens of the response, connection open.
    pub stall_after: Option<u64>,
    /// Sends the id and the text of a different answer.
    pub crossed: bool,
    /// Lag of the load report. Not limited by `times`.
    pub load_lag: Millis,
    /// Delay before cache events are published. Not limited by `times`.
    pub events_late: Millis,
    /// Cache events whose sequence number is a multiple of this are never published; zero drops
    /// none. Not limited by `times`.
    pub events_lost_every: u64,
}

impl Faults {
    /// The faults that apply to the next chat request; decrements `times`.
    pub(super) fn consume(&mut self) -> Self {
        match &mut self.times {
            None => self.clone(),
            Some(0) => Self::default(),
            Some(remaining) => {
                *remaining -= 1;
                self.clone()
            }
        }
    }
}
