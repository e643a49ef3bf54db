//! Prepaid tokens: the record of each account that all entries share, and the tokens allocated to
//! this entry.
//!
//! An entry spends only tokens that it has drawn with a compare-and-swap write, so no account can
//! use more than it has paid for, however entries are partitioned or killed. Tokens held by an
//! entry that is killed count as used, so the amount that entries hold bounds what a kill can cost
//! the account.
//!
//! One entry, the account's owner, draws tokens; the others borrow from it. The write rate of a
//! record therefore grows with the use of the account and not with the number of entries.

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

/// What one entry last wrote about itself to a record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Incarnation of the entry.
    pub start: u64,
    /// Sequence number of the last write of this incarnation.
    pub writes: u64,
    /// Drawn tokens that were unused at that write.
    pub unspent: Tokens,
}

/// The record of an account, shared by all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Tokens drawn by all entries minus the returned ones. Invariant: at most the prepaid total.
    pub drawn: Tokens,
    /// Tokens lost with entries that ended without returning them.
    #[serde(default)]
    pub lost: Tokens,
    /// Entries that have drawn tokens and not returned all of them.
    pub holders: BTreeMap<VmId, Holder>,
}

/// Tokens reserved for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The account that pays.
    pub account: ClientAccountId,
    /// Maximum cost of the request.
    pub tokens: Tokens,
}

/// Why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Short {
    /// The tokens left in the account, on this entry and elsewhere, do not cover the request.
    Exhausted,
    /// The record has tokens left; a draw may obtain them.
    Drawable,
    /// Tokens are left, but other entries hold them or requests of this entry have reserved them.
    Elsewhere,
    /// The remaining tokens are unknown.
    Unknown,
}

/// The prepaid tokens allocated to this entry, by account.
#[derive(Debug)]
pub struct Wallet {
    me: VmId,
    start: u64,
    purses: BTreeMap<ClientAccountId, Purse>,
    /// Known incarnations of the other entries; `None` for an entry that has certainly ended.
    starts: BTreeMap<VmId, Option<u64>>,
    /// This entry is shutting down and returns its tokens.
    is_closed: bool,
}

impl Wallet {
    /// Creates empty allocations for one incarnation of an entry.
    pub fn new(me: VmId, start: u64) -> Self {
        Self {
            me,
            start,
            purses: BTreeMap::new(),
            starts: BTreeMap::new(),
            is_closed: false,
        }
    }

    /// Sets the prepaid totals of the active configuration.
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

    /// Sets the incarnations of the other entries; `None` for an entry that has certainly ended.
    pub fn set_starts(&mut self, starts: BTreeMap<VmId, Option<u64>>) {
        self.starts = starts;
    }

    /// Returns true if the incarnation that held these tokens has ended, so that its unreturned
    /// tokens are lost.
    fn is_gone(&self, vm: &VmId, holder: &Holder) -> bool {
        if *vm == self.me {
            return holder.start != self.start;
        }
        let start = self.starts.get(vm);
        start.is_some_and(|start| *start != Some(holder.start))
    }

    /// Sums the tokens that other entries have not used according to the record.
    fn held_elsewhere(&self, record: &Record) -> Tokens {
        let others = record.holders.iter();
        let others = others.filter(|(vm, holder)| **vm != self.me && !self.is_gone(vm, holder));
        others.map(|(_, holder)| holder.unspent).sum()
    }

    /// Prepaid total of an account, zero if none is configured.
    pub fn prepaid(&self, account: &ClientAccountId) -> Tokens {
        let purse = self.purses.get(account);
        purse.and_then(|purse| purse.paid).unwrap_or_default()
    }

    /// Free and reserved tokens of an account on this entry.
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

/// Reservations of requests.
impl Wallet {
    /// Reserves the maximum cost of a request.
    ///
    /// # Errors
    /// The reason why this entry lacks the tokens.
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

    /// Records that a target uses `tokens` of a reservation, or that it turned out not to.
    pub fn set_running(&mut self, reservation: &Reservation, tokens: Tokens, is_running: bool) {
        let purse = self.purse(&reservation.account);
        purse.running = match is_running {
            true => purse.running + tokens,
            false => purse.running.saturating_sub(tokens),
        };
    }

    /// Ends a reservation of which `used` tokens were spent; the rest becomes free.
    pub fn settle(&mut self, reservation: &Reservation, used: Tokens, now: Millis) {
        let purse = self.purse(&reservation.account);
        purse.note_size(reservation.tokens, now);
        let used = used.min(reservation.tokens);
        purse.reserved = purse.reserved.saturating_sub(reservation.tokens);
        purse.free += reservation.tokens.saturating_sub(used);
        purse.note_use(used, now);
    }

    /// Registers a request that waits for `worst` tokens.
    pub fn want(&mut self, account: &ClientAccountId, worst: Tokens) {
        self.purse(account).waiting.push(worst);
    }

    /// Removes a request that [`add_waiter`](Self::add_waiter) registered.
    pub fn unwant(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purse(account);
        if let Some(index) = purse.waiting.iter().position(|waiting| *waiting == worst) {
            purse.waiting.swap_remove(index);
        }
    }

    /// Marks the allocations as closed: nothing more is drawn, and the next writes return all
    /// unreserved tokens.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Accounts with tokens that are still to be returned.
    pub fn unreturned(&self) -> Vec<ClientAccountId> {
        let holds = |purse: &Purse| purse.pending.is_some() || !purse.free.is_zero();
        let purses = self.purses.iter().filter(|(_, purse)| holds(purse));
        purses.map(|(account, _)| account.clone()).collect()
    }

    /// Explains why this entry lacks `worst` tokens.
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
