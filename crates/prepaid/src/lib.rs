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

use cyc_types::{ClientAccountId, Era, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};

mod allocation;
mod delivery;
pub mod last_tokens;
mod loan;
mod plan;
mod record;
mod recovery;
mod shortage;

use allocation::Allocation;
pub use allocation::{DRAW_LOOKAHEAD, WaiterId};
pub use delivery::{LoanDelivery, ReturnDelivery, UnansweredReturn};
use last_tokens::Claim;
pub use loan::{LoanRefusal, LoanReply, LoanRequest, TokenDemand, TokenReturn};
pub use plan::{REREAD_AFTER, RecordWrite, Role};
pub use record::{EndedHolder, EndedHolders, Holder, Record, WriteOutcome};
pub use recovery::{HolderReport, SETTLE_TIME, Totals};
pub use shortage::{Forecast, SHORTAGE_HORIZON};

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
pub enum Shortage {
    /// The tokens left in the account, on this entry and elsewhere, do not cover the request.
    Exhausted,
    /// The record has tokens left; a draw may obtain them.
    Drawable,
    /// Tokens are left, but other entries hold them or requests of this entry have reserved them;
    /// or the record was read too long ago to tell.
    Elsewhere,
    /// The remaining tokens are unknown: no record was read, or no prepaid total is configured.
    Unknown,
}

/// The prepaid tokens allocated to this entry, by account.
#[derive(Debug)]
pub struct Allocations {
    me: VmId,
    incarnation: u64,
    by_account: BTreeMap<ClientAccountId, Allocation>,
    /// Known incarnations of the other entries; `None` for an entry that has certainly ended.
    incarnations: BTreeMap<VmId, Option<u64>>,
    /// This entry is shutting down and returns its tokens.
    is_closed: bool,
    /// Number of the last message to another entry.
    messages: u64,
    /// Accounts that run short as another entry has told, until when that holds.
    told_short: BTreeMap<ClientAccountId, Millis>,
    /// Number of requests that have waited.
    waiters: u64,
    /// The era of the store, and when this entry learnt of it; `None` before the first answer.
    era: Option<(Era, Millis)>,
    /// The era has risen while this entry ran.
    is_restored: bool,
}

impl Allocations {
    /// Creates empty allocations for one incarnation of an entry.
    pub fn new(me: VmId, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            by_account: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            is_closed: false,
            messages: 0,
            told_short: BTreeMap::new(),
            waiters: 0,
            era: None,
            is_restored: false,
        }
    }

    /// Sets the prepaid totals of the active configuration.
    pub fn set_prepaid(&mut self, totals: impl IntoIterator<Item = (ClientAccountId, Tokens)>) {
        for allocation in self.by_account.values_mut() {
            allocation.paid = None;
        }
        for (account, paid) in totals {
            let allocation = self.allocation(&account);
            allocation.paid = Some(paid);
            allocation.refused_loan = None;
        }
    }

    /// Sets the incarnations of the other entries; `None` for an entry that has certainly ended.
    pub fn set_incarnations(&mut self, incarnations: BTreeMap<VmId, Option<u64>>) {
        self.incarnations = incarnations;
    }

    /// Returns true if the incarnation that held these tokens has ended, so that its unreturned
    /// tokens are lost.
    fn has_ended(&self, vm: &VmId, holder: &Holder) -> bool {
        if *vm == self.me {
            return holder.start != self.incarnation;
        }
        let current = self.incarnations.get(vm);
        current.is_some_and(|current| *current != Some(holder.start))
    }

    /// Returns true if another entry is known to run in the incarnation of the holder.
    fn is_running(&self, vm: &VmId, holder: &Holder) -> bool {
        *vm != self.me && self.incarnations.get(vm) == Some(&Some(holder.start))
    }

    /// Sums the tokens that other entries have not used according to the record.
    fn held_elsewhere(&self, record: &Record) -> Tokens {
        let others = record.holders.iter();
        let others = others.filter(|(vm, holder)| **vm != self.me && !self.has_ended(vm, holder));
        let held: Tokens = others.map(|(_, holder)| holder.unspent).sum();
        let returned = record.ended_holders().iter();
        let returned = returned.filter(|ended| self.is_running(&ended.vm, &ended.holder));
        held + returned.map(|ended| ended.holder.unspent).sum()
    }

    /// Prepaid total of an account, zero if none is configured.
    pub fn prepaid(&self, account: &ClientAccountId) -> Tokens {
        let allocation = self.by_account.get(account);
        allocation
            .and_then(|allocation| allocation.paid)
            .unwrap_or_default()
    }

    /// Free and reserved tokens of an account on this entry.
    pub fn holding(&self, account: &ClientAccountId) -> (Tokens, Tokens) {
        let allocation = self.by_account.get(account);
        allocation.map_or((Tokens::ZERO, Tokens::ZERO), |allocation| {
            (allocation.free, allocation.reserved)
        })
    }

    fn allocation(&mut self, account: &ClientAccountId) -> &mut Allocation {
        self.by_account.entry(account.clone()).or_default()
    }
}

