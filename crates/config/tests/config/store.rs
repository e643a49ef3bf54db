//! Tests of submission, concurrent submissions, lost responses and the cell of the newest
//! configuration.

use cyc_config::{
    CurrentConfig, CurrentServices, HasRevision as _, KeyOwner, LoadError, ServicesSnapshot,
    Snapshot, SubmitError, store,
};
use cyc_store::Error;
use cyc_types::Revision;
use googletest::prelude::*;
use tokio::sync::Barrier;

use crate::{
    fake::{Fake, Fault},
    sample::{account, document, id},
};

const ONE: Revision = Revision::new(1);
const TWO: Revision = Revision::new(2);

/// Loads a configuration that must be newer than `current`.
async fn load_newer(fake: &Fake, current: Option<&Snapshot>) -> Snapshot {
    store::load(fake, current)
        .await
        .expect("loads")
        .expect("newer")
}

#[gtest]
#[tokio::test]
async fn a_submitted_document_loads_unchanged() -> googletest::Result<()> {
    let fake = Fake::default();
    expect_that!(store::load(&fake, None).await, ok(none()));
    let doc = document();
    expect_that!(
        store::submit(&fake, &doc, Some(Revision::ZERO)).await,
        ok(eq(&ONE))
    );
    let snapshot = load_newer(&fake, None).await;
    expect_that!(snapshot.revision(), eq(ONE));
    let mut sorted = doc.clone();
    sorted.accounts.sort_by(|a, b| a.id.cmp(&b.id));
    let document = snapshot.document();
    expect_that!(document == sorted, eq(true), "{document:?}");
    let owner = KeyOwner {
        account: id("clubs"),
        budget: id("clubs"),
    };
    expect_that!(snapshot.accounts.owner("key of clubs"), some(eq(&owner)));
    expect_that!(snapshot.accounts.owner("key of nobody"), none());
    expect_that!(store::load(&fake, Some(&snapshot)).await, ok(none()));
    let objects = fake.len();
    expect_that!(store::submit(&fake, &doc, None).await, ok(eq(&ONE)));
    expect_that!(fake.len(), eq(objects));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn only_changed_parts_are_written_and_read() -> googletest::Result<()> {
    let fake = Fake::default();
    let mut doc = document();
    store::submit(&fake, &doc, None).await.expect("accepted");
    let first = load_newer(&fake, None).await;
    doc.accounts.push(account("hall"));
    expect_that!(store::submit(&fake, &doc, Some(ONE)).await, ok(eq(&TWO)));
    fake.take_reads();
    let second = load_newer(&fake, Some(&first)).await;
    let reads = fake.take_reads();
    expect_that!(reads.len(), eq(2), "{reads:?}");
    expect_that!(reads[1], starts_with("config/accounts-"));
    expect_that!(second.accounts.owner("key of hall"), some(anything()));
    doc.accounts.clear();
    expect_that!(
        store::submit(&fake, &doc, Some(TWO)).await,
        ok(eq(&Revision::new(3)))
    );
    let third = load_newer(&fake, Some(&second)).await;
    expect_that!(third.accounts.iter().count(), eq(0));
    Ok(())
}

/// Guards against a submission that overwrites another one: both read the same head before either
/// of them updates it.
#[gtest]
#[tokio::test]
async fn exactly_one_of_two_concurrent_submissions_is_accepted() -> googletest::Result<()> {
    let fake = Fake {
        first_reads_barrier: Some(Barrier::new(2)),
        ..Fake::default()
    };
    let (mut a, mut b) = (document(), document());
    a.accounts.push(account("hall-a"));
    b.accounts.push(account("hall-b"));
    b.services.policy.retry_percent = 7;
    let (mut accepted, mut rejected) = tokio::join!(
        store::submit(&fake, &a, None),
        store::submit(&fake, &b, None)
    );
    if accepted.is_err() {
        std::mem::swap(&mut accepted, &mut rejected);
    }
    expect_that!(accepted, ok(eq(&ONE)));
    expect_that!(rejected, err(eq(&SubmitError::Conflict { current: ONE })));
    let fake = Fake {
        first_reads_barrier: None,
        ..fake
    };
    let snapshot = load_newer(&fake, None).await;
    let is_a = snapshot.accounts.get(&id("hall-a")).is_some();
    let is_b = snapshot.accounts.get(&id("hall-b")).is_some();
    expect_that!(is_a, not(eq(is_b)));
    expect_that!(snapshot.services.policy.retry_percent == 7, eq(is_b));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_unexpected_revision_is_a_conflict() -> googletest::Result<()> {
    let fake = Fake::default();
    let doc = document();
    let rejected = store::submit(&fake, &doc, Some(ONE)).await;
    expect_that!(
        rejected,
        err(eq(&SubmitError::Conflict {
            current: Revision::ZERO
        }))
    );
    let mut invalid = doc;
    invalid.accounts[0].share = 0;
    let rejected = store::submit(&fake, &invalid, None).await;
    expect_that!(
        rejected,
        err(matches_pattern!(SubmitError::Rejected(len(eq(1)))))
    );
    expect_that!(fake.len(), eq(0));
    Ok(())
}

/// Guards against a wrong result of a submission. If the response to the update of the head is
/// lost, the submitter cannot tell at first whether the document was accepted.
#[gtest]
#[tokio::test]
async fn a_lost_response_to_the_head_update_is_resolved() -> googletest::Result<()> {
    use Fault::{RequestLost, ResponseLost, ResponseLostThenSuperseded, Throttled};
    let cases: &[(&[Fault], Option<Revision>)] = &[
        (&[ResponseLost], Some(ONE)),
        (&[RequestLost], Some(ONE)),
        (&[Throttled, RequestLost, ResponseLost], Some(ONE)),
        (&[ResponseLostThenSuperseded], Some(ONE)),
        (
            &[
                RequestLost,
                RequestLost,
                RequestLost,
                RequestLost,
                RequestLost,
            ],
            None,
        ),
        (
            &[RequestLost, Throttled, Throttled, Throttled, Throttled],
            None,
        ),
    ];
    for (faults, accepted) in cases {
        let fake = Fake::default().with_head_faults(faults);
        let result = store::submit(&fake, &document(), None).await;
        match accepted {
            Some(revision) => expect_that!(result, ok(eq(revision)), "{faults:?}"),
            None => expect_that!(
                result,
                err(matches_pattern!(SubmitError::OutcomeUnknown {
                    revision: eq(&ONE),
                    ..
                })),
                "{faults:?}"
            ),
        }
    }
    let fake = Fake::default().with_head_faults(&[Throttled; 5]);
    let rejected = store::submit(&fake, &document(), None).await;
    expect_that!(rejected, err(eq(&SubmitError::Platform(Error::Throttled))));
    Ok(())
}

/// Guards against a failed submission when the repeated write of a part finds the object that the
/// first write, whose response was lost, has created.
#[gtest]
#[tokio::test]
async fn a_lost_response_to_a_part_write_is_resolved() -> googletest::Result<()> {
    let fake = Fake::default();
    let faults = [Fault::ResponseLost, Fault::Throttled, Fault::RequestLost];
    fake.state.lock().expect("lock").part_faults = faults.into();
    expect_that!(store::submit(&fake, &document(), None).await, ok(eq(&ONE)));
    expect_that!(load_newer(&fake, None).await.services.targets.len(), eq(2));
    Ok(())
}

/// Guards against a configuration of parts that do not belong together: a stored part was altered,
/// or a peer's message is incomplete or names another revision.
#[gtest]
#[tokio::test]
async fn parts_that_do_not_match_the_head_are_rejected() -> googletest::Result<()> {
    let fake = Fake::default();
    store::submit(&fake, &document(), None)
        .await
        .expect("accepted");
    let message = load_newer(&fake, None).await.to_peer();
    {
        let mut state = fake.state.lock().expect("lock");
        let services = state
            .objects
            .iter_mut()
            .find(|(key, _)| key.name.starts_with("services"));
        services.expect("services").1.1 = "{}".into();
    }
    expect_that!(
        store::load(&fake, None).await,
        err(matches_pattern!(LoadError::Corrupt(anything())))
    );
    let mut incomplete = message.clone();
    incomplete.parts.pop();
    expect_that!(Snapshot::from_peer(&incomplete), err(anything()));
    let mut newer = message.clone();
    newer.revision = TWO;
    expect_that!(Snapshot::from_peer(&newer), err(anything()));
    expect_that!(
        Snapshot::from_peer(&message).map(|s| s.to_peer()),
        ok(eq(&message))
    );
    Ok(())
}

/// Guards against a return to an older revision when configurations from several senders arrive out
/// of order.
#[gtest]
#[tokio::test]
async fn an_older_configuration_that_arrives_late_is_ignored() -> googletest::Result<()> {
    let fake = Fake::default();
    let mut doc = document();
    store::submit(&fake, &doc, None).await.expect("accepted");
    let first = load_newer(&fake, None).await;
    doc.accounts.push(account("hall"));
    store::submit(&fake, &doc, None).await.expect("accepted");
    let second = load_newer(&fake, None).await;

    let cell = CurrentConfig::new();
    let mut changed = cell.subscribe();
    expect_that!(cell.revision(), eq(Revision::ZERO));
    for (snapshot, applied) in [
        (&first, true),
        (&second, true),
        (&first, false),
        (&second, false),
    ] {
        expect_that!(cell.apply(snapshot.clone()), eq(applied));
        expect_that!(changed.has_changed()?, eq(applied));
        changed.borrow_and_update();
    }
    expect_that!(cell.current().map(|s| s.revision()), some(eq(TWO)));

    let services = CurrentServices::new();
    for (snapshot, applied) in [(&second, true), (&first, false)] {
        let received = ServicesSnapshot::from_push(&snapshot.to_push()).expect("valid");
        expect_that!(services.apply(received), eq(applied));
    }
    expect_that!(services.revision(), eq(TWO));
    Ok(())
}
