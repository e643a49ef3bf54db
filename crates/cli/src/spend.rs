//! `cyclamen spend`: the spend report.

use std::net::SocketAddr;

use cyc_ledger::{
    month::Month,
    report::{self, Report},
};
use cyc_store::{Error, HttpPlatform};
use cyc_types::ClientAccountId;
use serde_json::json;

use crate::output::{Exit, Output};

/// Filters of the report; `None` for no filter.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Only this client account.
    pub account: Option<ClientAccountId>,
    /// Only this month. Balances are current, whatever the month.
    pub month: Option<Month>,
}

/// Computes the spend report from the objects in the platform.
pub async fn run(addr: SocketAddr, options: &Options, as_json: bool) -> Output {
    let objects = match report::collect(&HttpPlatform::new(addr)).await {
        Ok(objects) => objects,
        Err(error) => return platform_error(addr, &error),
    };
    let mut report = report::report(&objects);
    if let Some(account) = &options.account
        && !report.accounts.contains_key(account)
    {
        let why = format!("account `{account}` has no budget with a top-up");
        return Output::error(Exit::Refused, why);
    }
    apply_filters(&mut report, options);
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
        err: String::from(
            "the balances do not add up; keep the platform's objects for an investigation",
        ),
    }
}

fn apply_filters(report: &mut Report, options: &Options) {
    if let Some(wanted) = &options.account {
        report.accounts.retain(|account, _| account == wanted);
    }
    if let Some(wanted) = options.month {
        for account in report.accounts.values_mut() {
            account.months.retain(|month, _| *month == wanted);
        }
    }
}

fn is_balanced(report: &Report) -> bool {
    let mut accounts = report.accounts.values();
    accounts.all(|account| account.balance.is_balanced())
}

/// Returns the output for an error of the platform.
pub(crate) fn platform_error(addr: SocketAddr, error: &Error) -> Output {
    let exit = match error {
        Error::Malformed(_) => Exit::Refused,
        Error::Conflict | Error::Unavailable(_) | Error::TooLarge(_) | Error::Throttled => {
            Exit::Unavailable
        }
    };
    Output::error(exit, format!("platform {addr}: {error}"))
}
