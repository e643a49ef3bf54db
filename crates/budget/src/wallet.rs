//! In-memory state of an entry: the tokens that it holds by grants, and the reservations on them.
//!
//! Nothing here waits or does I/O. Invariant until the holder is fenced: the amount of its grant in
//! the shard covers the tokens free and reserved here, used but not settled yet, and on loan to
//! peers.

use std::collections::{BTreeMap, BTreeSet};

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Incarnation, Millis, PerSecond, Tokens};

use crate::rate::Rate;

/// Tokens reserved in one grant for the worst case of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a reservation has to be settled or released"]
pub struct Reservation {
    /// The grant that is billed.
    pub grant: GrantId,
    /// The tokens reserved.
    pub tokens: Tokens,
    /// The budget.
    pub budget: BudgetId,
}

/// The result of [`Wallet::reserve`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Granted(Reservation),
    /// No grant in the wallet has enough free tokens.
    Short {
        /// Tokens that this entry's own grant lacks.
        missing: Tokens,
    },
}

/// Tokens of one grant at this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct GrantBalance {
    pub(crate) free: Tokens,
    reserved: Tokens,
}

/// Tokens of one budget at this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct BudgetBalance {
    /// By holder: this entry's own grant and the grants that it has borrowed from.
    pub(crate) grants: BTreeMap<Incarnation, GrantBalance>,
    /// Number of the last draw or return of this holder; never decreases.
    holder_op: u64,
    /// True while a draw or return is in flight. Invariant: at most one is.
    op_in_flight: bool,
    /// Tokens that waiting requests lack, for the draw in flight.
    need: Tokens,
    /// Tokens of the return in flight.
    returning: Tokens,
    /// End of the last draw, if it moved no tokens.
    last_empty_draw: Option<Millis>,
    /// Tokens lent to peers and not repaid.
    pub(crate) lent: Tokens,
    rate: Rate,
    last_shortfall: Option<Millis>,
}

/// Tokens that this entry holds of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens that can be reserved.
    pub free: Tokens,
    /// Tokens reserved by requests in flight.
    pub reserved: Tokens,
    /// Tokens lent to peers and not repaid.
    pub lent: Tokens,
    /// Tokens of a return to the shard in flight.
    pub returning: Tokens,
    /// The most tokens that one grant could offer if its reservations end unused.
    pub largest_grant: Tokens,
}

/// A draw or return in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderOp {
    /// The grant.
    pub grant: GrantId,
    /// The number of the operation within the grant.
    pub number: u64,
    /// Tokens needed by a draw, or moved by a return.
    pub tokens: Tokens,
}

/// The tokens that one entry incarnation holds.
#[derive(Debug)]
pub struct Wallet {
    pub(crate) holder: Incarnation,
    pub(crate) budgets: BTreeMap<BudgetId, BudgetBalance>,
    /// Loans to peers by borrower and loan number, so that a repeated call returns the same loan.
    pub(crate) loans_given: BTreeMap<(Incarnation, u64), (GrantId, Tokens)>,
    /// Numbers of the loans from peers whose tokens were added.
    pub(crate) loans_received: BTreeSet<u64>,
    /// Repayments that were added, by borrower and repayment number.
    pub(crate) repayments_received: BTreeSet<(Incarnation, u64)>,
    pub(crate) fenced: bool,
}

impl Wallet {
    /// Creates an empty wallet of the entry incarnation `holder`.
    pub fn new(holder: Incarnation) -> Self {
        Self {
            holder,
            budgets: BTreeMap::new(),
            loans_given: BTreeMap::new(),
            loans_received: BTreeSet::new(),
            repayments_received: BTreeSet::new(),
            fenced: false,
        }
    }

    /// The entry incarnation that holds the tokens.
    pub fn holder(&self) -> &Incarnation {
        &self.holder
    }

    /// True once the incarnation was fenced; nothing can be reserved from then on.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Empties the wallet of a fenced incarnation. Nothing can be reserved from then on.
    pub fn fence(&mut self) {
        self.fenced = true;
        self.budgets.clear();
        self.loans_given.clear();
    }

