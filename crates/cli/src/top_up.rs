//! `cyclamen topup`: pays tokens into a budget.

use std::{net::SocketAddr, num::NonZeroU64};

use cyc_budget::{Applied, Payment, SHARDS, TopUpError, top_up};
use cyc_store::HttpPlatform;
use cyc_types::{BudgetId, ClientAccountId, Clock, Tokens};
use serde_json::json;

use crate::{
    flags::Topup,
    input,
    output::{Exit, Output},
};

/// Pays tokens into a budget. The payment's id makes repetitions idempotent.
pub async fn run(flags: &Topup, as_json: bool) -> Output {
    let (payment, addr) = match parse_flags(flags) {
        Ok(input) => input,
        Err(error) => return error.into(),
    };
    let Payment {
        budget, id, tokens, ..
    } = payment.clone();
    match top_up(&HttpPlatform::new(addr), SHARDS, payment).await {
        Ok(applied) => {
            let is_new = matches!(applied, Applied::Now(_));
            if as_json {
                let value = json!({ "budget": budget, "id": id, "tokens": tokens, "new": is_new });
                return Output::new(Exit::Ok, value.to_string());
            }
            let text = match is_new {
                true => format!("payment {id} of {tokens} tokens is counted for {budget}"),
                false => format!("payment {id} was counted before; {budget} got nothing more"),
            };
            Output::new(Exit::Ok, text)
        }
        Err(error @ TopUpError::Refused(_)) => Output::error(Exit::Refused, error.to_string()),
        Err(error @ TopUpError::Unconfirmed(_)) => {
            Output::error(Exit::Unavailable, error.to_string())
        }
    }
}

fn parse_flags(flags: &Topup) -> Result<(Payment, SocketAddr), input::Error> {
    let budget: BudgetId = input::parse_id("budget", &flags.budget)?;
    let account: ClientAccountId = input::parse_id("--account", &flags.account)?;
    // There is no id type for payments; their syntax is that of the other ids.
    let id: BudgetId = input::parse_id("--id", &flags.id)?;
    let allowed = "a whole number from 1";
    let tokens: NonZeroU64 = input::parse("tokens", &flags.tokens, allowed)?;
    let payment = Payment {
        budget,
        account,
        id: id.as_str().into(),
        tokens: Tokens::new(tokens.get()),
        at: Clock::System.wall_time(),
    };
    Ok((payment, input::parse_platform(&flags.platform)?))
}
