//! Writes of an account's record: what to draw and to return, and what came of a write.

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};

use super::{Holder, Purse, Record, Wallet};

/// A home keeps at most this part of what an account has left, in percent, so that requests find
/// tokens while the store is away and a kill leaves most.
const HELD_PERCENT: u64 = 15;
/// What an account may lose by kills before its home keeps less of it, in percent of what it paid.
const LOSS_PERCENT: u64 = 12;
/// After that a home keeps this part of what is left, in percent.
const CAREFUL_PERCENT: u64 = 3;
/// A home draws when less than this part of what it should keep is free, in percent.
const REFILL_PERCENT: u64 = 75;
/// The first draw without a measured rate, as a part of the prepaid total.
const FIRST_PART: u64 = 150;
/// A surplus below this part of the prepaid total is not worth a write of its own.
const SURPLUS_PART: u64 = 100;
/// A draw of an entry that stands in for the home covers this much further use.
const STAND_IN_COVER: Millis = Millis::new(2_000);
/// While less than this part of the prepaid total is left in the record, in percent, entries
/// correct there what they hold, so that others can tell when the account is used up.
const SCARCE_PERCENT: u64 = 5;
/// An entry corrects its part of the record at most this often.
const CORRECT_AFTER: Millis = Millis::new(1_000);
/// A record is read again after this long while it decides that requests are refused.
pub const REREAD: Millis = Millis::new(2_000);

/// What this entry does for an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It draws ahead.
    Home,
    /// It borrows from the home, and draws only if it has to stand in for it.
    Guest,
}

/// A write of an account's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The account.
    pub account: ClientAccountId,
    /// The version that the record must have; `None` if it must not exist.
    pub base: Option<Version>,
    /// The record to be written.
    pub record: Record,
    /// Tokens that the write draws.
    pub drawn: Tokens,
    /// Tokens that the write returns; they cannot be used from the making of the plan on.
    pub returned: Tokens,
}

/// What a write moves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Move {
    drawn: Tokens,
    returned: Tokens,
}

impl Move {
    fn draw(drawn: Tokens) -> Self {
        Self {
            drawn,
            ..Self::default()
        }
    }

    fn back(returned: Tokens) -> Self {
        Self {
            returned,
            ..Self::default()
        }
    }

    fn is_empty(self) -> bool {
        self.drawn.is_zero() && self.returned.is_zero()
    }
}

/// Returns what a home may keep of an account that has `total` left, whoever holds it. Less once
/// kills have cost the account its share of losses.
fn most_held(record: &Record, paid: Tokens, total: Tokens) -> u64 {
    let may_lose = (paid.get() * LOSS_PERCENT / 100).saturating_sub(record.lost.get());
    let careful = total.get() * CAREFUL_PERCENT / 100;
    (total.get() * HELD_PERCENT / 100).min(may_lose.max(careful))
}

/// Writes of the records.
impl Wallet {
    /// Returns the accounts of which a record has to be read or written. `role` tells what this
    /// entry does for an account.
    pub fn due(
        &self,
        role: impl Fn(&ClientAccountId) -> Role,
        now: Millis,
    ) -> Vec<ClientAccountId> {
        let is_due = |account: &ClientAccountId, purse: &Purse| {
            let role = role(account);
            purse.pending.is_some()
                || self.needs_read(purse, role, now)
                || self.next_move(purse, role, now).is_some()
        };
        let due = self
            .purses
            .iter()
            .filter(|(account, purse)| is_due(account, purse));
        due.map(|(account, _)| account.clone()).collect()
    }

    /// Returns true if the record has to be read before anything can be decided.
    pub fn must_read(&self, account: &ClientAccountId, role: Role, now: Millis) -> bool {
        let purse = self.purses.get(account);
        purse.is_some_and(|purse| purse.is_unanswered || self.needs_read(purse, role, now))
    }

    fn needs_read(&self, purse: &Purse, role: Role, now: Millis) -> bool {
        if self.is_closed {
            return (purse.seen.is_none() || purse.is_outdated) && !purse.free.is_zero();
        }
        if !purse.draws(role, now) {
            return false;
        }
        let is_old = now.saturating_sub(purse.read) >= REREAD;
        let is_short = purse.short.is_some_and(|at| at >= purse.read);
        purse.seen.is_none() || purse.is_outdated || (is_short && is_old)
    }

    /// Takes a record as read, and settles a write of unknown outcome by it.
    pub fn observe(
        &mut self,
        account: &ClientAccountId,
        version: Option<Version>,
        record: Record,
        now: Millis,
    ) {
        let (me, start) = (self.me.clone(), self.start);
        let purse = self.purse(account);
        if let Some(plan) = &purse.pending {
            let mine = record.holders.get(&me);
            let landed =
                mine.is_some_and(|mine| mine.start == start && mine.writes == purse.writes);
            if landed {
                purse.finish(true);
            } else if plan.base != version {
                purse.finish(false);
            }
        }
        purse.seen = Some((version, record));
        purse.read = now;
        purse.is_outdated = false;
    }

    /// Returns the write that is due: the one of unknown outcome again, or a new one.
    pub fn plan(&mut self, account: &ClientAccountId, role: Role, now: Millis) -> Option<Plan> {
        let purse = self.purses.get(account)?;
        if let Some(pending) = &purse.pending {
            return Some(pending.clone());
        }
        let step = self.next_move(purse, role, now)?;
        let (base, record) = purse.seen.clone()?;
        let record = self.without_gone(record);
        let me = self.me.clone();
        let start = self.start;
        let purse = self.purse(account);
        purse.writes += 1;
        let mine = Holder {
            start,
            writes: purse.writes,
            unspent: (purse.unspent() + step.drawn).saturating_sub(step.returned),
        };
        purse.free = purse.free.saturating_sub(step.returned);
        let plan = Plan {
            account: account.clone(),
            base,
            record: next_record(record, &me, mine, step),
            drawn: step.drawn,
            returned: step.returned,
        };
        purse.pending = Some(plan.clone());
        Some(plan)
    }