    pub(crate) fn own_grant(&self, budget: &BudgetId) -> GrantId {
        GrantId {
            budget: budget.clone(),
            holder: self.holder.clone(),
        }
    }
}

/// Requests.
impl Wallet {
    /// Reserves the worst case of a request in one grant. Borrowed grants come first, so that loans
    /// are used up.
    pub fn reserve(
        &mut self,
        budget: &BudgetId,
        worst_case: Tokens,
        now: Millis,
    ) -> ReserveOutcome {
        if self.fenced {
            return ReserveOutcome::Short {
                missing: worst_case,
            };
        }
        let balance = self.budgets.entry(budget.clone()).or_default();
        let own = balance
            .grants
            .get(&self.holder)
            .copied()
            .unwrap_or_default();
        let fits = |held: &GrantBalance| held.free >= worst_case;
        let holder = balance
            .grants
            .iter()
            .find(|(holder, held)| **holder != self.holder && fits(held))
            .map(|(holder, _)| holder.clone())
            .or_else(|| fits(&own).then(|| self.holder.clone()));
        let Some(holder) = holder else {
            balance.last_shortfall = Some(now);
            return ReserveOutcome::Short {
                missing: worst_case.saturating_sub(own.free),
            };
        };
        let held = balance.grants.entry(holder.clone()).or_default();
        held.free = held.free.saturating_sub(worst_case);
        held.reserved += worst_case;
        ReserveOutcome::Granted(Reservation {
            grant: GrantId {
                budget: budget.clone(),
                holder,
            },
            tokens: worst_case,
            budget: budget.clone(),
        })
    }

    /// Ends a reservation: `used` is billed by a receipt, the rest is free again. Use above the
    /// reservation is capped at the reservation.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, now: Millis) {
        let Some(balance) = self.budgets.get_mut(&reservation.budget) else {
            return;
        };
        let Some(held) = balance.grants.get_mut(&reservation.grant.holder) else {
            return;
        };
        held.reserved = held.reserved.saturating_sub(reservation.tokens);
        held.free += reservation.tokens.saturating_sub(used);
        balance.rate.record(used.min(reservation.tokens), now);
    }

    /// Ends a reservation of a request that is not billed.
    pub fn release(&mut self, reservation: Reservation, now: Millis) {
        self.settle(reservation, Tokens::ZERO, now);
    }
}

/// Draws and returns.
impl Wallet {
    /// Starts a draw. If a draw or return is in flight, records the larger need and returns `None`.
    pub fn start_draw(&mut self, budget: &BudgetId, need: Tokens) -> Option<HolderOp> {
        if self.fenced {
            return None;
        }
        let grant = self.own_grant(budget);
        let balance = self.budgets.entry(budget.clone()).or_default();
        balance.need = balance.need.max(need);
        balance.start_op(grant, need)
    }

    /// Starts the return of at most `tokens` free tokens, which are debited here at once.
    pub fn start_return(&mut self, budget: &BudgetId, tokens: Tokens) -> Option<HolderOp> {
        let grant = self.own_grant(budget);
        let balance = self.budgets.get_mut(budget)?;
        let held = balance.grants.get_mut(&self.holder)?;
        let tokens = tokens.min(held.free);
        if tokens.is_zero() || balance.op_in_flight {
            return None;
        }
        held.free = held.free.saturating_sub(tokens);
        balance.returning = tokens;
        balance.start_op(grant, tokens)
    }

    /// Ends the draw in flight, which moved `moved` tokens, possibly zero.
    pub fn finish_draw(&mut self, op: &HolderOp, moved: Tokens, now: Millis) {
        let holder = self.holder.clone();
        if let Some(balance) = self.finish_op(op) {
            balance.need = Tokens::ZERO;
            balance.last_empty_draw = moved.is_zero().then_some(now);
            balance.grants.entry(holder).or_default().free += moved;
        }
    }

