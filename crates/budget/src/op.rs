//! The operations on a shard. Each is idempotent.

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
    /// Moves what is free, at most `want`, into the holder's grant. Idempotent by `number`.
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
    /// Bills the receipts of one segment to a grant, or to what is free if the grant is closed.
    /// Idempotent by `sequence`, which grows from one segment of a writer to the next.
    Settle {
        /// The grant that pays.
        grant: GrantId,
        /// The incarnation in whose name the segment is written.
        writer: Incarnation,
        /// The sequence of the segment.
        sequence: u64,
        /// The sum of the receipts.
        spent: Tokens,
    },
    /// Gives back what was billed twice. Idempotent by `merge`.
    Credit {
        /// The budget.
        budget: BudgetId,
        /// The sequence of the merge record.
        merge: u64,
        /// The tokens billed twice.
        tokens: Tokens,
    },
    /// Frees what is left of a fenced holder's grant, once all that was spent is settled.
    Reclaim {
        /// The grant.
        grant: GrantId,
        /// What the evidence leaves over. The operation is refused if the grant holds another
        /// amount, because then the evidence is not complete.
        left: Tokens,
    },
    /// Closes an empty grant on behalf of its holder.
    Close {
        /// The grant.
        grant: GrantId,
    },
}

impl Op {
    /// Returns the budget that the operation changes.
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
    /// It changed the shard now and moved these tokens.
    Now(Tokens),
    /// It took effect before; it moved these tokens if that is still known.
    Before(Tokens),
    /// There was nothing to move; the shard is as it was.
    Nothing,
}

impl Applied {
    /// Returns the tokens moved.
    pub const fn tokens(self) -> Tokens {
        match self {
            Self::Now(tokens) | Self::Before(tokens) => tokens,
            Self::Nothing => Tokens::ZERO,
        }
    }
}

/// Why an operation was refused. The shard is as it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpError {
    /// There is no such budget.
    NoBudget(BudgetId),
    /// The budget belongs to another account.
    OtherAccount(ClientAccountId),
    /// A payment of this id with another amount exists.
    OtherTopUp(Tokens),
    /// The holder has no open grant.
    NoGrant(GrantId),
    /// The grant was closed or reclaimed; its holder draws no more.
    Closed(GrantId),
    /// More was to be moved than there is.
    Short {
        /// The tokens that were to be moved.
        wanted: Tokens,
        /// The tokens that could be moved.
        have: Tokens,
    },
    /// The grant holds another amount than the evidence leaves.
    Stale {
        /// The amount in the grant.
        have: Tokens,
    },
    /// A sum is too large to be counted.
    Overflow,
    /// The operation would break the invariant of the budget.
    Overdrawn(BudgetId),
}

impl fmt::Display for OpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBudget(budget) => write!(f, "there is no budget {budget}"),
            Self::OtherAccount(account) => write!(f, "the budget belongs to {account}"),
            Self::OtherTopUp(tokens) => write!(f, "the top-up exists with {tokens} tokens"),
            Self::NoGrant(grant) => write!(f, "there is no grant {grant}"),
            Self::Closed(grant) => write!(f, "the grant {grant} is closed"),
            Self::Short { wanted, have } => write!(f, "{wanted} tokens wanted, {have} there"),
            Self::Stale { have } => write!(f, "the grant holds {have} tokens"),
            Self::Overflow => f.write_str("the sum is too large"),
            Self::Overdrawn(budget) => write!(f, "{budget} would be overdrawn"),
        }
    }
}

impl std::error::Error for OpError {}

/// Applies one operation; on an error the shard is as it was.
///
/// # Errors
/// See [`OpError`].
pub fn apply(shard: &mut Shard, op: &Op) -> Result<Applied, OpError> {
    let budget = op.budget();
    let mut record = match (shard.budgets.get(budget), op) {
        (Some(record), _) => record.clone(),
        (None, Op::TopUp { account, .. }) => Record::new(account.clone()),
        (None, _) => return Err(OpError::NoBudget(budget.clone())),
    };
    let applied = change(&mut record, op)?;
    if !record.is_sound() {
        return Err(OpError::Overdrawn(budget.clone()));
    }
    if matches!(applied, Applied::Now(_)) {
        shard.budgets.insert(budget.clone(), record);
    }
    Ok(applied)
}

