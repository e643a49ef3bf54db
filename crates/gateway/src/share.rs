//! Prepaid tokens: the record of each account that entries share, and what this entry holds.
//!
//! An entry spends only tokens that were drawn by a conditional write, so no account can use more
//! than it has paid for, however entries are cut off or stopped. Tokens at an entry that dies
//! count as used: what entries hold is what a kill can cost the account.
//!
//! One entry draws for an account, its home; the others borrow from it. So the writes of a record
//! grow with the use of the account and not with the number of entries.

use std::collections::BTreeMap;

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};

mod loan;
mod plan;
mod purse;

pub use loan::{GiveBack, LoanReply, LoanRequest, Need};
pub use plan::{Plan, REREAD, Role};
pub use purse::COVER;
use purse::Purse;

/// What one entry last wrote of itself to a record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Tells apart the starts of the entry.
    pub start: u64,
    /// Number of the last write of this start. It only grows.
    pub writes: u64,
    /// Drawn tokens that were not used at that write.
    pub unspent: Tokens,
}

/// The record of an account that all entries share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Tokens drawn by all entries, less what they returned. Invariant: at most the prepaid total.
    pub drawn: Tokens,
    /// Tokens that were lost with entries that ended without returning them.
    #[serde(default)]
    pub lost: Tokens,
    /// The entries that have drawn and not returned everything.
    pub holders: BTreeMap<VmId, Holder>,
}

/// Tokens reserved for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The account.
    pub account: ClientAccountId,
    /// The most that the request can cost.
    pub tokens: Tokens,
}

/// Why tokens were not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Short {
    /// What is left of the account, here and elsewhere, does not cover the request.
    Exhausted,
    /// Tokens are left in the record; a draw may bring them.
    Drawable,
    /// Tokens are left, but other entries hold them, or they are reserved here.
    Elsewhere,
    /// Nothing is known of what is left.
    Unknown,
}

/// What this entry holds of the prepaid tokens.
#[derive(Debug)]
pub struct Wallet {
    me: VmId,
    start: u64,
    purses: BTreeMap<ClientAccountId, Purse>,
    /// The start of each other entry, as far as known; `None` for one that has surely ended.
    starts: BTreeMap<VmId, Option<u64>>,
    /// This entry stops and returns what it holds.
    is_closed: bool,
}

impl Wallet {
    /// Creates the empty wallet of one start of an entry.
    pub fn new(me: VmId, start: u64) -> Self {
        Self {
            me,
            start,
            purses: BTreeMap::new(),
            starts: BTreeMap::new(),
            is_closed: false,
        }
    }

    /// Takes the prepaid totals of the configuration in force.
    pub fn set_prepaid(&mut self, totals: impl IntoIterator<Item = (ClientAccountId, Tokens)>) {
        for purse in self.purses.values_mut() {
            purse.paid = None;
        }
        for (account, paid) in totals {
            let purse = self.purse(&account);
            purse.paid = Some(paid);
            purse.exhausted = None;
        }
    }

    /// Takes what is known of the other entries: the start that runs, `None` for an entry that has
    /// surely ended.
    pub fn set_starts(&mut self, starts: BTreeMap<VmId, Option<u64>>) {
        self.starts = starts;
    }

    /// Returns true if what a holder has not returned is lost.
    fn is_gone(&self, vm: &VmId, holder: &Holder) -> bool {
        if *vm == self.me {
            return holder.start != self.start;
        }
        let start = self.starts.get(vm);
        start.is_some_and(|start| *start != Some(holder.start))
    }

    /// Returns what other entries have not used, by the record.
    fn held_elsewhere(&self, record: &Record) -> Tokens {
        let others = record.holders.iter();
        let others = others.filter(|(vm, holder)| **vm != self.me && !self.is_gone(vm, holder));
        others.map(|(_, holder)| holder.unspent).sum()
    }