    /// Notes that the planned write was made and gave the record `version`.
    pub fn written(&mut self, account: &ClientAccountId, version: Version, now: Millis) {
        let purse = self.purse(account);
        if let Some(plan) = &purse.pending {
            purse.seen = Some((Some(version), plan.record.clone()));
            purse.read = now;
            purse.wrote = now;
        }
        purse.finish(true);
    }

    /// Notes that a send of the planned write met another version of the record. The next read
    /// tells whether an earlier send of it was made.
    pub fn conflicted(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        purse.is_outdated = true;
        if !purse.is_unanswered {
            purse.finish(false);
        }
    }

    /// Notes that a send of the planned write was refused without effect.
    pub fn refused(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        if !purse.is_unanswered {
            purse.finish(false);
        }
    }

    /// Notes that a send of the planned write got no answer: it may be made, now or later.
    pub fn unanswered(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        purse.is_unanswered = purse.pending.is_some();
    }

    /// Counts what holders that have ended did not return as lost.
    fn without_gone(&self, mut record: Record) -> Record {
        let gone = record.holders.iter();
        let gone = gone.filter(|(vm, holder)| self.is_gone(vm, holder));
        let lost: Tokens = gone.map(|(_, holder)| holder.unspent).sum();
        record.lost += lost;
        record
            .holders
            .retain(|vm, holder| !self.is_gone(vm, holder));
        record
    }

    fn next_move(&self, purse: &Purse, role: Role, now: Millis) -> Option<Move> {
        let (_, record) = purse.seen.as_ref()?;
        let paid = purse.paid.unwrap_or_default();
        let step = match role {
            _ if self.is_closed => Move::back(purse.free),
            Role::Home => self.home_move(purse, record, now),
            Role::Guest if purse.draws(role, now) => {
                let lack = purse.wanted().saturating_sub(purse.free);
                let drawn = match lack.is_zero() {
                    true => Tokens::ZERO,
                    false => lack + purse.expected(STAND_IN_COVER, now),
                };
                Move::draw(drawn.min(paid.saturating_sub(record.drawn)))
            }
            Role::Guest => Move::default(),
        };
        (!step.is_empty() || self.is_correction_due(purse, record, now)).then_some(step)
    }

    /// Returns true if the record of an account that is nearly used up says that much more is
    /// held here than there is.
    fn is_correction_due(&self, purse: &Purse, record: &Record, now: Millis) -> bool {
        let paid = purse.paid.unwrap_or_default().get();
        let left = paid.saturating_sub(record.drawn.get());
        let mine = record.holders.get(&self.me);
        let told = mine.filter(|mine| mine.start == self.start);
        let told = told.map_or(Tokens::ZERO, |mine| mine.unspent);
        let is_wrong = told.saturating_sub(purse.unspent()).get() > paid / SURPLUS_PART;
        let is_old = now.saturating_sub(purse.wrote) >= CORRECT_AFTER;
        is_wrong && is_old && left < paid * SCARCE_PERCENT / 100
    }

    fn home_move(&self, purse: &Purse, record: &Record, now: Millis) -> Move {
        let Some(paid) = purse.paid else {
            return Move::default();
        };
        let keep = self.keep(purse, record, paid, now);
        let wanted = purse.wanted() + keep;
        let is_low =
            purse.free < purse.wanted() || purse.free.get() < keep.get() * REFILL_PERCENT / 100;
        if is_low {
            let lack = wanted.saturating_sub(purse.free);
            return Move::draw(lack.min(paid.saturating_sub(record.drawn)));
        }
        let surplus = purse
            .free
            .saturating_sub(wanted + Tokens::new(keep.get() / 2));
        let is_worth = surplus.get() > paid.get() / SURPLUS_PART;
        Move::back(if is_worth { surplus } else { Tokens::ZERO })
    }

    /// Returns what a home should keep. It does not depend on who holds what the account has left,
    /// so that a change of the home moves no tokens twice.
    fn keep(&self, purse: &Purse, record: &Record, paid: Tokens, now: Millis) -> Tokens {
        let left = paid.saturating_sub(record.drawn);
        let total = self.held_elsewhere(record) + purse.unspent() + left;
        let fair = Tokens::new(most_held(record, paid, total));
        let first = Tokens::new(paid.get() / FIRST_PART);
        purse.cover(now).max(first).min(fair)
    }
}

impl Purse {
    /// Returns true if this entry draws tokens of the account.
    fn draws(&self, role: Role, now: Millis) -> bool {
        let stands_in = self.stands_in.is_some_and(|until| now < until);
        self.paid.is_some() && (role == Role::Home || stands_in)
    }

    fn finish(&mut self, is_done: bool) {
        let Some(plan) = self.pending.take() else {
            return;
        };
        self.is_unanswered = false;
        self.free += if is_done { plan.drawn } else { plan.returned };
    }
}

/// Returns the record after a move. This entry is kept in it without tokens too: the number of
/// the write tells whether it was made.
fn next_record(mut record: Record, me: &VmId, mine: Holder, step: Move) -> Record {
    record.drawn = (record.drawn + step.drawn).saturating_sub(step.returned);
    record.holders.insert(me.clone(), mine);
    record
}
