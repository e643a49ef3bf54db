//! One attempt to apply pending operations to a shard: read, apply, compare-and-swap.

use std::collections::BTreeMap;

use cyc_store::{Error, Object, Platform};
use cyc_types::{BudgetId, Incarnation, Millis, Tokens};

use crate::{
    controller::{RecordSummary, Reply, overwrite_condition},
    op::{Applied, Op, OpError, apply},
    policy::Demand,
    shard::{CodecError, Record, Shard, shard_key, shard_of},
    wallet::HolderOp,
    wallet_handle::Shared,
};

/// A queued operation on a shard, or a read of it.
#[derive(Debug)]
pub(crate) enum Pending {
    /// The size of the draw is computed from the record as read in this attempt.
    Draw(HolderOp),
    Return(HolderOp),
    Apply(Op, Option<Reply>),
    Read(BudgetId),
}

impl Pending {
    pub(crate) fn budget(&self) -> &BudgetId {
        match self {
            Self::Draw(op) | Self::Return(op) => &op.grant.budget,
            Self::Apply(op, _) => op.budget(),
            Self::Read(budget) => budget,
        }
    }
}

/// The results of a successful attempt.
pub(crate) struct Outcome {
    /// One for each operation, in order.
    pub(crate) results: Vec<Result<Applied, OpError>>,
    /// Summaries of the affected budgets, after the operations.
    pub(crate) summaries: BTreeMap<BudgetId, RecordSummary>,
}

/// Applies all operations in one conditional write, so that all that the shard accepts take effect
/// or none does. After [`Error::Unavailable`] the write may still take effect.
pub(crate) async fn attempt(
    platform: &dyn Platform,
    shared: &Shared,
    shard: u32,
    pending: &[Pending],
) -> Result<Outcome, Error> {
    let read_number = {
        let mut state = shared.lock();
        state.unanswered_since.get_or_insert(shared.clock.now());
        state.last_read_number += 1;
        state.last_read_number
    };
    let read_at = shared.clock.now();
    let object = platform.get(&shard_key(shard)).await?;
    let mut state = decode(object.as_ref())?;
    let results: Vec<_> = pending
        .iter()
        .map(|pending| apply_pending(&mut state, shared, pending))
        .collect();
    write(platform, shard, object.as_ref(), &state, &results).await?;
    let holder = shared.lock().wallet.holder().clone();
    let summaries = pending.iter().map(|pending| {
        let budget = pending.budget();
        let mut summary = summarize(state.budgets.get(budget), &holder);
        summary.read_at = read_at;
        summary.read_number = read_number;
        (budget.clone(), summary)
    });
    Ok(Outcome {
        summaries: summaries.collect(),
        results,
    })
}

fn apply_pending(
    shard: &mut Shard,
    shared: &Shared,
    pending: &Pending,
) -> Result<Applied, OpError> {
    match pending {
        Pending::Read(_) => Ok(Applied::Unchanged),
        Pending::Apply(op, _) => apply(shard, op),
        Pending::Return(op) => apply(
            shard,
            &Op::Return {
                grant: op.grant.clone(),
                number: op.number,
                tokens: op.tokens,
            },
        ),
        Pending::Draw(op) => {
            let want = size_draw(shard, shared, op);
            apply(
                shard,
                &Op::Draw {
                    grant: op.grant.clone(),
                    number: op.number,
                    want,
                },
            )
        }
    }
}

fn size_draw(shard: &Shard, shared: &Shared, op: &HolderOp) -> Tokens {
    let budget = &op.grant.budget;
    let Some(record) = shard.budgets.get(budget) else {
        return op.tokens;
    };
    let now: Millis = shared.clock.now();
    let state = shared.lock();
    let others = record
        .grants
        .keys()
        .filter(|holder| **holder != op.grant.holder);
    let demand = Demand {
        need: state.wallet.need(budget).max(op.tokens),
        rate: state.wallet.rate(budget, now),
        free: record.free(),
        holders: 1 + others.count() as u64,
    };
    shared.draws.draw_size(&demand)
}

fn summarize(record: Option<&Record>, holder: &Incarnation) -> RecordSummary {
    let Some(record) = record else {
        return RecordSummary::default();
    };
    let own = record.grants.get(holder).map(|grant| grant.amount);
    RecordSummary {
        paid: record.paid,
        settled: record.settled,
        free: record.free(),
        held_by_others: record.granted().saturating_sub(own.unwrap_or_default()),
        ..RecordSummary::default()
    }
}

fn decode(object: Option<&Object>) -> Result<Shard, Error> {
    let shard = object.map(|object| Shard::decode(&object.body));
    shard.unwrap_or(Ok(Shard::default())).map_err(codec_error)
}

fn codec_error(error: CodecError) -> Error {
    match error {
        CodecError::TooLarge(size) => Error::TooLarge(size),
        CodecError::Malformed(why) => Error::Malformed(why),
    }
}

async fn write(
    platform: &dyn Platform,
    shard: u32,
    object: Option<&Object>,
    state: &Shard,
    results: &[Result<Applied, OpError>],
) -> Result<(), Error> {
    let changed = |result: &Result<_, _>| matches!(result, Ok(Applied::Now(_)));
    if !results.iter().any(changed) {
        return Ok(());
    }
    let body = state.encode().map_err(codec_error)?;
    let expect = overwrite_condition(object);
    platform.put(&shard_key(shard), body, expect).await?;
    Ok(())
}

/// Applies one operation without a controller, trying at most `attempts` times.
pub(crate) async fn apply_now(
    platform: &dyn Platform,
    shards: u32,
    op: &Op,
    attempts: u32,
) -> Result<Result<Applied, OpError>, Error> {
    let shard = shard_of(op.budget(), shards);
    let mut last_error = Error::Conflict;
    for _ in 0..attempts {
        match apply_once(platform, shard, op).await {
            Ok(result) => return Ok(result),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn apply_once(
    platform: &dyn Platform,
    shard: u32,
    op: &Op,
) -> Result<Result<Applied, OpError>, Error> {
    let object = platform.get(&shard_key(shard)).await?;
    let mut state = decode(object.as_ref())?;
    let result = [apply(&mut state, op)];
    write(platform, shard, object.as_ref(), &state, &result).await?;
    let [result] = result;
    Ok(result)
}
