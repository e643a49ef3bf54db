//! Prepaid tokens: the record that all entries share, and what this entry holds of it.
//!
//! An entry spends only tokens that it has drawn by a conditional write, so no account can use
//! more than it has paid for, however entries are cut off or stopped. Tokens drawn by an entry
//! that dies count as used: the size of a draw is what a kill can cost the account.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

mod loan;
mod plan;
mod purse;

pub use loan::{LoanReply, LoanRequest};
pub use plan::{HEARTBEAT, Move, Plan};
pub use purse::COVER;
use purse::Purse;

/// An entry whose record has not changed for this long is not counted as running.
pub const HOLDER_TIMEOUT: Millis = Millis::new(6_000);
/// Records of entries that have not written for this long are removed.
const HOLDER_PRUNE: Millis = Millis::new(30_000);

/// What one entry last wrote of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Tells apart the starts of the entry.
    pub start: u64,
    /// Number of the last write of this start. It only grows.
    pub writes: u64,
    /// Where other entries reach it.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Drawn tokens that were not used at that write; zero amounts are left out.
    pub unspent: BTreeMap<ClientAccountId, Tokens>,
    /// Tokens that it used in a second, by its own measure at that write; zeros are left out.
    #[serde(default)]
    pub rates: BTreeMap<ClientAccountId, Tokens>,
}

/// The record that all entries share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Drawn at random by the first writer: entries show it to each other.
    #[serde(default)]
    pub key: SmolStr,
    /// Tokens drawn by all entries, less what they returned. Invariant: at most the prepaid total.
    pub drawn: BTreeMap<ClientAccountId, Tokens>,
    /// Tokens that were lost with entries that ended without returning them.
    #[serde(default)]
    pub lost: BTreeMap<ClientAccountId, Tokens>,
    /// The entries.
    pub holders: BTreeMap<VmId, Holder>,
}

impl Shares {
    pub(super) fn drawn(&self, account: &ClientAccountId) -> Tokens {
        self.drawn.get(account).copied().unwrap_or_default()
    }
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Short {
    /// What is left of the account, here and elsewhere, does not cover the request.
    Exhausted,
    /// Tokens are left in the record; a draw may bring them.
    Drawable,
    /// Tokens are left, but other entries hold them, or they are reserved here.
    Elsewhere,
    /// The record has not been read since the account was configured.
    Unknown,
}

/// What this entry holds of the prepaid tokens.
#[derive(Debug)]
pub struct Wallet {
    me: VmId,
    peers: Option<SocketAddr>,
    start: u64,
    writes: u64,
    purses: BTreeMap<ClientAccountId, Purse>,
    prepaid: BTreeMap<ClientAccountId, Tokens>,
    seen: Option<(Option<Version>, Shares)>,
    written: Option<Millis>,
    /// Last change of each entry's record: its start, its writes and when that was seen.
    changes: BTreeMap<VmId, (u64, u64, Millis)>,
    /// The write whose outcome is not known. Invariant: no other write starts before it is.
    pending: Option<Plan>,
    /// A send of `pending` got no answer, so that it may be made as long as the record has the
    /// version that it is based on.
    is_unanswered: bool,
    /// This entry stops and returns what it holds.
    is_closed: bool,
}

impl Wallet {
    /// Creates the empty wallet of one start of an entry.
    pub fn new(me: VmId, start: u64) -> Self {
        Self {
            me,
            peers: None,
            start,
            writes: 0,
            purses: BTreeMap::new(),
            prepaid: BTreeMap::new(),
            seen: None,
            written: None,
            changes: BTreeMap::new(),
            pending: None,
            is_unanswered: false,
            is_closed: false,
        }
    }

    /// Sets where other entries reach this one.
    pub fn set_peers(&mut self, addr: SocketAddr) {
        self.peers = Some(addr);
    }

    /// Takes the prepaid totals of the configuration in force.
    pub fn set_prepaid(&mut self, totals: impl IntoIterator<Item = (ClientAccountId, Tokens)>) {
        self.prepaid = totals.into_iter().collect();
    }

