//! What waiting requests lack while the platform does not answer.

use cyc_types::{BudgetId, Millis, Tokens};

use crate::purse::Purse;

/// The tokens that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lack {
    /// The budget.
    pub budget: BudgetId,
    /// The fewest tokens with which one of them can go on.
    pub least: Tokens,
    /// The tokens with which all of them can.
    pub all: Tokens,
}

impl Purse {
    /// Returns what waiting requests lack, if the platform has been asked and has not answered
    /// for `silence`.
    pub fn lacks(&self, silence: Millis) -> Vec<Lack> {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        let is_silent = |since| now.saturating_sub(since) >= silence;
        if state.wallet.is_fenced() || !state.asking_since.is_some_and(is_silent) {
            return Vec::new();
        }
        state.waiting()
    }
}
