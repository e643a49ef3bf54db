//! Guards against claims that are granted twice, stay open or lose their answer when a second
//! sidecar claims the request, the store loses or delays writes, or the caller stops waiting.

use std::{sync::Arc, time::Duration};

use cyc_claim::{ClaimOutcome, Committer, DoneAnswer, Options, State, object_key};
use cyc_types::{Clock, Incarnation, Millis, RequestId, ServiceId, Tokens};
use googletest::prelude::*;

use crate::fake::{Fake, Faults};

const CLAIM_TIMEOUT: Millis = Millis::new(500);

async fn join<T>(tasks: Vec<tokio::task::JoinHandle<T>>) -> Result<Vec<T>> {
    let mut done = Vec::new();
    for task in tasks {
        done.push(task.await?);
    }
    Ok(done)
}

fn service() -> Result<ServiceId> {
    Ok("hire-desk".parse()?)
}

fn committer(fake: &Fake, vm: &str, clock: &Clock, options: Options) -> Result<Committer> {
    let incarnation = Incarnation::new(vm.parse()?, 1);
    Ok(Committer::new(
        Arc::new(fake.clone()),
        incarnation,
        vm.parse()?,
        clock.clone(),
        options,
    ))
}

fn answer(body: &str) -> DoneAnswer {
    DoneAnswer {
        status: 201,
        content_type: "application/json".into(),
        body: body.into(),
        tokens: Tokens::new(3),
    }
}

