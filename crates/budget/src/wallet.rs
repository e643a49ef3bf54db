//! The memory of an entry: the tokens that it holds by grants, and what is reserved of them.
//!
//! Nothing here waits or does I/O. The tokens of the holder's grant in the shard are, at any
//! time, those free and reserved here, those spent and not settled yet, and those lent to peers.

use std::collections::{BTreeMap, BTreeSet};

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Incarnation, Millis, PerSecond, Tokens};

use crate::rate::Rate;

/// Tokens taken out of one grant for the worst case of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a reservation has to be settled or released"]
pub struct Reservation {
    /// The grant that pays.
    pub grant: GrantId,
    /// The tokens reserved.
    pub tokens: Tokens,
    /// The budget.
    pub budget: BudgetId,
}

/// The result of [`Wallet::reserve`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reserve {
    /// The tokens are reserved.
    Granted(Reservation),
    /// No grant here has enough.
    Short {
        /// The tokens that the holder's own grant lacks.
        missing: Tokens,
    },
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) free: Tokens,
    reserved: Tokens,
}

/// The tokens of one budget.
#[derive(Debug, Clone, Default)]
pub(crate) struct Account {
    /// By holder: this entry's own grant and those that it borrowed from.
    pub(crate) held: BTreeMap<Incarnation, Held>,
    /// Number of the last draw or return of this holder. It only grows.
    holder_op: u64,
    /// Invariant: at most one draw or return of a holder is under way.
    under_way: bool,
    /// The tokens that the waiting requests lacked when the draw was asked for.
    need: Tokens,
    /// The tokens of the return under way.
    returning: Tokens,
    /// When the last draw ended that moved nothing.
    last_empty: Option<Millis>,
    /// What this entry has lent and not got back.
    pub(crate) lent: Tokens,
    rate: Rate,
    last_short: Option<Millis>,
}

/// What this entry holds of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens that can be reserved.
    pub free: Tokens,
    /// Tokens reserved by requests in flight.
    pub reserved: Tokens,
    /// Tokens lent to peers and not given back.
    pub lent: Tokens,
    /// Tokens on the way back to the shard.
    pub returning: Tokens,
    /// The most tokens that one grant can offer when its reservations end unused.
    pub largest: Tokens,
}

/// A draw or return that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderOp {
    /// The grant.
    pub grant: GrantId,
    /// The number within the grant.
    pub number: u64,
    /// The tokens needed by a draw, or given back by a return.
    pub tokens: Tokens,
}

/// The tokens that one entry incarnation holds.
#[derive(Debug)]
pub struct Wallet {
    pub(crate) me: Incarnation,
    pub(crate) budgets: BTreeMap<BudgetId, Account>,
    /// Loans given, by borrower and loan number, so that a repeated call returns the same loan.
    pub(crate) loans: BTreeMap<(Incarnation, u64), (GrantId, Tokens)>,
    /// Loans taken whose answer was counted.
    pub(crate) borrowed: BTreeSet<u64>,
    /// Repayments taken, by borrower and repayment number.
    pub(crate) repaid: BTreeSet<(Incarnation, u64)>,
    pub(crate) fenced: bool,
}

impl Wallet {
    /// Creates the empty wallet of an incarnation.
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            budgets: BTreeMap::new(),
            loans: BTreeMap::new(),
            borrowed: BTreeSet::new(),
            repaid: BTreeSet::new(),
            fenced: false,
        }
    }

    /// Returns the holder.
    pub fn holder(&self) -> &Incarnation {
        &self.me
    }

    /// Returns true if the incarnation was fenced and spends no more.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Empties the wallet of a fenced incarnation. Nothing can be reserved from then on.
    pub fn fenced(&mut self) {
        self.fenced = true;
        self.budgets.clear();
        self.loans.clear();
    }

    pub(crate) fn own_grant(&self, budget: &BudgetId) -> GrantId {
        GrantId {
            budget: budget.clone(),
            holder: self.me.clone(),
        }
    }
}

/// Requests.
impl Wallet {
    /// Takes the worst case of a request out of one grant; borrowed grants come first, so that
    /// loans are used up and not stranded.
    pub fn reserve(&mut self, budget: &BudgetId, worst: Tokens, now: Millis) -> Reserve {
        if self.fenced {
            return Reserve::Short { missing: worst };
        }
        let account = self.budgets.entry(budget.clone()).or_default();
        let own = account.held.get(&self.me).copied().unwrap_or_default();
        let fits = |held: &Held| held.free >= worst;
        let holder = account
            .held
            .iter()
            .find(|(holder, held)| **holder != self.me && fits(held))
            .map(|(holder, _)| holder.clone())
            .or_else(|| fits(&own).then(|| self.me.clone()));
        let Some(holder) = holder else {
            account.last_short = Some(now);
            return Reserve::Short {
                missing: worst.saturating_sub(own.free),
            };
        };
        let held = account.held.entry(holder.clone()).or_default();
        held.free = held.free.saturating_sub(worst);
        held.reserved += worst;
        Reserve::Granted(Reservation {
            grant: GrantId {
                budget: budget.clone(),
                holder,
            },
            tokens: worst,
            budget: budget.clone(),
        })
    }

