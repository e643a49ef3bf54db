//! Burn rates, and alerts that require a high burn rate in two windows.

use cyc_ledger::level::Count;
use cyc_types::Millis;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// The fraction of a window's error budget whose spending within the long alert window pages.
const PAGE_BUDGET_FRACTION: f64 = 0.02;
/// The fraction of the maximum burn rate above which an alert always pages.
const PAGE_MAX_FRACTION: f64 = 0.5;
/// The burn rate at which the error budget lasts exactly one window.
const TICKET_BURN_RATE: f64 = 1.0;

/// The alert that the burn rates call for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No alert.
    Ok,
    /// The burn rates of both windows exceed 1: to be investigated soon.
    Ticket,
    /// The burn rates of both windows exceed the page threshold: to be investigated immediately.
    Page,
    /// The configuration has no objective for the route class.
    NoObjective,
}

/// Returns the burn rate of an error budget: at a rate of 1 the budget lasts exactly one window.
/// `share` is the share of requests that have to meet the objective.
pub fn burn_rate(count: &Count, share: f64) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad = (count.total - count.good.min(count.total)) as f64;
    bad / count.total as f64 / (1.0 - share)
}

/// Returns the remaining fraction of the error budget; negative once it is overspent.
pub fn budget_left(count: &Count, share: f64) -> f64 {
    1.0 - burn_rate(count, share)
}

/// Returns the burn rate above which an alert pages: the rate that spends 2 % of the window's error
/// budget within the long alert window, limited to between 1 and half of the burn rate at which
/// every request fails.
pub fn page_threshold(share: f64, window: Millis, long_window: Millis) -> f64 {
    let threshold = PAGE_BUDGET_FRACTION * window.get() as f64 / long_window.get().max(1) as f64;
    let max_threshold = PAGE_MAX_FRACTION / (1.0 - share);
    threshold.min(max_threshold).max(TICKET_BURN_RATE)
}

/// Returns the verdict for the burn rates of the short and the long alert window. An alert requires
/// both to be high, so that it neither fires on a short spike nor persists long after a fault ends.
pub fn verdict(short: f64, long: f64, page_threshold: f64) -> Verdict {
    let burn_rate = short.min(long);
    if burn_rate > page_threshold {
        Verdict::Page
    } else if burn_rate > TICKET_BURN_RATE {
        Verdict::Ticket
    } else {
        Verdict::Ok
    }
}
