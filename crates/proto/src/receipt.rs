//! Grant ids and receipts, as exchanged between processes and stored in the ledger.

use std::{fmt, str::FromStr};

use cyc_types::{
    BudgetId, ClientAccountId, Incarnation, Millis, RequestId, ServiceId, Tokens,
    size::ParseValueError,
};
use serde::{Deserialize, Serialize};

/// Identifies a grant by its budget and the incarnation that drew it.
///
/// A holder has at most one grant of each budget. Text form: `budget/vm@number`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The budget that the tokens were drawn from.
    pub budget: BudgetId,
    /// The incarnation that drew the grant. It stays the holder when another incarnation spends
    /// from the grant after a loan.
    pub holder: Incarnation,
}

impl fmt::Display for GrantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.budget, self.holder)
    }
}

impl FromStr for GrantId {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || ParseValueError {
            expected_type: "GrantId",
            input: text.into(),
        };
        let (budget, holder) = text.split_once('/').ok_or_else(wrong)?;
        Ok(Self {
            budget: budget.parse()?,
            holder: holder.parse()?,
        })
    }
}

/// The record of what one run of a request is billed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The request. The ledger merge bills each request id once.
    pub request: RequestId,
    /// The client account that is billed.
    pub account: ClientAccountId,
    /// The grant that pays.
    pub grant: GrantId,
    /// The entry incarnation that started the run and settles the receipt.
    pub entry: Incarnation,
    /// The attempt number, unique within that entry.
    pub attempt: u64,
    /// The service that ran.
    pub service: ServiceId,
    /// The tokens used. Invariant: at most the tokens that were reserved for the run.
    pub tokens: Tokens,
    /// Wall-clock time at the end of the run. Used only to assign the receipt to a month in
    /// reports.
    pub at: Millis,
}
