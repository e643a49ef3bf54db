//! One attempt to apply operations to a shard: read, apply, conditional update.

use std::collections::BTreeMap;

use cyc_store::{Error, Object, Platform};
use cyc_types::{BudgetId, Incarnation, Millis, Tokens};

use crate::{
    keeper::{Known, Reply, expect_of},
    op::{Applied, Op, OpError, apply},
    policy::Demand,
    purse::Shared,
    shard::{CodecError, Record, Shard, shard_key, shard_of},
    wallet::HolderOp,
};

/// An operation that waits for a shard.
#[derive(Debug)]
pub(crate) enum Pending {
    /// The tokens are sized by the record as read.
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
    /// The records of the budgets concerned, after the operations.
    pub(crate) known: BTreeMap<BudgetId, Known>,
}

/// Applies all operations or none.
pub(crate) async fn attempt(
    platform: &dyn Platform,
    shared: &Shared,
    shard: u32,
    pending: &[Pending],
) -> Result<Outcome, Error> {
    let read = {
        let mut state = shared.lock();
        state.asking_since.get_or_insert(shared.clock.now());
        state.last_read += 1;
        state.last_read
    };
    let at = shared.clock.now();
    let object = platform.get(&shard_key(shard)).await?;
    let mut state = decode(object.as_ref())?;
    let results: Vec<_> = pending
        .iter()
        .map(|pending| apply_pending(&mut state, shared, pending))
        .collect();
    write(platform, shard, object.as_ref(), &state, &results).await?;
    let me = shared.lock().wallet.holder().clone();
    let known = pending.iter().map(|pending| {
        let budget = pending.budget();
        let mut known = summary(state.budgets.get(budget), &me);
        known.at = at;
        known.read = read;
        (budget.clone(), known)
    });
    Ok(Outcome {
        known: known.collect(),
        results,
    })
}

fn apply_pending(
    shard: &mut Shard,
    shared: &Shared,
    pending: &Pending,
) -> Result<Applied, OpError> {
    match pending {
        Pending::Read(_) => Ok(Applied::Nothing),
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
    let others = record.grants.keys().filter(|h| **h != op.grant.holder);
    let demand = Demand {
        need: state.wallet.need(budget).max(op.tokens),
        rate: state.wallet.rate(budget, now),
        free: record.free(),
        holders: 1 + others.count() as u64,
    };
    shared.draws.draw(&demand)
}

fn summary(record: Option<&Record>, me: &Incarnation) -> Known {
    let Some(record) = record else {
        return Known::default();
    };
    let own = record.grants.get(me).map(|grant| grant.amount);
    Known {
        paid: record.paid,
        settled: record.settled,
        free: record.free(),
        others: record.granted().saturating_sub(own.unwrap_or_default()),
        ..Known::default()
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
    let expect = expect_of(object);
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
    let mut last = Error::Conflict;
    for _ in 0..attempts {
        match apply_once(platform, shard, op).await {
            Ok(result) => return Ok(result),
            Err(error) => last = error,
        }
    }
    Err(last)
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
