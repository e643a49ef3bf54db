//! Shortfalls of waiting requests while the platform does not answer, to be covered by peer loans.

use cyc_types::{BudgetId, Millis, Tokens};

use crate::wallet_handle::WalletHandle;

/// Tokens of one budget that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens that the smallest waiting request needs.
    pub smallest_request: Tokens,
    /// Tokens that all waiting requests need together.
    pub total: Tokens,
}

impl WalletHandle {
    /// Returns the shortfalls by budget if a call to the platform has been unanswered for at least
    /// `unanswered_for`, and nothing otherwise or once fenced.
    pub fn shortfalls(&self, unanswered_for: Millis) -> Vec<Shortfall> {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        let is_overdue = |since| now.saturating_sub(since) >= unanswered_for;
        if state.wallet.is_fenced() || !state.unanswered_since.is_some_and(is_overdue) {
            return Vec::new();
        }
        state.shortfalls()
    }
}
