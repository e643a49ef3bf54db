//! Planning of writes to an account's record: how much to draw or return, and how to handle the
//! result of a write.

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use serde::{Deserialize, Serialize};

use crate::{Allocation, Allocations, Holder, Record, Totals, WriteOutcome};

/// Maximum part of an account's remaining tokens that its owner holds, so that requests find tokens
/// during an outage of the store and a kill loses little.
const MAX_HELD_PERCENT: u64 = 15;
/// Part of the prepaid total that the owner may hold, and a kill may lose, however little is left.
const TOLERATED_LOSS_PERCENT: u64 = 2;
/// While less than this part of the prepaid total is left, the owner holds no more than the
/// tolerated loss: the account is likely to be used up, and then each lost token is missed.
const PLENTY_PERCENT: u64 = 35;
/// Part of the tokens beyond [`PLENTY_PERCENT`] that the owner may hold in addition.
const PLENTY_HELD_PERCENT: u64 = 25;
/// Part of the prepaid total that may be lost to kills; the owner holds at most what is left of it.
const ACCEPTED_LOSS_PERCENT: u64 = 12;
/// Part of the remaining tokens that the owner may hold even if that loss is reached.
const REDUCED_HELD_PERCENT: u64 = 3;
/// The owner draws when its free tokens fall below this part of the intended holding.
const REFILL_PERCENT: u64 = 75;
/// The same if the limit on what it may hold, and not the expected use, determines the holding: it
/// would otherwise draw several times a second.
const LIMITED_REFILL_PERCENT: u64 = 40;
/// Divisor of the prepaid total: least that the owner intends to hold, and thereby the size of the
/// first draw, before a usage rate is measured.
const FIRST_DRAW_DIVISOR: u64 = 150;
/// Divisor of the prepaid total; a smaller surplus is not worth a write of its own.
const MIN_SURPLUS_DIVISOR: u64 = 100;
/// Divisor of the prepaid total: an error of the record of an exhausted account that is not worth a
/// correction.
const MAX_ERROR_DIVISOR: u64 = 5_000;
/// A draw of an acting owner covers this much further use.
const ACTING_OWNER_LOOKAHEAD: Millis = Millis::new(2_000);
/// While less than this part of the prepaid total is undrawn, each entry corrects its own holding
/// in the record, so that other entries can tell when the account is exhausted.
const SCARCE_PERCENT: u64 = 5;
/// Minimum time between corrections of a record by one entry.
const MIN_CORRECTION_INTERVAL: Millis = Millis::new(1_000);
/// A record that causes refusals is read again after this time.
pub const REREAD_AFTER: Millis = Millis::new(2_000);

/// The responsibility of this entry for an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Draws tokens in advance.
    Owner,
    /// Borrows from the owner and draws only as acting owner.
    Borrower,
}

/// A planned compare-and-swap write of an account's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWrite {
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
    /// Tokens moved by earlier writes that the store has lost and that this one repeats.
    #[serde(default)]
    pub recovered: Totals,
}

/// Tokens that a write moves to or from this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Transfer {
    drawn: Tokens,
    returned: Tokens,
}

impl Transfer {
    fn drawn(drawn: Tokens) -> Self {
        Self {
            drawn,
            ..Self::default()
        }
    }

    fn returned(returned: Tokens) -> Self {
        Self {
            returned,
            ..Self::default()
        }
    }

    fn is_empty(self) -> bool {
        self.drawn.is_zero() && self.returned.is_zero()
    }
}

/// Tokens that an owner intends to hold.
#[derive(Debug, Clone, Copy)]
struct Holding {
    held: Tokens,
    /// It draws when it has fewer free tokens.
    refill_below: Tokens,
}

