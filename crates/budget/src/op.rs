//! The idempotent operations on a shard.

use std::fmt;

use cyc_proto::GrantId;
use cyc_types::{BudgetId, ClientAccountId, Incarnation, Millis, Tokens};
use smol_str::SmolStr;

use crate::shard::{Grant, Record, Shard, TopUp};

/// One operation on a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Adds a payment; creates the budget if it is absent. Idempotent by `id`.
    TopUp {
        /// The budget.
        budget: BudgetId,
        /// The client account that pays.
        account: ClientAccountId,
        /// The operator's id of the payment.
        id: SmolStr,
        /// The tokens paid for.
        tokens: Tokens,
        /// Wall-clock time, for reports only.
        at: Millis,
    },
    /// Moves free tokens, at most `want`, into the holder's grant. Idempotent by `number`.
    Draw {
        /// The grant; its holder draws.
        grant: GrantId,
        /// Number of this draw or return within the grant, from 1.
        number: u64,
        /// The most tokens to move.
        want: Tokens,
    },
    /// Moves tokens out of the holder's grant. Idempotent by `number`.
    Return {
        /// The grant; its holder returns.
        grant: GrantId,
        /// Number of this draw or return within the grant, from 1.
        number: u64,
        /// The tokens to move.
        tokens: Tokens,
    },
    /// Bills the receipts in one segment that a grant pays for. If the grant is closed, free tokens
    /// of the budget pay for them. Idempotent by `writer` and `sequence`: a sequence not above the
    /// last one settled for the grant is taken for a duplicate.
    Settle {
        /// The grant that pays.
        grant: GrantId,
        /// The incarnation to which the segment belongs.
        writer: Incarnation,
        /// The sequence of the segment.
        sequence: u64,
        /// The sum of these receipts.
        spent: Tokens,
    },
    /// Credits tokens that were billed twice. Idempotent by `merge`.
    Credit {
        /// The budget.
        budget: BudgetId,
        /// The sequence of the merge record.
        merge: u64,
        /// The tokens billed twice.
        tokens: Tokens,
    },
    /// Closes the grant of a fenced holder and frees the remaining tokens. All spending of the
    /// grant has to be settled before.
    Reclaim {
        /// The grant.
        grant: GrantId,
        /// Tokens that remain after all receipts found for the grant. Refused with
        /// [`OpError::Stale`] if the grant holds another amount, since a settlement is then
        /// missing or the grant has changed.
        unspent: Tokens,
    },
    /// Closes the grant of a holder that shuts down. Refused with [`OpError::Stale`] unless the
    /// grant is empty.
    Close {
        /// The grant.
        grant: GrantId,
    },
}

impl Op {
    /// The budget that the operation changes.
    pub fn budget(&self) -> &BudgetId {
        match self {
            Self::TopUp { budget, .. } | Self::Credit { budget, .. } => budget,
            Self::Draw { grant, .. }
            | Self::Return { grant, .. }
            | Self::Settle { grant, .. }
            | Self::Reclaim { grant, .. }
            | Self::Close { grant } => &grant.budget,
        }
    }
}

/// The effect of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The operation changed the shard and moved these tokens.
    Now(Tokens),
    /// The operation had already taken effect. Holds the tokens that it moved then, or zero if the
    /// holder has made a later draw or return, since only the last amount is kept.
    Duplicate(Tokens),
    /// There was nothing to move; the shard is unchanged.
    Unchanged,
}

impl Applied {
    /// Tokens moved, now or by the earlier application.
    pub const fn tokens(self) -> Tokens {
        match self {
            Self::Now(tokens) | Self::Duplicate(tokens) => tokens,
            Self::Unchanged => Tokens::ZERO,
        }
    }
}

