//! The rules of one bucket.

use cyc_claim::{Bucket, Claim, Draft, State, bucket::Added, bucket_of};
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
fn only_a_claim_that_was_not_run_gives_way() -> Result<()> {
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
        (State::Claimed, &same, Added::Taken(state(&State::Claimed))),
        (State::Claimed, &reused, Added::KeyReused),
        (State::Claimed, &first, Added::Claimed),
        (done.clone(), &same, Added::Taken(state(&done))),
        (done.clone(), &first, Added::Taken(state(&done))),
        (State::NotRun, &same, Added::Claimed),
        (State::NotRun, &first, Added::Taken(state(&State::NotRun))),
    ];
    for (before, add, wanted) in table {
        let mut bucket = Bucket::default();
        bucket.claims.insert(ID, state(&before));
        let mut draft = Draft::new(bucket, 10_000);
        expect_that!(draft.add(ID, add.clone()), eq(&wanted), "{before:?}");
    }
    Ok(())
}

#[gtest]
fn expiry_spares_own_open_claims() -> Result<()> {
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
    let me = Incarnation::new("vm-1".parse()?, 1);
    bucket.expire(&me, Millis::new(150), Millis::new(50));
    expect_that!(bucket.claims.len(), eq(3));
    bucket.expire(&me, Millis::new(151), Millis::new(50));
    expect_that!(
        bucket.claims.keys().collect::<Vec<_>>(),
        elements_are![eq(&&RequestId::new(1))]
    );
    Ok(())
}

#[gtest]
fn buckets_keep_their_form_and_spread() -> Result<()> {
    let mut bucket = Bucket::default();
    bucket.claims.insert(ID, claim("vm-1", 1, 5)?);
    let text = serde_json::to_string(&bucket)?;
    expect_that!(serde_json::from_str::<Bucket>(&text)?, eq(&bucket));
    expect_that!(text.len(), le(bucket.cost()));
    let hit: std::collections::BTreeSet<u32> = (0..200)
        .map(|id| bucket_of(RequestId::new(id), 8))
        .collect();
    expect_that!(hit.len(), eq(8));
    Ok(())
}