/// Reservations of requests.
impl Allocations {
    /// Reserves the maximum cost of a request.
    ///
    /// # Errors
    /// The reason why this entry lacks the tokens.
    pub fn reserve(
        &mut self,
        account: &ClientAccountId,
        max_cost: Tokens,
        now: Millis,
    ) -> Result<Reservation, Shortage> {
        let allocation = self.allocation(account);
        // During a shortage the waiting requests come first, in the order of `last_tokens`.
        let has_queue = !allocation.waiting.is_empty() && self.is_short(account, now);
        if !has_queue && let Some(reservation) = self.take(account, max_cost) {
            return Ok(reservation);
        }
        self.allocation(account).short_at = Some(now);
        Err(self.shortage(account, max_cost, now))
    }

    /// Reserves the maximum cost of a request that waits. During a shortage it gets tokens only when
    /// it is its turn.
    ///
    /// # Errors
    /// The reason why this entry lacks the tokens.
    pub fn reserve_waiting(
        &mut self,
        account: &ClientAccountId,
        waiter: WaiterId,
        max_cost: Tokens,
        now: Millis,
    ) -> Result<Reservation, Shortage> {
        let is_short = self.is_short(account, now);
        let allocation = self.allocation(account);
        let is_next = !is_short || allocation.is_next(waiter);
        if is_next && let Some(reservation) = self.take(account, max_cost) {
            self.allocation(account).turns += u64::from(is_short);
            return Ok(reservation);
        }
        self.allocation(account).short_at = Some(now);
        Err(self.shortage(account, max_cost, now))
    }

    fn take(&mut self, account: &ClientAccountId, max_cost: Tokens) -> Option<Reservation> {
        let allocation = self.allocation(account);
        allocation.free = allocation.free.checked_sub(max_cost)?;
        allocation.reserved += max_cost;
        Some(Reservation {
            account: account.clone(),
            tokens: max_cost,
        })
    }

    /// Adds `tokens` of a reservation to those already used by running requests, or removes them
    /// once the request has ended or is known not to have run.
    pub fn set_running(&mut self, reservation: &Reservation, tokens: Tokens, is_running: bool) {
        let allocation = self.allocation(&reservation.account);
        allocation.running = match is_running {
            true => allocation.running + tokens,
            false => allocation.running.saturating_sub(tokens),
        };
    }

    /// Ends a reservation of which `used` tokens were spent; the rest becomes free.
    pub fn settle(&mut self, reservation: &Reservation, used: Tokens, now: Millis) {
        let allocation = self.allocation(&reservation.account);
        let used = used.min(reservation.tokens);
        allocation.record_request(used, reservation.tokens, now);
        allocation.reserved = allocation.reserved.saturating_sub(reservation.tokens);
        allocation.free += reservation.tokens.saturating_sub(used);
        allocation.record_use(used, now);
    }