/// The reason for which an operation was refused. The shard is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpError {
    /// The budget does not exist.
    BudgetNotFound(BudgetId),
    /// The budget belongs to this other client account.
    AccountMismatch(ClientAccountId),
    /// A payment with the same id and this other amount exists.
    TopUpMismatch(Tokens),
    /// The holder has no open grant.
    GrantNotFound(GrantId),
    /// The grant was closed or reclaimed; its holder cannot draw again.
    Closed(GrantId),
    /// More tokens were to be moved than are available.
    Short {
        /// The tokens that were to be moved.
        wanted: Tokens,
        /// The tokens that could be moved.
        have: Tokens,
    },
    /// The amount in the grant differs from the expected one.
    Stale {
        /// The amount in the grant.
        have: Tokens,
    },
    /// A sum exceeds the range of [`Tokens`].
    Overflow,
    /// The operation would break the invariant of the budget.
    Overdrawn(BudgetId),
}

impl fmt::Display for OpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BudgetNotFound(budget) => write!(f, "the budget {budget} does not exist"),
            Self::AccountMismatch(account) => {
                write!(f, "the budget belongs to the account {account}")
            }
            Self::TopUpMismatch(tokens) => {
                write!(f, "a top-up with this id and {tokens} tokens exists")
            }
            Self::GrantNotFound(grant) => write!(f, "the grant {grant} does not exist"),
            Self::Closed(grant) => write!(f, "the grant {grant} is closed"),
            Self::Short { wanted, have } => write!(f, "{wanted} tokens needed, {have} available"),
            Self::Stale { have } => {
                write!(f, "the grant holds {have} tokens, not the expected amount")
            }
            Self::Overflow => f.write_str("the sum of tokens overflows"),
            Self::Overdrawn(budget) => write!(f, "the budget {budget} would be overdrawn"),
        }
    }
}

impl std::error::Error for OpError {}

/// Applies one operation; on an error the shard is unchanged.
///
/// # Errors
/// See [`OpError`].
pub fn apply(shard: &mut Shard, op: &Op) -> Result<Applied, OpError> {
    let budget = op.budget();
    let mut record = match (shard.budgets.get(budget), op) {
        (Some(record), _) => record.clone(),
        (None, Op::TopUp { account, .. }) => Record::new(account.clone()),
        (None, _) => return Err(OpError::BudgetNotFound(budget.clone())),
    };
    let applied = apply_to_record(&mut record, op)?;
    if !record.is_sound() {
        return Err(OpError::Overdrawn(budget.clone()));
    }
    if matches!(applied, Applied::Now(_)) {
        shard.budgets.insert(budget.clone(), record);
    }
    Ok(applied)
}

fn apply_to_record(record: &mut Record, op: &Op) -> Result<Applied, OpError> {
    match op {
        Op::TopUp {
            account,
            id,
            tokens,
            at,
            ..
        } => {
            let top_up = TopUp {
                id: id.clone(),
                tokens: *tokens,
                at: *at,
            };
            add_top_up(record, account, top_up)
        }
        Op::Draw {
            grant,
            number,
            want,
        } => draw(record, grant, *number, *want),
        Op::Return {
            grant,
            number,
            tokens,
        } => return_tokens(record, grant, *number, *tokens),
        Op::Settle {
            grant,
            writer,
            sequence,
            spent,
        } => settle(record, grant, (writer, *sequence), *spent),
        Op::Credit { merge, tokens, .. } => credit(record, *merge, *tokens),
        Op::Reclaim { grant, unspent } => close_grant(record, grant, *unspent),
        Op::Close { grant } => close_grant(record, grant, Tokens::ZERO),
    }
}

fn add_top_up(
    record: &mut Record,
    account: &ClientAccountId,
    top_up: TopUp,
) -> Result<Applied, OpError> {
    if record.account != *account {
        return Err(OpError::AccountMismatch(record.account.clone()));
    }
    if let Some(existing) = record
        .top_ups
        .iter()
        .find(|existing| existing.id == top_up.id)
    {
        return match existing.tokens == top_up.tokens {
            true => Ok(Applied::Duplicate(existing.tokens)),
            false => Err(OpError::TopUpMismatch(existing.tokens)),
        };
    }
    record.paid = record
        .paid
        .checked_add(top_up.tokens)
        .ok_or(OpError::Overflow)?;
    let tokens = top_up.tokens;
    record.top_ups.push(top_up);
    Ok(Applied::Now(tokens))
}

