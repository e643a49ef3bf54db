//! Which client account sends more than its usual share.

use std::collections::HashMap;

use cyc_types::{DecayingSum, Millis};
use smol_str::SmolStr;

/// Accounts whose rates are kept. Further ones are counted together until others have been idle.
pub const MAX_ACCOUNTS: usize = 1_024;
/// Time constant of the present rate.
const SHORT_TIME: Millis = Millis::new(1_000);
/// Time constant of the usual rate.
const LONG_TIME: Millis = Millis::new(60_000);
/// An account sends more than its usual share if its rate has grown by this factor more than that of
/// all others.
const GROWTH: f64 = 1.25;
/// Accounts below this share of the present load cannot be the cause of an overload.
const LEAST_SHARE: f64 = 0.05;
/// If all others have less than this share of the usual load, nothing can be compared.
const LEAST_OTHERS: f64 = 0.001;
/// An account is forgotten once its usual load has decayed to this many bytes.
const FORGET_BYTES: f64 = 100.0;
/// Least time between searches for accounts to forget.
const FORGET_INTERVAL: Millis = Millis::new(1_000);

/// Bytes of requests, by the present and the usual rate.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    short: DecayingSum,
    long: DecayingSum,
    /// Requests that count as excess and have not been named so yet. Invariant: below 1.
    excess: f64,
}

impl Usage {
    fn add(&mut self, bytes: f64, is_usual: bool, now: Millis) {
        self.short.add(bytes, SHORT_TIME, now);
        if is_usual {
            self.long.add(bytes, LONG_TIME, now);
        }
    }

    fn get(&self, now: Millis) -> (f64, f64) {
        (
            self.short.get(SHORT_TIME, now),
            self.long.get(LONG_TIME, now),
        )
    }
}

/// Rates of the client accounts at this entry.
#[derive(Debug, Default)]
pub struct Accounts {
    /// Invariant: at most [`MAX_ACCOUNTS`] and one with an empty name for the rest.
    usages: HashMap<SmolStr, Usage>,
    total: Usage,
    searched_at: Millis,
}

impl Accounts {
    /// Records a request of this many bytes, also if it is refused. One that arrives during an overload is
    /// not usual: the account that causes it would soon have its excess taken for its usual load.
    pub fn record(&mut self, account: &SmolStr, bytes: u64, is_usual: bool, now: Millis) {
        self.total.add(bytes as f64, is_usual, now);
        let is_full = self.usages.len() >= MAX_ACCOUNTS && !self.usages.contains_key(account);
        let is_due = now.saturating_sub(self.searched_at) >= FORGET_INTERVAL;
        if is_full && is_due {
            self.searched_at = now;
            self.usages
                .retain(|_, usage| usage.get(now).1 > FORGET_BYTES);
        }
        let name = match self.usages.len() < MAX_ACCOUNTS || self.usages.contains_key(account) {
            true => account.clone(),
            false => SmolStr::default(),
        };
        let usage = self.usages.entry(name).or_default();
        usage.add(bytes as f64, is_usual, now);
    }

    /// Returns true if the next request of the account exceeds its usual share. Of the requests of an
    /// account that sends more than that, as many count as do not exceed it.
    pub fn take_excess(&mut self, account: &str, now: Millis) -> bool {
        let Some(usage) = self.usages.get(account) else {
            return false;
        };
        let (short, _) = usage.get(now);
        let part = self.excess_of(usage, now) * self.total.get(now).0 / short.max(1.0);
        let Some(usage) = self.usages.get_mut(account) else {
            return false;
        };
        usage.excess += part;
        let is_excess = usage.excess >= 1.0;
        usage.excess = usage.excess.fract();
        is_excess
    }

    /// Share of the present load by which an account exceeds its usual share; zero if it does not.
    fn excess_of(&self, usage: &Usage, now: Millis) -> f64 {
        let (short, long) = usage.get(now);
        let (total_short, total_long) = self.total.get(now);
        let (other_short, other_long) = (total_short - short, total_long - long);
        let is_comparable = other_long > total_long * LEAST_OTHERS;
        if !is_comparable || short < total_short * LEAST_SHARE {
            return 0.0;
        }
        // What the account would send if it had grown as the others have.
        let usual = long * other_short.max(0.0) / other_long;
        match short > usual * GROWTH {
            true => (short - usual) / total_short,
            false => 0.0,
        }
    }

    /// The account that exceeds its usual share most, and by which share of the present load.
    pub fn largest_excess(&self, now: Millis) -> Option<(SmolStr, f64)> {
        let excesses = self
            .usages
            .iter()
            .map(|(name, usage)| (name, self.excess_of(usage, now)));
        let largest = excesses.max_by(|a, b| a.1.total_cmp(&b.1))?;
        (largest.1 > 0.0).then(|| (largest.0.clone(), largest.1))
    }
}