/// Maximum tokens that the owner holds of an account with `total` tokens left, whoever holds them.
/// The limit falls as the account is used up, and as kills use up the accepted loss.
fn max_held(record: &Record, paid: Tokens, total: Tokens) -> u64 {
    let percent = |tokens: u64, percent: u64| tokens * percent / 100;
    let (paid, total) = (paid.get(), total.get());
    let remaining_loss = percent(paid, ACCEPTED_LOSS_PERCENT).saturating_sub(record.lost.get());
    let reduced = percent(total, REDUCED_HELD_PERCENT);
    let plenty = total.saturating_sub(percent(paid, PLENTY_PERCENT));
    let tolerated = percent(paid, TOLERATED_LOSS_PERCENT);
    // The rest of a nearly exhausted account is drawn at once: ever smaller draws would be as many
    // writes as requests.
    let rest = total.min(tolerated.saturating_sub(record.lost.get()));
    percent(total, MAX_HELD_PERCENT)
        .min(tolerated + percent(plenty, PLENTY_HELD_PERCENT))
        .min(remaining_loss.max(reduced))
        .max(rest)
}

/// Writes of records.
impl Allocations {
    /// Accounts whose record has to be read or written. `role` returns the role of this entry for
    /// an account.
    pub fn due(
        &self,
        role: impl Fn(&ClientAccountId) -> Role,
        now: Millis,
    ) -> Vec<ClientAccountId> {
        let is_due = |account: &ClientAccountId, allocation: &Allocation| {
            let role = role(account);
            let is_due = allocation.pending.is_some()
                || self.needs_read(account, allocation, role, now)
                || self.next_transfer(account, allocation, role, now).is_some();
            is_due && !allocation.is_sending
        };
        let due = self
            .by_account
            .iter()
            .filter(|(account, allocation)| is_due(account, allocation));
        due.map(|(account, _)| account.clone()).collect()
    }

    /// Returns true if the record has to be read before a write can be planned.
    pub fn must_read(&self, account: &ClientAccountId, role: Role, now: Millis) -> bool {
        let allocation = self.by_account.get(account);
        allocation.is_some_and(|allocation| {
            allocation.is_unanswered || self.needs_read(account, allocation, role, now)
        })
    }

    fn needs_read(
        &self,
        account: &ClientAccountId,
        allocation: &Allocation,
        role: Role,
        now: Millis,
    ) -> bool {
        if allocation.must_recover {
            return allocation.is_outdated || allocation.last_record.is_none();
        }
        if self.is_closed {
            return (allocation.last_record.is_none() || allocation.is_outdated)
                && !allocation.free.is_zero();
        }
        if !allocation.may_draw(role, now) {
            // Otherwise a correction would fail again and again.
            return allocation.is_outdated
                && self.next_transfer(account, allocation, role, now).is_some();
        }
        let is_old = now.saturating_sub(allocation.read_at) >= REREAD_AFTER;
        let is_short = allocation
            .short_at
            .is_some_and(|at| at >= allocation.read_at);
        let may_change = !self.is_exhausted_for_good(allocation);
        let is_reread_due = is_short && is_old && may_change;
        allocation.last_record.is_none() || allocation.is_outdated || is_reread_due
    }