    /// Returns the prepaid total of an account.
    pub fn prepaid(&self, account: &ClientAccountId) -> Tokens {
        let purse = self.purses.get(account);
        purse.and_then(|purse| purse.paid).unwrap_or_default()
    }

    /// Returns free and reserved tokens of an account here.
    pub fn holding(&self, account: &ClientAccountId) -> (Tokens, Tokens) {
        let purse = self.purses.get(account);
        purse.map_or((Tokens::ZERO, Tokens::ZERO), |purse| {
            (purse.free, purse.reserved)
        })
    }

    fn purse(&mut self, account: &ClientAccountId) -> &mut Purse {
        self.purses.entry(account.clone()).or_default()
    }
}

/// Requests.
impl Wallet {
    /// Reserves the most that a request can cost.
    ///
    /// # Errors
    /// Why the tokens are not here.
    pub fn reserve(
        &mut self,
        account: &ClientAccountId,
        worst: Tokens,
        now: Millis,
    ) -> Result<Reservation, Short> {
        let purse = self.purse(account);
        if let Some(rest) = purse.free.checked_sub(worst) {
            purse.free = rest;
            purse.reserved += worst;
            return Ok(Reservation {
                account: account.clone(),
                tokens: worst,
            });
        }
        purse.short = Some(now);
        Err(self.shortage(account, worst, now))
    }

    /// Notes that a target uses `tokens` of a reservation, or that it turned out not to.
    pub fn set_running(&mut self, reservation: &Reservation, tokens: Tokens, is_running: bool) {
        let purse = self.purse(&reservation.account);
        purse.running = match is_running {
            true => purse.running + tokens,
            false => purse.running.saturating_sub(tokens),
        };
    }

    /// Ends a reservation of which `used` was used; the rest is free again.
    pub fn settle(&mut self, reservation: &Reservation, used: Tokens, now: Millis) {
        let purse = self.purse(&reservation.account);
        purse.note_size(reservation.tokens, now);
        let used = used.min(reservation.tokens);
        purse.reserved = purse.reserved.saturating_sub(reservation.tokens);
        purse.free += reservation.tokens.saturating_sub(used);
        purse.note_use(used, now);
    }

    /// Notes that a request waits for `worst` tokens.
    pub fn want(&mut self, account: &ClientAccountId, worst: Tokens) {
        self.purse(account).waiting.push(worst);
    }

    /// Notes that such a request waits no longer.
    pub fn unwant(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purse(account);
        if let Some(index) = purse.waiting.iter().position(|waiting| *waiting == worst) {
            purse.waiting.swap_remove(index);
        }
    }

    /// Returns everything that is not reserved with the next writes; nothing is drawn any more.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the accounts of which something is still to be returned.
    pub fn unreturned(&self) -> Vec<ClientAccountId> {
        let holds = |purse: &Purse| purse.pending.is_some() || !purse.free.is_zero();
        let purses = self.purses.iter().filter(|(_, purse)| holds(purse));
        purses.map(|(account, _)| account.clone()).collect()
    }

    /// Returns why `worst` tokens are not here.
    pub fn shortage(&self, account: &ClientAccountId, worst: Tokens, now: Millis) -> Short {
        let Some(purse) = self.purses.get(account) else {
            return Short::Unknown;
        };
        let told = purse.exhausted;
        if told.is_some_and(|(least, until)| now < until && worst >= least) {
            return Short::Exhausted;
        }
        let (Some((_, record)), Some(paid)) = (&purse.seen, purse.paid) else {
            return Short::Unknown;
        };
        let left = paid.saturating_sub(record.drawn);
        if left + purse.free >= worst {
            return Short::Drawable;
        }
        let elsewhere = self.held_elsewhere(record) + purse.lent_out(now);
        let is_recent = now.saturating_sub(purse.read) <= REREAD;
        if left + purse.unspent() + elsewhere >= worst || !is_recent {
            Short::Elsewhere
        } else {
            Short::Exhausted
        }
    }
}