fn draw(record: &mut Record, id: &GrantId, number: u64, want: Tokens) -> Result<Applied, OpError> {
    if record.closed.contains_key(&id.holder) {
        return Err(OpError::Closed(id.clone()));
    }
    if let Some(previous) = previous_result(record, id, number) {
        return Ok(previous);
    }
    let moved = want.min(record.free());
    if moved.is_zero() {
        return Ok(Applied::Unchanged);
    }
    let grant = record.grants.entry(id.holder.clone()).or_default();
    grant.amount += moved;
    record_holder_op(grant, number, moved);
    Ok(Applied::Now(moved))
}

fn return_tokens(
    record: &mut Record,
    id: &GrantId,
    number: u64,
    tokens: Tokens,
) -> Result<Applied, OpError> {
    if let Some(previous) = previous_result(record, id, number) {
        return Ok(previous);
    }
    let grant = open_grant(record, id)?;
    grant.amount = debit(grant.amount, tokens)?;
    record_holder_op(grant, number, tokens);
    Ok(Applied::Now(tokens))
}

fn settle(
    record: &mut Record,
    id: &GrantId,
    (writer, sequence): (&Incarnation, u64),
    spent: Tokens,
) -> Result<Applied, OpError> {
    let applied = match record.grants.get(&id.holder) {
        Some(grant) => Some(&grant.applied),
        None => record.closed.get(&id.holder),
    };
    let last = applied.and_then(|applied| applied.get(writer));
    if last.is_some_and(|last| *last >= sequence) {
        return Ok(Applied::Duplicate(spent));
    }
    let settled = record.settled.checked_add(spent).ok_or(OpError::Overflow)?;
    let free = record.free();
    if let Some(applied) = record.closed.get_mut(&id.holder) {
        // The tokens for this receipt were freed when the grant was closed without it.
        debit(free, spent)?;
        applied.insert(writer.clone(), sequence);
    } else {
        let grant = open_grant(record, id)?;
        grant.amount = debit(grant.amount, spent)?;
        grant.applied.insert(writer.clone(), sequence);
    }
    record.settled = settled;
    Ok(Applied::Now(spent))
}

fn credit(record: &mut Record, merge: u64, tokens: Tokens) -> Result<Applied, OpError> {
    if merge <= record.last_merge {
        return Ok(Applied::Duplicate(tokens));
    }
    record.settled = debit(record.settled, tokens)?;
    record.last_merge = merge;
    Ok(Applied::Now(tokens))
}

fn close_grant(record: &mut Record, id: &GrantId, unspent: Tokens) -> Result<Applied, OpError> {
    if record.closed.contains_key(&id.holder) {
        return Ok(Applied::Duplicate(unspent));
    }
    let have = open_grant(record, id)?.amount;
    if have != unspent {
        return Err(OpError::Stale { have });
    }
    if let Some(grant) = record.grants.remove(&id.holder) {
        record.closed.insert(id.holder.clone(), grant.applied);
    }
    Ok(Applied::Now(unspent))
}

fn previous_result(record: &Record, id: &GrantId, number: u64) -> Option<Applied> {
    let grant = record.grants.get(&id.holder)?;
    match grant.holder_op {
        last if last == number => Some(Applied::Duplicate(grant.moved)),
        last if last > number => Some(Applied::Duplicate(Tokens::ZERO)),
        _ => None,
    }
}

fn open_grant<'a>(record: &'a mut Record, id: &GrantId) -> Result<&'a mut Grant, OpError> {
    if record.closed.contains_key(&id.holder) {
        return Err(OpError::Closed(id.clone()));
    }
    record
        .grants
        .get_mut(&id.holder)
        .ok_or_else(|| OpError::GrantNotFound(id.clone()))
}

fn record_holder_op(grant: &mut Grant, number: u64, moved: Tokens) {
    grant.holder_op = number;
    grant.moved = moved;
}

fn debit(have: Tokens, wanted: Tokens) -> Result<Tokens, OpError> {
    have.checked_sub(wanted)
        .ok_or(OpError::Short { wanted, have })
}