    /// Stores a record that was read, and resolves a write of unknown outcome from it. Returns the
    /// outcome. A record that is older than the base of that write is ignored.
    pub fn observe(
        &mut self,
        account: &ClientAccountId,
        version: Option<Version>,
        mut record: Record,
        now: Millis,
    ) -> Option<WriteOutcome> {
        if version.is_none() {
            // All first writes have the same epoch, so that the outcome of a losing one is known.
            record.ended.get_or_insert_default();
        }
        let (me, start) = (self.me.clone(), self.incarnation);
        let era = self.known_era();
        let allocation = self.allocation(account);
        if version.is_some_and(|version| version.era() < era) {
            allocation.is_outdated = true;
            return None;
        }
        let last_version = allocation.last_record.as_ref();
        let last_version = last_version.and_then(|(version, _)| *version);
        if version.is_some() && version < last_version {
            allocation.is_outdated = true;
            return None;
        }
        let mut resolved = None;
        if let Some(write) = &allocation.pending {
            if version.is_some() && version < write.base {
                allocation.is_outdated = true;
                return None;
            }
            if version != write.base || allocation.pending_era < era {
                let base_epoch = allocation.pending_epoch;
                let is_lost = allocation.pending_era < era;
                let outcome = match record.outcome(&me, start, allocation.writes, base_epoch) {
                    WriteOutcome::NotApplied | WriteOutcome::Unknown if is_lost => {
                        WriteOutcome::Lost
                    }
                    outcome => outcome,
                };
                allocation.finish(outcome);
                resolved = Some(outcome);
            }
        }
        allocation.is_outdated = false;
        allocation.note_overwritten(&record, &me, start, now);
        allocation.last_record = Some((version, record));
        allocation.read_at = now;
        allocation.is_outdated &= allocation.pending.is_some();
        allocation.recovered = Totals::default();
        self.recover(account, now);
        resolved
    }

    /// Returns the write that is due: the pending one of unknown outcome, or a new one. The caller sends it
    /// and reports the outcome of this attempt; none is due until then.
    pub fn plan(
        &mut self,
        account: &ClientAccountId,
        role: Role,
        now: Millis,
    ) -> Option<RecordWrite> {
        let write = self.next_write(account, role, now)?;
        self.allocation(account).is_sending = true;
        Some(write)
    }

    /// Returns true if an attempt of a write of any account waits for its response.
    pub fn is_sending(&self) -> bool {
        let mut allocations = self.by_account.values();
        allocations.any(|allocation| allocation.is_sending)
    }

    fn next_write(
        &mut self,
        account: &ClientAccountId,
        role: Role,
        now: Millis,
    ) -> Option<RecordWrite> {
        let allocation = self.by_account.get(account)?;
        if allocation.is_sending {
            return None;
        }
        if let Some(pending) = &allocation.pending {
            // One that was planned before the store came back must not be sent again: its base version
            // may have been given out again for another state of the record.
            let is_current = allocation.pending_era >= self.known_era();
            return is_current.then(|| pending.clone());
        }
        let transfer = self.next_transfer(account, allocation, role, now)?;
        let (base, mut record) = allocation.last_record.clone()?;
        let base_epoch = record.epoch();
        let writer = format!("{}/{}/{}", self.me, self.incarnation, allocation.writes + 1);
        record.update_ended(
            |vm, holder| self.has_ended(vm, holder),
            |vm, holder| self.is_running(vm, holder),
            &writer,
        );
        let me = self.me.clone();
        let start = self.incarnation;
        let era = self.known_era();
        let allocation = self.allocation(account);
        allocation.writes += 1;
        allocation.totals.returned += transfer.returned;
        let totals = Totals {
            drawn: allocation.totals.drawn + transfer.drawn,
            ..allocation.totals
        };
        let mine = Holder {
            start,
            writes: allocation.writes,
            unspent: (allocation.unspent() + transfer.drawn).saturating_sub(transfer.returned),
            totals: Some(totals),
        };
        record.era = Some(era);
        allocation.free = allocation.free.saturating_sub(transfer.returned);
        let write = RecordWrite {
            account: account.clone(),
            base,
            record: next_record(record, &me, mine, transfer),
            drawn: transfer.drawn,
            returned: transfer.returned,
            recovered: allocation.recovered,
        };
        allocation.pending = Some(write.clone());
        allocation.pending_era = era;
        allocation.does_pending_recover = allocation.must_recover;
        allocation.pending_epoch = base_epoch;
        Some(write)
    }