fn change(record: &mut Record, op: &Op) -> Result<Applied, OpError> {
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
        } => give_back(record, grant, *number, *tokens),
        Op::Settle {
            grant,
            writer,
            sequence,
            spent,
        } => settle(record, grant, (writer, *sequence), *spent),
        Op::Credit { merge, tokens, .. } => credit(record, *merge, *tokens),
        Op::Reclaim { grant, left } => close(record, grant, *left),
        Op::Close { grant } => close(record, grant, Tokens::ZERO),
    }
}

fn add_top_up(
    record: &mut Record,
    account: &ClientAccountId,
    top_up: TopUp,
) -> Result<Applied, OpError> {
    if record.account != *account {
        return Err(OpError::OtherAccount(record.account.clone()));
    }
    if let Some(known) = record.top_ups.iter().find(|known| known.id == top_up.id) {
        return match known.tokens == top_up.tokens {
            true => Ok(Applied::Before(known.tokens)),
            false => Err(OpError::OtherTopUp(known.tokens)),
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
    if let Some(before) = done_before(record, id, number) {
        return Ok(before);
    }
    let moved = want.min(record.free());
    if moved.is_zero() {
        return Ok(Applied::Nothing);
    }
    let grant = record.grants.entry(id.holder.clone()).or_default();
    grant.amount += moved;
    number_op(grant, number, moved);
    Ok(Applied::Now(moved))
}

fn give_back(
    record: &mut Record,
    id: &GrantId,
    number: u64,
    tokens: Tokens,
) -> Result<Applied, OpError> {
    if let Some(before) = done_before(record, id, number) {
        return Ok(before);
    }
    let grant = open_grant(record, id)?;
    grant.amount = take(grant.amount, tokens)?;
    number_op(grant, number, tokens);
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
        return Ok(Applied::Before(spent));
    }
    let settled = record.settled.checked_add(spent).ok_or(OpError::Overflow)?;
    let free = record.free();
    if let Some(applied) = record.closed.get_mut(&id.holder) {
        // The receipt was lost to the evidence of the reclaim, and what paid for it is free again.
        take(free, spent)?;
        applied.insert(writer.clone(), sequence);
    } else {
        let grant = open_grant(record, id)?;
        grant.amount = take(grant.amount, spent)?;
        grant.applied.insert(writer.clone(), sequence);
    }
    record.settled = settled;
    Ok(Applied::Now(spent))
}

fn credit(record: &mut Record, merge: u64, tokens: Tokens) -> Result<Applied, OpError> {
    if merge <= record.last_merge {
        return Ok(Applied::Before(tokens));
    }
    record.settled = take(record.settled, tokens)?;
    record.last_merge = merge;
    Ok(Applied::Now(tokens))
}

fn close(record: &mut Record, id: &GrantId, left: Tokens) -> Result<Applied, OpError> {
    if record.closed.contains_key(&id.holder) {
        return Ok(Applied::Before(left));
    }
    let have = open_grant(record, id)?.amount;
    if have != left {
        return Err(OpError::Stale { have });
    }
    if let Some(grant) = record.grants.remove(&id.holder) {
        record.closed.insert(id.holder.clone(), grant.applied);
    }
    Ok(Applied::Now(left))
}

fn done_before(record: &Record, id: &GrantId, number: u64) -> Option<Applied> {
    let grant = record.grants.get(&id.holder)?;
    match grant.holder_op {
        last if last == number => Some(Applied::Before(grant.moved)),
        last if last > number => Some(Applied::Before(Tokens::ZERO)),
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
        .ok_or_else(|| OpError::NoGrant(id.clone()))
}

fn number_op(grant: &mut Grant, number: u64, moved: Tokens) {
    grant.holder_op = number;
    grant.moved = moved;
}

fn take(have: Tokens, wanted: Tokens) -> Result<Tokens, OpError> {
    have.checked_sub(wanted)
        .ok_or(OpError::Short { wanted, have })
}
