//! Forecast of accounts that are about to run out of tokens.
//!
//! The entry that draws compares what is left with the measured use; the others learn from its
//! replies. During a shortage nothing is lent in advance, borrowers return what they do not need at
//! once, and the requests are served by one entry in the order of [`last_tokens`](crate::last_tokens).

use cyc_types::{ClientAccountId, Millis, Tokens};

use crate::{Allocation, Allocations, Record};

/// An account runs short if the expected use in this time exceeds what is left: somewhat longer than
/// the requests that hold tokens run. With 12 s entries sent 15 % more messages for the same result.
pub const SHORTAGE_HORIZON: Millis = Millis::new(4_000);
/// Divisor of the prepaid total; less than that counts as short whatever the use: requests that are
/// refused are not measured as use.
const SHORT_DIVISOR: u64 = 50;
/// How long an entry relies on another one's forecast; each reply renews it.
const TOLD_TTL: Millis = Millis::new(4_000);

/// What the entry that draws knows of an account that is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Tokens left, whoever holds them.
    pub left: Tokens,
    /// Expected use in [`SHORTAGE_HORIZON`].
    pub expected_use: Tokens,
    /// The account runs short.
    pub is_short: bool,
}

/// Shortages.
impl Allocations {
    fn forecast_of(
        &self,
        allocation: &Allocation,
        record: &Record,
        paid: Tokens,
        now: Millis,
    ) -> Forecast {
        let undrawn = paid.saturating_sub(record.drawn);
        let left = undrawn
            + allocation.unspent()
            + self.held_elsewhere(record)
            + allocation.expected_returns(now);
        let expected_use =
            allocation.expected_use(SHORTAGE_HORIZON, now) + allocation.largest_request(now);
        let is_short = left < expected_use || left.get() < paid.get() / SHORT_DIVISOR;
        Forecast {
            left,
            expected_use,
            is_short,
        }
    }

    /// Forecast of an account whose record this entry has read.
    pub fn forecast(&self, account: &ClientAccountId, now: Millis) -> Option<Forecast> {
        let allocation = self.by_account.get(account)?;
        let (_, record) = allocation.last_record.as_ref()?;
        Some(self.forecast_of(allocation, record, allocation.paid?, now))
    }

    /// Returns true if the account is about to run out of tokens, by this entry's own forecast or by
    /// what another entry has told.
    pub fn is_short(&self, account: &ClientAccountId, now: Millis) -> bool {
        let forecast = self.forecast(account, now);
        self.is_told_short(account, now) || forecast.is_some_and(|forecast| forecast.is_short)
    }

    /// Returns true if another entry has told that the account runs short.
    pub(crate) fn is_told_short(&self, account: &ClientAccountId, now: Millis) -> bool {
        let until = self.told_short.get(account);
        until.is_some_and(|until| now < *until)
    }

    /// Records what another entry has told about the account.
    pub fn record_told_shortage(&mut self, account: &ClientAccountId, is_short: bool, now: Millis) {
        if is_short {
            self.told_short.insert(account.clone(), now + TOLD_TTL);
        } else {
            self.told_short.remove(account);
        }
    }

    /// Tokens that requests of all entries can still get, if this entry has read the record.
    pub fn left(&self, account: &ClientAccountId, now: Millis) -> Option<Tokens> {
        let allocation = self.by_account.get(account)?;
        let (_, record) = allocation.last_record.as_ref()?;
        Some(self.obtainable(allocation, record, allocation.paid?, now))
    }

    /// The prepaid total of the account, if it is used up and only a top-up can change that.
    pub fn exhausted_total(&self, account: &ClientAccountId) -> Option<Tokens> {
        let allocation = self.by_account.get(account)?;
        let is_exhausted = self.is_exhausted_for_good(allocation);
        allocation.paid.filter(|_| is_exhausted)
    }

    /// Returns true if another entry has told that some account runs short; forgets those of which
    /// it has not told lately.
    pub fn has_told_shortage(&mut self, now: Millis) -> bool {
        self.told_short.retain(|_, until| now < *until);
        !self.told_short.is_empty()
    }
}