    /// Records that the planned write succeeded and gave the record `version`.
    pub fn written(&mut self, account: &ClientAccountId, version: Version, now: Millis) {
        let era = self.known_era();
        let allocation = self.allocation(account);
        allocation.is_sending = false;
        if let Some(write) = &allocation.pending {
            allocation.last_record = Some((Some(version), write.record.clone()));
            allocation.read_at = now;
            allocation.written_at = now;
            allocation.recovered = Totals::default();
            // Otherwise the store came back meanwhile, and may have lost this write too.
            let is_current = allocation.pending_era >= era;
            allocation.must_recover &= !(allocation.does_pending_recover && is_current);
            allocation.is_outdated |= allocation.must_recover;
        }
        allocation.finish(WriteOutcome::Applied);
    }

    /// Records that an attempt of the planned write found another version of the record. The next
    /// read tells whether an earlier attempt succeeded.
    pub fn conflicted(&mut self, account: &ClientAccountId) {
        let allocation = self.allocation(account);
        allocation.is_sending = false;
        allocation.is_outdated = true;
        if !allocation.is_unanswered {
            allocation.finish(WriteOutcome::NotApplied);
        }
    }

    /// Records that an attempt of the planned write was refused without effect.
    pub fn refused(&mut self, account: &ClientAccountId) {
        let allocation = self.allocation(account);
        allocation.is_sending = false;
        if !allocation.is_unanswered {
            allocation.finish(WriteOutcome::NotApplied);
        }
    }

    /// Records that an attempt of the planned write got no response; the store may apply it now or
    /// later.
    pub fn unanswered(&mut self, account: &ClientAccountId) {
        let allocation = self.allocation(account);
        allocation.is_sending = false;
        allocation.is_unanswered = allocation.pending.is_some();
    }

    /// Returns the transfer that is due; an empty one if the record only has to be corrected.
    fn next_transfer(
        &self,
        account: &ClientAccountId,
        allocation: &Allocation,
        role: Role,
        now: Millis,
    ) -> Option<Transfer> {
        let (_, record) = allocation.last_record.as_ref()?;
        let paid = allocation.paid.unwrap_or_default();
        let transfer = match role {
            _ if self.is_closed => Transfer::returned(allocation.free),
            _ if self.is_settling(record, now) => Transfer::default(),
            Role::Owner => self.owner_transfer(allocation, record, now),
            Role::Borrower if allocation.may_draw(role, now) => {
                let lack = allocation.total_waiting().saturating_sub(allocation.free);
                let drawn = match lack.is_zero() {
                    true => Tokens::ZERO,
                    false => lack + allocation.expected_use(ACTING_OWNER_LOOKAHEAD, now),
                };
                Transfer::drawn(drawn.min(paid.saturating_sub(record.drawn)))
            }
            Role::Borrower => Transfer::default(),
        };
        let is_due = !transfer.is_empty()
            || allocation.must_recover
            || self.is_correction_due(account, allocation, record, now);
        is_due.then_some(transfer)
    }

    /// Returns true if the record of a nearly exhausted account overstates the tokens that this
    /// entry holds, or if the record counts this entry as ended.
    fn is_correction_due(
        &self,
        account: &ClientAccountId,
        allocation: &Allocation,
        record: &Record,
        now: Millis,
    ) -> bool {
        let is_old = now.saturating_sub(allocation.written_at) >= MIN_CORRECTION_INTERVAL;
        if record.is_counted_as_ended(&self.me, self.incarnation) {
            return is_old;
        }
        let paid = allocation.paid.unwrap_or_default().get();
        let left = paid.saturating_sub(record.drawn.get());
        let mine = record.holders.get(&self.me);
        let recorded = mine.filter(|mine| mine.start == self.incarnation);
        let recorded = recorded.map_or(Tokens::ZERO, |mine| mine.unspent);
        // While nothing can be drawn, callers of other entries wait in vain for what the record
        // overstates.
        let is_told_short = self.is_told_short(account, now);
        let divisor = match left {
            _ if is_told_short => MAX_ERROR_DIVISOR,
            0 => MAX_ERROR_DIVISOR,
            _ => MIN_SURPLUS_DIVISOR,
        };
        let is_wrong = recorded.saturating_sub(allocation.unspent()).get() > paid / divisor;
        is_wrong && is_old && (is_told_short || left < paid * SCARCE_PERCENT / 100)
    }