    /// Ends the return in flight.
    pub fn finish_return(&mut self, op: &HolderOp) {
        if let Some(balance) = self.finish_op(op) {
            balance.returning = Tokens::ZERO;
        }
    }

    /// True if a draw may start: no draw or return is in flight, and the last draw moved tokens or
    /// ended at least `pause` ago.
    pub fn draw_due(&self, budget: &BudgetId, pause: Millis, now: Millis) -> bool {
        let Some(balance) = self.budgets.get(budget) else {
            return true;
        };
        let has_elapsed = |at| now.saturating_sub(at) >= pause;
        !balance.op_in_flight && balance.last_empty_draw.is_none_or(has_elapsed)
    }

    fn finish_op(&mut self, op: &HolderOp) -> Option<&mut BudgetBalance> {
        let balance = self.budgets.get_mut(&op.grant.budget)?;
        if !balance.op_in_flight || balance.holder_op != op.number {
            return None;
        }
        balance.op_in_flight = false;
        Some(balance)
    }

    /// Tokens that waiting requests lack, for the draw in flight.
    pub fn need(&self, budget: &BudgetId) -> Tokens {
        self.budgets
            .get(budget)
            .map_or(Tokens::ZERO, |balance| balance.need)
    }
}

impl BudgetBalance {
    fn start_op(&mut self, grant: GrantId, tokens: Tokens) -> Option<HolderOp> {
        if self.op_in_flight {
            return None;
        }
        self.op_in_flight = true;
        self.holder_op += 1;
        Some(HolderOp {
            grant,
            number: self.holder_op,
            tokens,
        })
    }
}

/// Tokens held.
impl Wallet {
    /// The budgets that this entry has used.
    pub fn budgets(&self) -> Vec<BudgetId> {
        self.budgets.keys().cloned().collect()
    }

    /// Tokens held of a budget, over all grants.
    pub fn holding(&self, budget: &BudgetId) -> Holding {
        let Some(balance) = self.budgets.get(budget) else {
            return Holding::default();
        };
        let largest_grant = balance
            .grants
            .values()
            .map(|held| held.free + held.reserved);
        Holding {
            free: balance.grants.values().map(|held| held.free).sum(),
            reserved: balance.grants.values().map(|held| held.reserved).sum(),
            lent: balance.lent,
            returning: balance.returning,
            largest_grant: largest_grant.max().unwrap_or_default(),
        }
    }

    /// Free tokens of this entry's own grant.
    pub fn own_free(&self, budget: &BudgetId) -> Tokens {
        let balance = self.budgets.get(budget);
        let held = balance.and_then(|balance| balance.grants.get(&self.holder));
        held.map_or(Tokens::ZERO, |held| held.free)
    }

    /// Reserved tokens of this entry's own grant.
    pub fn own_reserved(&self, budget: &BudgetId) -> Tokens {
        let balance = self.budgets.get(budget);
        let held = balance.and_then(|balance| balance.grants.get(&self.holder));
        held.map_or(Tokens::ZERO, |held| held.reserved)
    }

    /// Rate of use of a budget at this entry.
    pub fn rate(&self, budget: &BudgetId, now: Millis) -> PerSecond {
        let balance = self.budgets.get(budget);
        balance.map_or(PerSecond::default(), |balance| balance.rate.at(now))
    }

    /// True if no reservation of this budget failed for lack of tokens within the last `idle`.
    pub fn had_no_shortfall(&self, budget: &BudgetId, idle: Millis, now: Millis) -> bool {
        let balance = self.budgets.get(budget);
        let last_shortfall = balance.and_then(|balance| balance.last_shortfall);
        now.saturating_sub(last_shortfall.unwrap_or_default()) >= idle
    }

    /// True if no request used this budget, or failed to reserve from it, within the last `idle`.
    pub fn is_idle(&self, budget: &BudgetId, idle: Millis, now: Millis) -> bool {
        let balance = self.budgets.get(budget);
        let last_use = balance.and_then(|balance| balance.rate.last_use);
        now.saturating_sub(last_use.unwrap_or_default()) >= idle
            && self.had_no_shortfall(budget, idle, now)
    }
}