    /// Returns the prepaid total of an account.
    pub fn prepaid(&self, account: &ClientAccountId) -> Tokens {
        self.prepaid.get(account).copied().unwrap_or_default()
    }

    /// Returns the number of running entries, with this one.
    pub fn entries(&self, now: Millis) -> usize {
        let runs = |(vm, (_, _, at)): (&VmId, &(u64, u64, Millis))| {
            *vm != self.me && now.saturating_sub(*at) <= HOLDER_TIMEOUT
        };
        1 + self.changes.iter().filter(|change| runs(*change)).count()
    }

    /// Returns free and reserved tokens of an account here.
    pub fn holding(&self, account: &ClientAccountId) -> (Tokens, Tokens) {
        let purse = self.purses.get(account);
        purse.map_or((Tokens::ZERO, Tokens::ZERO), |purse| {
            (purse.free, purse.reserved)
        })
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
        let purse = self.purses.entry(account.clone()).or_default();
        if let Some(rest) = purse.free.checked_sub(worst) {
            purse.free = rest;
            purse.reserved += worst;
            return Ok(Reservation {
                account: account.clone(),
                tokens: worst,
            });
        }
        Err(self.shortage(account, worst, now))
    }

    /// Notes that a target uses `tokens` of a reservation, or that it turned out not to.
    pub fn set_running(&mut self, reservation: &Reservation, tokens: Tokens, is_running: bool) {
        let purse = self.purses.entry(reservation.account.clone()).or_default();
        purse.running = match is_running {
            true => purse.running + tokens,
            false => purse.running.saturating_sub(tokens),
        };
    }

    /// Ends a reservation of which `used` was used; the rest is free again.
    pub fn settle(&mut self, reservation: &Reservation, used: Tokens, now: Millis) {
        let purse = self.purses.entry(reservation.account.clone()).or_default();
        purse.note_size(reservation.tokens, now);
        let used = used.min(reservation.tokens);
        purse.reserved = purse.reserved.saturating_sub(reservation.tokens);
        purse.free += reservation.tokens.saturating_sub(used);
        purse.note_use(used, now);
    }

    /// Notes that a request waits for `worst` tokens.
    pub fn want(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purses.entry(account.clone()).or_default();
        purse.waiting.push(worst);
    }

    /// Notes that such a request waits no longer.
    pub fn unwant(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purses.entry(account.clone()).or_default();
        if let Some(index) = purse.waiting.iter().position(|waiting| *waiting == worst) {
            purse.waiting.swap_remove(index);
        }
    }

    /// Returns everything that is not reserved with the next writes; nothing is drawn any more.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns true if nothing is left to return.
    pub fn is_returned(&self) -> bool {
        self.pending.is_none() && self.purses.values().all(|purse| purse.free.is_zero())
    }

    fn shortage(&self, account: &ClientAccountId, worst: Tokens, now: Millis) -> Short {
        let (Some((_, shares)), Some(paid)) = (&self.seen, self.prepaid.get(account)) else {
            return Short::Unknown;
        };
        let left = paid.saturating_sub(shares.drawn(account));
        let purse = self.purses.get(account);
        let free = purse.map_or(Tokens::ZERO, |purse| purse.free);
        let here = purse.map_or(Tokens::ZERO, Purse::unspent);
        if left + free >= worst {
            return Short::Drawable;
        }
        let others = shares.holders.iter().filter(|(vm, _)| **vm != self.me);
        let unspent = others.filter_map(|(_, holder)| holder.unspent.get(account).copied());
        let lent = self.purses.get(account);
        let lent = lent.map_or(Tokens::ZERO, |purse| purse.lent.counted(now));
        let elsewhere = unspent.sum::<Tokens>() + lent;
        if left + here + elsewhere >= worst {
            Short::Elsewhere
        } else {
            Short::Exhausted
        }
    }
}
