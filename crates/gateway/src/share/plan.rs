//! Planning of writes to an account's record: how much to draw or return, and how to handle the
//! result of a write.

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};

use super::{Holder, Purse, Record, Wallet};

/// Maximum part of an account's remaining tokens that its owner holds, so that requests find tokens
/// during an outage of the store and a kill loses little.
const HELD_PERCENT: u64 = 15;
/// Part of the prepaid total that may be lost to kills before the owner holds less.
const LOSS_PERCENT: u64 = 12;
/// Part of the remaining tokens that the owner holds after that.
const CAREFUL_PERCENT: u64 = 3;
/// The owner draws when its free tokens fall below this part of the intended holding.
const REFILL_PERCENT: u64 = 75;
/// Divisor of the prepaid total: size of the first draw, before a usage rate is measured.
const FIRST_PART: u64 = 150;
/// Divisor of the prepaid total; a smaller surplus is not worth a write of its own.
const SURPLUS_PART: u64 = 100;
/// A draw of an acting owner covers this much further use.
const STAND_IN_COVER: Millis = Millis::new(2_000);
/// While less than this part of the prepaid total is left in the record, entries correct the
/// amounts that it says they hold, so that other entries can tell when the account is exhausted.
const SCARCE_PERCENT: u64 = 5;
/// Minimum time between corrections of a record by one entry.
const CORRECT_AFTER: Millis = Millis::new(1_000);
/// A record that causes refusals is read again after this time.
pub const REREAD: Millis = Millis::new(2_000);

/// The responsibility of this entry for an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Draws tokens in advance.
    Home,
    /// Borrows from the owner and draws only as acting owner.
    Guest,
}

/// A planned compare-and-swap write of an account's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The account.
    pub account: ClientAccountId,
    /// Required current version of the record; `None` if it must not exist.
    pub base: Option<Version>,
    /// The record to write.
    pub record: Record,
    /// Tokens that the write draws.
    pub drawn: Tokens,
    /// Tokens that the write returns; they are unusable as soon as the write is planned.
    pub returned: Tokens,
}

/// Tokens that a write moves to or from this entry.
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

/// Maximum tokens that the owner holds of an account with `total` tokens left, whoever holds them.
/// The limit drops once kills have cost the account the accepted loss.
fn most_held(record: &Record, paid: Tokens, total: Tokens) -> u64 {
    let may_lose = (paid.get() * LOSS_PERCENT / 100).saturating_sub(record.lost.get());
    let careful = total.get() * CAREFUL_PERCENT / 100;
    (total.get() * HELD_PERCENT / 100).min(may_lose.max(careful))
}

/// Writes of records.
impl Wallet {
    /// Accounts whose record has to be read or written. `role` returns the role of this entry for
    /// an account.
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

    /// Returns true if the record has to be read before a write can be planned.
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

    /// Stores a record that was read, and resolves a write of unknown outcome from it.
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

    /// Returns the write that is due: the pending one of unknown outcome, or a new one.
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

    /// Records that the planned write succeeded and gave the record `version`.
    pub fn written(&mut self, account: &ClientAccountId, version: Version, now: Millis) {
        let purse = self.purse(account);
        if let Some(plan) = &purse.pending {
            purse.seen = Some((Some(version), plan.record.clone()));
            purse.read = now;
            purse.wrote = now;
        }
        purse.finish(true);
    }

    /// Records that an attempt of the planned write found another version of the record. The next
    /// read tells whether an earlier attempt succeeded.
    pub fn conflicted(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        purse.is_outdated = true;
        if !purse.is_unanswered {
            purse.finish(false);
        }
    }

    /// Records that an attempt of the planned write was refused without effect.
    pub fn refused(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        if !purse.is_unanswered {
            purse.finish(false);
        }
    }

    /// Records that an attempt of the planned write got no response; the store may apply it now or
    /// later.
    pub fn unanswered(&mut self, account: &ClientAccountId) {
        let purse = self.purse(account);
        purse.is_unanswered = purse.pending.is_some();
    }

    /// Counts the unreturned tokens of ended holders as lost.
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

    /// Returns true if the record of a nearly exhausted account overstates the tokens that this
    /// entry holds.
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

    /// Tokens that the owner should hold. Independent of who holds the remaining tokens, so that a
    /// change of owner moves no tokens twice.
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

/// Builds the record after a transfer. This entry stays in it even without tokens, because its
/// write number tells whether the write was applied.
fn next_record(mut record: Record, me: &VmId, mine: Holder, step: Move) -> Record {
    record.drawn = (record.drawn + step.drawn).saturating_sub(step.returned);
    record.holders.insert(me.clone(), mine);
    record
}
