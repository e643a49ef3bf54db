//! Payments, as the operators' command counts them.

use cyc_store::{Error, Platform};
use cyc_types::{BudgetId, ClientAccountId, Millis, Tokens};
use smol_str::SmolStr;

use crate::{
    batch,
    op::{Applied, Op, OpError},
};

/// How often a top-up is tried before the operator is told to repeat it.
const ATTEMPTS: u32 = 5;

/// Why a top-up was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopUpError {
    /// The shard refused it; it has had no effect.
    Refused(OpError),
    /// It may or may not have taken effect. It is safe to repeat it with the same id.
    Unconfirmed(Error),
}

impl std::fmt::Display for TopUpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "the top-up was refused: {error}"),
            Self::Unconfirmed(error) => {
                write!(
                    f,
                    "repeat the top-up with the same id, it is unconfirmed: {error}"
                )
            }
        }
    }
}

impl std::error::Error for TopUpError {}

/// A payment to be counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payment {
    /// The budget.
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

/// Counts a payment for the operators' command; creates the budget if it is absent.
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
    batch::apply_now(platform, shards, &op, ATTEMPTS)
        .await
        .map_err(TopUpError::Unconfirmed)?
        .map_err(TopUpError::Refused)
}