    /// Ends a reservation: `used` is billed by a receipt, the rest is free again. A use above the
    /// reservation is counted as the whole reservation.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, now: Millis) {
        let Some(account) = self.budgets.get_mut(&reservation.budget) else {
            return;
        };
        let Some(held) = account.held.get_mut(&reservation.grant.holder) else {
            return;
        };
        held.reserved = held.reserved.saturating_sub(reservation.tokens);
        held.free += reservation.tokens.saturating_sub(used);
        account.rate.record(used.min(reservation.tokens), now);
    }

    /// Ends a reservation of a request that is not billed.
    pub fn release(&mut self, reservation: Reservation, now: Millis) {
        self.settle(reservation, Tokens::ZERO, now);
    }
}

/// Draws and returns.
impl Wallet {
    /// Starts a draw, or notes the larger need of the one under way and returns `None`.
    pub fn start_draw(&mut self, budget: &BudgetId, need: Tokens) -> Option<HolderOp> {
        if self.fenced {
            return None;
        }
        let grant = self.own_grant(budget);
        let account = self.budgets.entry(budget.clone()).or_default();
        account.need = account.need.max(need);
        account.start(grant, need)
    }

    /// Starts the return of at most `tokens` that are free: they are debited here first.
    pub fn start_return(&mut self, budget: &BudgetId, tokens: Tokens) -> Option<HolderOp> {
        let grant = self.own_grant(budget);
        let account = self.budgets.get_mut(budget)?;
        let held = account.held.get_mut(&self.me)?;
        let tokens = tokens.min(held.free);
        if tokens.is_zero() || account.under_way {
            return None;
        }
        held.free = held.free.saturating_sub(tokens);
        account.returning = tokens;
        account.start(grant, tokens)
    }

    /// Ends the draw under way with the tokens that it moved, which may be zero.
    pub fn finish_draw(&mut self, op: &HolderOp, moved: Tokens, now: Millis) {
        let holder = self.me.clone();
        if let Some(account) = self.finish(op) {
            account.need = Tokens::ZERO;
            account.last_empty = moved.is_zero().then_some(now);
            account.held.entry(holder).or_default().free += moved;
        }
    }

    /// Ends the return under way.
    pub fn finish_return(&mut self, op: &HolderOp) {
        if let Some(account) = self.finish(op) {
            account.returning = Tokens::ZERO;
        }
    }

    /// Returns true if a draw may start: none is under way, and the last one moved something or
    /// ended `pause` ago.
    pub fn draw_due(&self, budget: &BudgetId, pause: Millis, now: Millis) -> bool {
        let Some(account) = self.budgets.get(budget) else {
            return true;
        };
        let waited = |at| now.saturating_sub(at) >= pause;
        !account.under_way && account.last_empty.is_none_or(waited)
    }

    fn finish(&mut self, op: &HolderOp) -> Option<&mut Account> {
        let account = self.budgets.get_mut(&op.grant.budget)?;
        if !account.under_way || account.holder_op != op.number {
            return None;
        }
        account.under_way = false;
        Some(account)
    }

    /// Returns the tokens that the draw under way is needed for.
    pub fn need(&self, budget: &BudgetId) -> Tokens {
        self.budgets
            .get(budget)
            .map_or(Tokens::ZERO, |account| account.need)
    }
}

impl Account {
    fn start(&mut self, grant: GrantId, tokens: Tokens) -> Option<HolderOp> {
        if self.under_way {
            return None;
        }
        self.under_way = true;
        self.holder_op += 1;
        Some(HolderOp {
            grant,
            number: self.holder_op,
            tokens,
        })
    }
}

/// What is held.
impl Wallet {
    /// Returns the budgets that this entry has used.
    pub fn budgets(&self) -> Vec<BudgetId> {
        self.budgets.keys().cloned().collect()
    }

    /// Returns the tokens held of a budget.
    pub fn holding(&self, budget: &BudgetId) -> Holding {
        let Some(account) = self.budgets.get(budget) else {
            return Holding::default();
        };
        let largest = account.held.values().map(|held| held.free + held.reserved);
        Holding {
            free: account.held.values().map(|held| held.free).sum(),
            reserved: account.held.values().map(|held| held.reserved).sum(),
            lent: account.lent,
            returning: account.returning,
            largest: largest.max().unwrap_or_default(),
        }
    }

    /// Returns the free tokens of this entry's own grant.
    pub fn own_free(&self, budget: &BudgetId) -> Tokens {
        let account = self.budgets.get(budget);
        let held = account.and_then(|account| account.held.get(&self.me));
        held.map_or(Tokens::ZERO, |held| held.free)
    }

    /// Returns the reserved tokens of this entry's own grant.
    pub fn own_reserved(&self, budget: &BudgetId) -> Tokens {
        let account = self.budgets.get(budget);
        let held = account.and_then(|account| account.held.get(&self.me));
        held.map_or(Tokens::ZERO, |held| held.reserved)
    }

    /// Returns the rate of use of a budget at this entry.
    pub fn rate(&self, budget: &BudgetId, now: Millis) -> PerSecond {
        let account = self.budgets.get(budget);
        account.map_or(PerSecond::default(), |account| account.rate.at(now))
    }

    /// Returns true if no request was short of this budget for `idle`.
    pub fn is_plenty(&self, budget: &BudgetId, idle: Millis, now: Millis) -> bool {
        let account = self.budgets.get(budget);
        let short = account.and_then(|account| account.last_short);
        now.saturating_sub(short.unwrap_or_default()) >= idle
    }

    /// Returns true if no request used this budget for `idle`.
    pub fn is_idle(&self, budget: &BudgetId, idle: Millis, now: Millis) -> bool {
        let account = self.budgets.get(budget);
        let used = account.and_then(|account| account.rate.since);
        now.saturating_sub(used.unwrap_or_default()) >= idle && self.is_plenty(budget, idle, now)
    }
}
