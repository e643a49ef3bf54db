//! Writes of the shared record: what to draw and to return, and what came of a write.

use std::collections::BTreeMap;

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};

use super::{HOLDER_PRUNE, Holder, Purse, Shares, Wallet};

/// All entries together keep at most this part of what an account has left, in percent, so that
/// a request finds tokens at any entry and a kill of all entries leaves some.
const HELD_PERCENT: u64 = 15;
/// What an account may lose by kills before entries hold less of it, in percent of what it paid.
const LOSS_PERCENT: u64 = 12;
/// After that all entries together hold this part of what is left, in percent.
const CAREFUL_PERCENT: u64 = 3;
/// The smallest part of an account that an entry may hold, relative to an even part.
const MIN_PART: f64 = 0.25;
/// The first draw without a measured rate, as a part of the prepaid total.
const FIRST_PART: u64 = 150;
/// A surplus below this part of the prepaid total is not worth a write of its own.
const SURPLUS_PART: u64 = 100;
/// Each entry writes at least this often, so that others can count it.
pub const HEARTBEAT: Millis = Millis::new(2_000);

/// One account's part of a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The account.
    pub account: ClientAccountId,
    /// Tokens that the write draws.
    pub drawn: Tokens,
    /// Tokens that the write returns; they cannot be used from the making of the plan on.
    pub returned: Tokens,
}

/// A write of the shared record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The version that the record must have; `None` if it must not exist.
    pub base: Option<Version>,
    /// The record to be written.
    pub shares: Shares,
    /// What the write moves.
    pub moves: Vec<Move>,
}

/// Returns what all entries together should hold of an account that has `total` left, whoever
/// holds it. Less once kills have cost the account its share of losses.
fn held_by_all(shares: &Shares, account: &ClientAccountId, paid: Tokens, total: Tokens) -> u64 {
    let lost = shares.lost.get(account).copied().unwrap_or_default();
    let may_lose = (paid.get() * LOSS_PERCENT / 100).saturating_sub(lost.get());
    let careful = total.get() * CAREFUL_PERCENT / 100;
    (total.get() * HELD_PERCENT / 100).min(may_lose.max(careful))
}

/// Writes of the shared record.
impl Wallet {
    /// Takes the record as read, and settles a write of unknown outcome by it.
    pub fn observe(&mut self, version: Option<Version>, shares: Shares, now: Millis) {
        for (vm, holder) in &shares.holders {
            let mark = (holder.start, holder.writes);
            let known = self.changes.get(vm).map(|known| (known.0, known.1));
            if known != Some(mark) {
                self.changes.insert(vm.clone(), (mark.0, mark.1, now));
            }
        }
        if let Some(plan) = &self.pending {
            let mine = shares.holders.get(&self.me);
            let landed =
                mine.is_some_and(|mine| mine.start == self.start && mine.writes == self.writes);
            if landed {
                self.finish(true);
            } else if plan.base != version {
                self.finish(false);
            }
        }
        self.seen = Some((version, shares));
    }

    /// Returns true if a write is due, as far as the record is known.
    pub fn is_due(&self, now: Millis) -> bool {
        let moves = |(_, shares): &(Option<Version>, Shares)| !self.moves(shares, now).is_empty();
        self.pending.is_some()
            || self.is_heartbeat_due(now)
            || self
                .purses
                .values()
                .any(|purse| purse.free < purse.wanted())
            || self.seen.as_ref().is_none_or(moves)
    }

