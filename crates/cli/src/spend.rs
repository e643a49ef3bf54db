//! The spend report.

use std::net::SocketAddr;

use cyc_ledger::{
    month::Month,
    report::{self, Report},
};
use cyc_store::{Error, HttpPlatform};
use cyc_types::ClientAccountId;
use serde_json::json;

use crate::output::{Exit, Output};

/// What the report is about; `None` for everything.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The client account.
    pub account: Option<ClientAccountId>,
    /// The month.
    pub month: Option<Month>,
}

/// Prints the spend report, made from the platform's objects.
pub async fn spend(addr: SocketAddr, options: &Options, as_json: bool) -> Output {
    let objects = match report::collect(&HttpPlatform::new(addr)).await {
        Ok(objects) => objects,
        Err(error) => return platform_error(addr, &error),
    };
    let mut report = report::report(&objects);
    if let Some(account) = &options.account
        && !report.accounts.contains_key(account)
    {
        let why = format!("account `{account}` has no budget that was topped up");
        return Output::error(Exit::Refused, why);
    }
    keep(&mut report, options);
    let text = if as_json {
        json!({ "balanced": is_balanced(&report), "accounts": report.accounts }).to_string()
    } else {
        report.to_string().trim_end().to_owned()
    };
    if is_balanced(&report) {
        return Output::new(Exit::Ok, text);
    }
    Output {
        exit: Exit::Refused,
        out: text,
        err: String::from("the sums do not add up; keep the platform's objects for a check"),
    }
}

/// Leaves out what the options do not ask for. The balance is of now, whatever the month.
fn keep(report: &mut Report, options: &Options) {
    if let Some(only) = &options.account {
        report.accounts.retain(|account, _| account == only);
    }
    if let Some(only) = options.month {
        for account in report.accounts.values_mut() {
            account.months.retain(|month, _| *month == only);
        }
    }
}

fn is_balanced(report: &Report) -> bool {
    let mut accounts = report.accounts.values();
    accounts.all(|account| account.balance.is_balanced())
}

/// Says that the platform gave no report.
pub(crate) fn platform_error(addr: SocketAddr, error: &Error) -> Output {
    let exit = match error {
        Error::Malformed(_) => Exit::Refused,
        Error::Conflict | Error::Unavailable(_) | Error::TooLarge(_) | Error::Throttled => {
            Exit::Unavailable
        }
    };
    Output::error(exit, format!("platform {addr}: {error}"))
}