fn done(body: Option<&str>) -> State {
    State::Done {
        status: 201,
        content_type: "application/json".into(),
        body: body.map(Into::into),
        tokens: Tokens::new(3),
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn claims_of_one_bucket_share_writes() -> Result<()> {
    let fake = Fake::new(
        1,
        Faults {
            max_delay_ms: 10,
            ..Faults::default()
        },
    );
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let service = service()?;
    let tasks: Vec<_> = (0..50)
        .map(|id| {
            let (first, service) = (first.clone(), service.clone());
            tokio::spawn(async move {
                first
                    .claim(&service, 0, RequestId::new(id), 1, CLAIM_TIMEOUT)
                    .await
            })
        })
        .collect();
    let outcomes = join(tasks).await?;
    expect_that!(outcomes, each(eq(&ClaimOutcome::Claimed)));
    expect_that!(fake.puts(), le(2));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_second_claim_reports_the_first() -> Result<()> {
    let fake = Fake::new(1, Faults::default());
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let second = committer(&fake, "vm-2", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    let other = |state| ClaimOutcome::ClaimedByOther {
        by: Incarnation::new("vm-1".parse().expect("an id"), 1),
        target: "vm-1".parse().expect("an id"),
        state,
        fingerprint: 1,
    };
    expect_that!(
        first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::Claimed)
    );
    expect_that!(
        first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::ClaimedBySelf(State::Claimed))
    );
    expect_that!(
        second.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&other(State::Claimed))
    );
    expect_that!(
        second.claim(&service, 0, id, 2, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::KeyReused)
    );
    first.done(&service, 0, id, answer("kit 4"));
    first.flush().await;
    expect_that!(
        second.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&other(done(Some("kit 4"))))
    );
    second.not_run(&service, 0, id);
    second.flush().await;
    let repeated = first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await;
    expect_that!(
        repeated,
        eq(&ClaimOutcome::ClaimedBySelf(done(Some("kit 4"))))
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_that_was_not_run_can_be_claimed_by_any_sidecar() -> Result<()> {
    let fake = Fake::new(1, Faults::default());
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let second = committer(&fake, "vm-2", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    expect_that!(
        first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::Claimed)
    );
    first.not_run(&service, 0, id);
    first.flush().await;
    expect_that!(
        second.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::Claimed)
    );
    // The bucket cached by the first sidecar is stale and must be read again.
    let late = first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await;
    expect_that!(
        late,
        matches_pattern!(ClaimOutcome::ClaimedByOther {
            state: eq(&State::Claimed),
            ..
        })
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_gives_unavailable_before_a_write_was_sent_and_unknown_after() -> Result<()> {
    let outage = Faults {
        lost_call: 100,
        ..Faults::default()
    };
    let fake = Fake::new(1, outage);
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    expect_that!(
        first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::Unavailable)
    );
    fake.set_faults(Faults::default());
    first.flush().await;
    expect_that!(fake.bucket(&object_key(&service, 0)).claims.len(), eq(0));

    fake.set_faults(Faults {
        lost_answer: 100,
        ..Faults::default()
    });
    let claiming = first.claim(&service, 0, id, 1, Millis::new(5));
    expect_that!(claiming.await, eq(&ClaimOutcome::Unknown));
    fake.set_faults(Faults::default());
    first.flush().await;
    let bucket = fake.bucket(&object_key(&service, 0));
    expect_that!(
        bucket.claims.get(&id).map(|c| &c.state),
        some(eq(&State::NotRun))
    );
    Ok(())
}

/// A write that was answered with an error may still arrive. Unless another write changes the
/// object before, the late write opens a claim that nobody ends.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_late_write_cannot_open_a_claim_after_its_caller_timed_out() -> Result<()> {
    let late = Faults {
        late_write: 100,
        late_delay_ms: (5_000, 5_000),
        ..Faults::default()
    };
    let fake = Fake::new(1, late);
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    let outcome = first.claim(&service, 0, id, 1, Millis::new(10)).await;
    expect_that!(outcome, eq(&ClaimOutcome::Unknown));
    fake.set_faults(Faults::default());
    first.flush().await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let bucket = fake.bucket(&object_key(&service, 0));
    let is_open = bucket
        .claims
        .values()
        .any(|claim| claim.state == State::Claimed);
    expect_that!(is_open, eq(false));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn ends_are_retried_until_a_store_outage_is_over() -> Result<()> {
    let fake = Fake::new(1, Faults::default());
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    expect_that!(
        first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await,
        eq(&ClaimOutcome::Claimed)
    );
    fake.set_faults(Faults {
        lost_call: 100,
        ..Faults::default()
    });
    first.done(&service, 0, id, answer("kit 4"));
    tokio::time::sleep(Duration::from_secs(3600)).await;
    expect_that!(first.is_idle(), eq(false));
    fake.set_faults(Faults::default());
    first.flush().await;
    let bucket = fake.bucket(&object_key(&service, 0));
    expect_that!(
        bucket.claims.get(&id).map(|c| &c.state),
        some(eq(&done(Some("kit 4"))))
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_full_bucket_refuses_claims_and_keeps_unexpired_ones() -> Result<()> {
    let fake = Fake::new(1, Faults::default());
    let clock = Clock::new_manual(Millis::new(1));
    let window = Millis::MINUTE;
    let options = Options {
        max_bucket_bytes: 10_000,
        retry_window: window,
        ..Options::default()
    };
    let first = committer(&fake, "vm-1", &clock, options)?;
    let service = service()?;
    let mut claimed = Vec::new();
    for id in (0..100).map(RequestId::new) {
        match first.claim(&service, 0, id, 1, CLAIM_TIMEOUT).await {
            ClaimOutcome::Claimed => claimed.push(id),
            other => expect_that!(other, eq(&ClaimOutcome::Unavailable)),
        }
    }
    expect_that!(claimed.len(), all!(gt(5), lt(100)));
    for id in &claimed {
        first.done(&service, 0, *id, answer(&"x".repeat(3_000)));
    }
    first.flush().await;
    let key = object_key(&service, 0);
    expect_that!(fake.object_bytes(&key), le(10_000));
    let bucket = fake.bucket(&key);
    let is_done = |id: &RequestId| {
        let claim = bucket.claims.get(id);
        claim.is_some_and(|claim| matches!(claim.state, State::Done { .. }))
    };
    expect_that!(claimed.iter().all(is_done), eq(true));
    clock.advance(window + Millis::SECOND);
    let fresh = first
        .claim(&service, 0, RequestId::new(1_000), 1, CLAIM_TIMEOUT)
        .await;
    expect_that!(fresh, eq(&ClaimOutcome::Claimed));
    expect_that!(fake.bucket(&key).claims.len(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_claim_whose_caller_is_cancelled_ends_as_not_run() -> Result<()> {
    let fake = Fake::new(1, Faults::default());
    let clock = Clock::new_manual(Millis::new(1));
    let first = committer(&fake, "vm-1", &clock, Options::default())?;
    let (service, id) = (service()?, RequestId::new(1));
    let mut claiming = Box::pin(first.claim(&service, 0, id, 1, CLAIM_TIMEOUT));
    tokio::select! {
        biased;
        _ = &mut claiming => {}
        () = std::future::ready(()) => {}
    }
    let state = || {
        fake.bucket(&object_key(&service, 0))
            .claims
            .remove(&id)
            .map(|c| c.state)
    };
    first.flush().await;
    expect_that!(state(), some(eq(&State::Claimed)));
    // Cancels the caller after the outcome was sent and before it was received.
    drop(claiming);
    first.flush().await;
    expect_that!(state(), some(eq(&State::NotRun)));
    Ok(())
}
