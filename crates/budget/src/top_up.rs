//! Top-ups of budgets by the operators' command.

use cyc_store::{Error, Platform};
use cyc_types::{BudgetId, ClientAccountId, Millis, Tokens};
use smol_str::SmolStr;

use crate::{
    batch,
    op::{Applied, Op, OpError},
};

/// Attempts to write a top-up before the operator is told to repeat it.
const MAX_ATTEMPTS: u32 = 5;

/// Why a top-up was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopUpError {
    /// The shard refused the top-up, which has had no effect.
    Refused(OpError),
    /// The top-up may or may not have taken effect. Repeating it with the same id is safe.
    Unconfirmed(Error),
}

impl std::fmt::Display for TopUpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "the top-up was refused: {error}"),
            Self::Unconfirmed(error) => {
                write!(
                    f,
                    "the top-up is unconfirmed, repeat it with the same id: {error}"
                )
            }
        }
    }
}

impl std::error::Error for TopUpError {}

/// A payment to be added to a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payment {
    /// The budget that is topped up.
    pub budget: BudgetId,
    /// The client account that pays.
    pub account: ClientAccountId,
    /// The operator's id of the payment.
    pub id: SmolStr,
    /// The tokens paid for.
    pub tokens: Tokens,
    /// Wall-clock time, for reports only.
    pub at: Millis,
}

/// Adds a payment to a budget, which is created if it is absent.
///
/// # Errors
/// See [`TopUpError`].
pub async fn top_up(
    platform: &dyn Platform,
    shards: u32,
    payment: Payment,
) -> Result<Applied, TopUpError> {
    let op = Op::TopUp {
        budget: payment.budget,
        account: payment.account,
        id: payment.id,
        tokens: payment.tokens,
        at: payment.at,
    };
    batch::apply_now(platform, shards, &op, MAX_ATTEMPTS)
        .await
        .map_err(TopUpError::Unconfirmed)?
        .map_err(TopUpError::Refused)
}