    fn is_heartbeat_due(&self, now: Millis) -> bool {
        let written = self.written;
        written.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT)
    }

    fn moves(&self, shares: &Shares, now: Millis) -> Vec<Move> {
        let accounts = self.prepaid.keys();
        accounts
            .filter_map(|account| self.plan_move(shares, account.clone(), now))
            .collect()
    }

    /// Returns the write that is due: the one of unknown outcome again, or a new one.
    pub fn plan(&mut self, now: Millis) -> Option<Plan> {
        if let Some(pending) = &self.pending {
            return Some(pending.clone());
        }
        let (base, shares) = self.seen.clone()?;
        let moves = self.moves(&shares, now);
        if moves.is_empty() && !self.is_heartbeat_due(now) {
            return None;
        }
        self.writes += 1;
        let shares = self.next_shares(shares, &moves, now);
        for step in &moves {
            let purse = self.purses.entry(step.account.clone()).or_default();
            purse.free = purse.free.saturating_sub(step.returned);
        }
        let plan = Plan {
            base,
            shares,
            moves,
        };
        self.pending = Some(plan.clone());
        Some(plan)
    }

    /// Notes that the planned write was made and gave the record `version`.
    pub fn written(&mut self, version: Version, now: Millis) {
        if let Some(plan) = &self.pending {
            self.seen = Some((Some(version), plan.shares.clone()));
        }
        self.written = Some(now);
        self.finish(true);
    }

    /// Notes that a send of the planned write was refused without effect.
    pub fn refused(&mut self) {
        if !self.is_unanswered {
            self.finish(false);
        }
    }

    /// Notes that a send of the planned write got no answer: it may be made, now or later.
    pub fn unanswered(&mut self) {
        self.is_unanswered = self.pending.is_some();
    }

    fn finish(&mut self, is_done: bool) {
        let Some(plan) = self.pending.take() else {
            return;
        };
        self.is_unanswered = false;
        for step in plan.moves {
            let purse = self.purses.entry(step.account).or_default();
            purse.free += if is_done { step.drawn } else { step.returned };
        }
    }

    fn plan_move(&self, shares: &Shares, account: ClientAccountId, now: Millis) -> Option<Move> {
        let paid = *self.prepaid.get(&account)?;
        let left = paid.saturating_sub(shares.drawn(&account));
        let purse = self.purses.get(&account).cloned().unwrap_or_default();
        let keep = self.keep(shares, &account, paid, now);
        let wanted = purse.wanted() + keep;
        let is_low = purse.free < purse.wanted() || purse.free.get() < keep.get() * 3 / 4;
        if is_low && !self.is_closed {
            let lack = wanted.saturating_sub(purse.free);
            let drawn = lack.min(left);
            return (!drawn.is_zero()).then_some(Move {
                account,
                drawn,
                returned: Tokens::ZERO,
            });
        }
        let surplus = purse
            .free
            .saturating_sub(wanted + Tokens::new(keep.get() / 2));
        let is_worth = self.is_closed || surplus.get() > paid.get() / SURPLUS_PART;
        (is_worth && !surplus.is_zero()).then_some(Move {
            account,
            drawn: Tokens::ZERO,
            returned: surplus,
        })
    }

    /// Returns what should be kept here of an account. Its part of what the account has left
    /// does not depend on who holds that, so that entries do not pass tokens back and forth.
    fn keep(
        &self,
        shares: &Shares,
        account: &ClientAccountId,
        paid: Tokens,
        now: Millis,
    ) -> Tokens {
        if self.is_closed {
            return Tokens::ZERO;
        }
        let unspent = shares
            .holders
            .iter()
            .filter(|(vm, _)| **vm != self.me)
            .filter_map(|(_, holder)| holder.unspent.get(account).copied());
        let here = self
            .purses
            .get(account)
            .map_or(Tokens::ZERO, Purse::unspent);
        let left = paid.saturating_sub(shares.drawn(account));
        let total: Tokens = unspent.sum::<Tokens>() + here + left;
        let held = held_by_all(shares, account, paid, total);
        let purse = self.purses.get(account);
        let rate = purse.map_or(0.0, |purse| purse.rate(now));
        let fair = held as f64 * self.part(shares, account, rate, now);
        let first = Tokens::new(paid.get() / FIRST_PART);
        let cover = purse.map_or(Tokens::ZERO, |purse| purse.cover(now));
        cover.max(first).min(Tokens::new(fair as u64))
    }

    /// Returns this entry's part of an account's use, at least a quarter of an even part:
    /// callers of one account mostly stay with one entry.
    fn part(&self, shares: &Shares, account: &ClientAccountId, rate: f64, now: Millis) -> f64 {
        let others = shares.holders.iter().filter(|(vm, _)| **vm != self.me);
        let running = others.filter(|(vm, _)| {
            let change = self.changes.get(*vm);
            change.is_some_and(|change| now.saturating_sub(change.2) <= HOLDER_PRUNE)
        });
        let rates = running.filter_map(|(_, holder)| holder.rates.get(account));
        let elsewhere: Tokens = rates.copied().sum();
        let all = rate + elsewhere.get() as f64;
        let even = 1.0 / self.entries(now) as f64;
        let own = if all > 0.0 { rate / all } else { even };
        own.max(even * MIN_PART)
    }

    fn next_shares(&self, mut shares: Shares, moves: &[Move], now: Millis) -> Shares {
        let mut unspent: BTreeMap<ClientAccountId, Tokens> = self
            .purses
            .iter()
            .map(|(account, purse)| (account.clone(), purse.unspent()))
            .collect();
        for step in moves {
            let drawn = shares.drawn.entry(step.account.clone()).or_default();
            *drawn = (*drawn + step.drawn).saturating_sub(step.returned);
            let here = unspent.entry(step.account.clone()).or_default();
            *here = (*here + step.drawn).saturating_sub(step.returned);
        }
        unspent.retain(|_, tokens| !tokens.is_zero());
        let is_recent = |vm: &VmId| {
            let change = self.changes.get(vm);
            change.is_none_or(|(_, _, at)| now.saturating_sub(*at) <= HOLDER_PRUNE)
        };
        if shares.key.is_empty() {
            shares.key = format!("{:032x}", rand::random::<u128>()).into();
        }
        let is_gone = |vm: &VmId, holder: &Holder| {
            let is_replaced = *vm == self.me && holder.start != self.start;
            is_replaced || !is_recent(vm)
        };
        let gone = shares
            .holders
            .iter()
            .filter(|(vm, holder)| is_gone(vm, holder));
        for (account, tokens) in gone.flat_map(|(_, holder)| &holder.unspent) {
            *shares.lost.entry(account.clone()).or_default() += *tokens;
        }
        shares.holders.retain(|vm, _| is_recent(vm));
        let rates = self.purses.iter().filter_map(|(account, purse)| {
            let rate = Tokens::new(purse.rate(now) as u64);
            (!rate.is_zero()).then(|| (account.clone(), rate))
        });
        let mine = Holder {
            start: self.start,
            writes: self.writes,
            peers: self.peers,
            unspent,
            rates: rates.collect(),
        };
        shares.holders.insert(self.me.clone(), mine);
        shares
    }
}
