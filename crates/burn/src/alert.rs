//! Burn rates and the alert on two windows.

use cyc_ledger::level::Count;
use cyc_types::Millis;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// The part of the error budget of a whole window that may burn within the long alert window.
const PAGE_BUDGET_PART: f64 = 0.02;
/// The part of the largest possible burn rate that always pages.
const PAGE_MAX_PART: f64 = 0.5;
/// The burn rate at which the error budget lasts exactly one window.
const TICKET_BURN: f64 = 1.0;

/// What the burn rates call for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Nothing.
    Ok,
    /// Both windows burn faster than the error budget allows: look at it soon.
    Ticket,
    /// Both windows burn so fast that the error budget is soon gone: look at it now.
    Page,
    /// The configuration has no objective for the class.
    NoObjective,
}

/// Returns how fast an error budget burns: 1 uses it up in exactly one window.
pub fn burn_rate(count: &Count, share: f64) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad = (count.total - count.good.min(count.total)) as f64;
    bad / count.total as f64 / (1.0 - share)
}

/// Returns the part of the error budget that is left; below 0 once it is overdrawn.
pub fn budget_left(count: &Count, share: f64) -> f64 {
    1.0 - burn_rate(count, share)
}

/// Returns the burn rate that pages: 2 % of the window's error budget within the long alert
/// window, kept between 1 and half of the burn rate when every request fails.
pub fn page_threshold(share: f64, window: Millis, long: Millis) -> f64 {
    let wanted = PAGE_BUDGET_PART * window.get() as f64 / long.get().max(1) as f64;
    let largest = PAGE_MAX_PART / (1.0 - share);
    wanted.min(largest).max(TICKET_BURN)
}

/// Returns the verdict: both windows have to burn, so that an alert neither comes from a short
/// spike nor stays long after the end of a fault.
pub fn verdict(short: f64, long: f64, page: f64) -> Verdict {
    let both = short.min(long);
    if both > page {
        Verdict::Page
    } else if both > TICKET_BURN {
        Verdict::Ticket
    } else {
        Verdict::Ok
    }
}
