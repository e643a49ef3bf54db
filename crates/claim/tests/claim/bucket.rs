//! Guards against a request that can run twice because a claim was replaced or expired while it
//! may still be run, and against buckets that exceed their size limit.

use cyc_claim::{Bucket, Claim, Draft, State, bucket::AddOutcome, bucket_of};
use cyc_types::{Incarnation, Millis, RequestId, Tokens};
use googletest::prelude::*;

const ID: RequestId = RequestId::new(9);

fn claim(vm: &str, serial: u64, fingerprint: u64) -> Result<Claim> {
    Ok(Claim {
        fingerprint,
        by: Incarnation::new(vm.parse()?, 1),
        serial,
        target: "desk".parse()?,
        state: State::Claimed,
        at: Millis::new(100),
    })
}

#[gtest]
fn only_a_claim_that_was_not_run_can_be_replaced() -> Result<()> {
    let first = claim("vm-1", 1, 5)?;
    let state = |state: &State| Claim {
        state: state.clone(),
        ..first.clone()
    };
    let done = State::Done {
        status: 200,
        content_type: "text/plain".into(),
        body: None,
        tokens: Tokens::ZERO,
    };
    let (same, reused) = (claim("vm-2", 1, 5)?, claim("vm-2", 1, 6)?);
    let table = [
        (
            State::Claimed,
            &same,
            AddOutcome::Taken(state(&State::Claimed)),
        ),
        (State::Claimed, &reused, AddOutcome::KeyReused),
        (State::Claimed, &first, AddOutcome::Claimed),
        (done.clone(), &same, AddOutcome::Taken(state(&done))),
        (done.clone(), &first, AddOutcome::Taken(state(&done))),
        (State::NotRun, &same, AddOutcome::Claimed),
        (
            State::NotRun,
            &first,
            AddOutcome::Taken(state(&State::NotRun)),
        ),
    ];
    for (before, add, expected) in table {
        let mut bucket = Bucket::default();
        bucket.claims.insert(ID, state(&before));
        let mut draft = Draft::new(bucket, 10_000);
        expect_that!(draft.add(ID, add.clone()), eq(&expected), "{before:?}");
    }
    Ok(())
}

/// Another sidecar could claim a request whose open claim expired while this one still runs it.
#[gtest]
fn expiry_keeps_own_open_claims() -> Result<()> {
    let mut bucket = Bucket::default();
    for (id, vm, state) in [
        (1, "vm-1", State::Claimed),
        (2, "vm-1", State::NotRun),
        (3, "vm-2", State::Claimed),
    ] {
        let claim = Claim {
            state,
            ..claim(vm, id, 5)?
        };
        bucket.claims.insert(RequestId::new(id.into()), claim);
    }
    let incarnation = Incarnation::new("vm-1".parse()?, 1);
    bucket.expire(&incarnation, Millis::new(150), Millis::new(50));
    expect_that!(bucket.claims.len(), eq(3));
    bucket.expire(&incarnation, Millis::new(151), Millis::new(50));
    expect_that!(
        bucket.claims.keys().collect::<Vec<_>>(),
        elements_are![eq(&&RequestId::new(1))]
    );
    Ok(())
}

#[gtest]
fn buckets_round_trip_through_json_and_requests_spread_over_them() -> Result<()> {
    let mut bucket = Bucket::default();
    bucket.claims.insert(ID, claim("vm-1", 1, 5)?);
    let text = serde_json::to_string(&bucket)?;
    expect_that!(serde_json::from_str::<Bucket>(&text)?, eq(&bucket));
    expect_that!(text.len(), le(bucket.accounted_bytes()));
    let buckets_used: std::collections::BTreeSet<u32> = (0..200)
        .map(|id| bucket_of(RequestId::new(id), 8))
        .collect();
    expect_that!(buckets_used.len(), eq(8));
    Ok(())
}