    /// Registers a request that waits for tokens, until it is removed.
    pub fn add_claim(&mut self, account: &ClientAccountId, claim: Claim) -> WaiterId {
        self.waiters += 1;
        let id = WaiterId(self.waiters);
        self.allocation(account).waiting.push((id, claim));
        id
    }

    /// Removes a request that [`add_claim`](Self::add_claim) registered.
    pub fn remove_claim(&mut self, account: &ClientAccountId, waiter: WaiterId) {
        let waiting = &mut self.allocation(account).waiting;
        waiting.retain(|(id, _)| *id != waiter);
    }

    /// Registers a request of the first rank that waits for `max_cost` tokens.
    pub fn add_waiter(&mut self, account: &ClientAccountId, max_cost: Tokens) {
        let claim = Claim {
            rank: 0,
            tokens: max_cost,
            since: Millis::ZERO,
        };
        self.add_claim(account, claim);
    }

    /// Removes a request that [`add_waiter`](Self::add_waiter) registered.
    pub fn remove_waiter(&mut self, account: &ClientAccountId, max_cost: Tokens) {
        let waiting = &mut self.allocation(account).waiting;
        let index = waiting
            .iter()
            .position(|(_, claim)| claim.tokens == max_cost);
        if let Some(index) = index {
            waiting.remove(index);
        }
    }

    /// Marks the allocations as closed: nothing more is drawn, and the next writes return all
    /// unreserved tokens.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Accounts with tokens that are still to be returned, or with lost writes.
    pub fn unreturned(&self) -> Vec<ClientAccountId> {
        let has_tokens = |allocation: &Allocation| {
            allocation.pending.is_some() || allocation.must_recover || !allocation.free.is_zero()
        };
        let holding = self
            .by_account
            .iter()
            .filter(|(_, allocation)| has_tokens(allocation));
        holding.map(|(account, _)| account.clone()).collect()
    }

    /// Explains why this entry lacks `max_cost` tokens.
    pub fn shortage(&self, account: &ClientAccountId, max_cost: Tokens, now: Millis) -> Shortage {
        let Some(allocation) = self.by_account.get(account) else {
            return Shortage::Unknown;
        };
        let refused = allocation.refused_loan(now);
        if refused.is_some_and(|refused| refused.is_exhausted_for(max_cost, allocation)) {
            return Shortage::Exhausted;
        }
        let (Some((_, record)), Some(paid)) = (&allocation.last_record, allocation.paid) else {
            return refused.map_or(Shortage::Unknown, |refused| {
                match refused.refusal.shortage {
                    // That holds only for requests at least as large as the refused one.
                    Shortage::Exhausted => Shortage::Unknown,
                    shortage => shortage,
                }
            });
        };
        let left = paid.saturating_sub(record.drawn);
        if left + allocation.free >= max_cost {
            return Shortage::Drawable;
        }
        let is_certain = now.saturating_sub(allocation.read_at) <= REREAD_AFTER
            || self.is_exhausted_for_good(allocation);
        if self.obtainable(allocation, record, paid, now) >= max_cost || !is_certain {
            Shortage::Elsewhere
        } else {
            Shortage::Exhausted
        }
    }

    /// Tokens of the account that requests of this entry can still get: undrawn ones, its own, and
    /// what running requests and other entries will probably not use.
    fn obtainable(
        &self,
        allocation: &Allocation,
        record: &Record,
        paid: Tokens,
        now: Millis,
    ) -> Tokens {
        let left = paid.saturating_sub(record.drawn);
        let elsewhere = self.held_elsewhere(record) + allocation.expected_returns(now);
        left + allocation.free + allocation.expected_rest() + elsewhere
    }

    /// Returns true if the record shows that all tokens are drawn and no other entry has any that it
    /// could return, so that only a top-up can change that.
    fn is_exhausted_for_good(&self, allocation: &Allocation) -> bool {
        let (Some((_, record)), Some(paid)) = (&allocation.last_record, allocation.paid) else {
            return false;
        };
        record.drawn >= paid && self.held_elsewhere(record).is_zero()
    }
}