    fn owner_transfer(&self, allocation: &Allocation, record: &Record, now: Millis) -> Transfer {
        let Some(paid) = allocation.paid else {
            return Transfer::default();
        };
        let intended = self.intended_holding(allocation, record, paid, now);
        let desired = allocation.total_waiting() + intended.held;
        let is_low =
            allocation.free < allocation.total_waiting() || allocation.free < intended.refill_below;
        if is_low {
            let lack = desired.saturating_sub(allocation.free);
            return Transfer::drawn(lack.min(paid.saturating_sub(record.drawn)));
        }
        let surplus = allocation
            .free
            .saturating_sub(desired + Tokens::new(intended.held.get() / 2));
        let is_worth_a_write = surplus.get() > paid.get() / MIN_SURPLUS_DIVISOR;
        Transfer::returned(if is_worth_a_write {
            surplus
        } else {
            Tokens::ZERO
        })
    }

    /// Maximum tokens that the owner holds.
    pub(crate) fn max_held_of(
        &self,
        allocation: &Allocation,
        record: &Record,
        paid: Tokens,
        _now: Millis,
    ) -> Tokens {
        let left = paid.saturating_sub(record.drawn);
        let total = self.held_elsewhere(record) + allocation.unspent() + left;
        Tokens::new(max_held(record, paid, total))
    }

    /// Tokens that the owner should hold. The limit does not depend on which entries hold the
    /// remaining tokens, so that a change of owner moves no tokens twice.
    fn intended_holding(
        &self,
        allocation: &Allocation,
        record: &Record,
        paid: Tokens,
        now: Millis,
    ) -> Holding {
        let max = self.max_held_of(allocation, record, paid, now);
        let min = Tokens::new(paid.get() / FIRST_DRAW_DIVISOR);
        let needed = allocation.expected_need(now).max(min);
        let refill_percent = match needed > max {
            true => LIMITED_REFILL_PERCENT,
            false => REFILL_PERCENT,
        };
        let held = needed.min(max);
        Holding {
            held,
            refill_below: Tokens::new(held.get() * refill_percent / 100),
        }
    }
}

impl Allocation {
    /// Returns true if this entry draws tokens of the account.
    fn may_draw(&self, role: Role, now: Millis) -> bool {
        let is_acting_owner = self.acting_owner_until.is_some_and(|until| now < until);
        self.paid.is_some() && (role == Role::Owner || is_acting_owner)
    }

    /// Ends the pending write and credits its tokens: the drawn ones if it was applied, those that
    /// it should have returned if it was not.
    fn finish(&mut self, outcome: WriteOutcome) {
        let Some(write) = self.pending.take() else {
            return;
        };
        self.is_unanswered = false;
        match outcome {
            WriteOutcome::Applied => {
                self.free += write.drawn;
                self.totals.drawn += write.drawn;
                self.last_applied = self.writes;
            }
            WriteOutcome::NotApplied => {
                self.free += write.returned;
                self.totals.returned = self.totals.returned.saturating_sub(write.returned);
            }
            // Another entry may have seen the write applied: the next state needs a number of its own.
            WriteOutcome::Lost => self.writes += 1,
            WriteOutcome::Unknown => {}
        }
    }
}

/// Builds the record after a transfer. This entry stays in it even without tokens, because its
/// write number tells whether the write was applied.
fn next_record(mut record: Record, me: &VmId, mine: Holder, transfer: Transfer) -> Record {
    record.drawn = (record.drawn + transfer.drawn).saturating_sub(transfer.returned);
    record.set_holder(me, mine);
    record
}
