//! Submission, races, lost answers and the cell of the newest configuration.

use cyc_config::{
    InForce, KeyOwner, LoadError, Revised as _, ServicesInForce, ServicesSnapshot, Snapshot,
    SubmitError, store,
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

async fn loaded(fake: &Fake, have: Option<&Snapshot>) -> Snapshot {
    store::load(fake, have)
        .await
        .expect("loads")
        .expect("newer")
}

#[gtest]
#[tokio::test]
async fn a_submitted_document_is_loaded_whole() -> googletest::Result<()> {
    let fake = Fake::default();
    expect_that!(store::load(&fake, None).await, ok(none()));
    let doc = document();
    expect_that!(
        store::submit(&fake, &doc, Some(Revision::ZERO)).await,
        ok(eq(&ONE))
    );
    let snapshot = loaded(&fake, None).await;
    expect_that!(snapshot.revision(), eq(ONE));
    let mut sorted = doc.clone();
    sorted.accounts.sort_by(|a, b| a.id.cmp(&b.id));
    let whole = snapshot.document();
    expect_that!(whole == sorted, eq(true), "{whole:?}");
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
    let first = loaded(&fake, None).await;
    doc.accounts.push(account("hall"));
    expect_that!(store::submit(&fake, &doc, Some(ONE)).await, ok(eq(&TWO)));
    fake.take_reads();
    let second = loaded(&fake, Some(&first)).await;
    let reads = fake.take_reads();
    expect_that!(reads.len(), eq(2), "{reads:?}");
    expect_that!(reads[1], starts_with("config/accounts-"));
    expect_that!(second.accounts.owner("key of hall"), some(anything()));
    doc.accounts.clear();
    expect_that!(
        store::submit(&fake, &doc, Some(TWO)).await,
        ok(eq(&Revision::new(3)))
    );
    let third = loaded(&fake, Some(&second)).await;
    expect_that!(third.accounts.iter().count(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn of_two_racing_operators_one_is_accepted_whole() -> googletest::Result<()> {
    let fake = Fake {
        gate: Some(Barrier::new(2)),
        ..Fake::default()
    };
    let (mut a, mut b) = (document(), document());
    a.accounts.push(account("hall-a"));
    b.accounts.push(account("hall-b"));
    b.services.policy.retry_percent = 7;
    let (mut won, mut lost) = tokio::join!(
        store::submit(&fake, &a, None),
        store::submit(&fake, &b, None)
    );
    if won.is_err() {
        std::mem::swap(&mut won, &mut lost);
    }
    expect_that!(won, ok(eq(&ONE)));
    expect_that!(lost, err(eq(&SubmitError::Conflict { current: ONE })));
    let fake = Fake { gate: None, ..fake };
    let snapshot = loaded(&fake, None).await;
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
    let refused = store::submit(&fake, &doc, Some(ONE)).await;
    expect_that!(
        refused,
        err(eq(&SubmitError::Conflict {
            current: Revision::ZERO
        }))
    );
    let mut wrong = doc;
    wrong.accounts[0].share = 0;
    let refused = store::submit(&fake, &wrong, None).await;
    expect_that!(
        refused,
        err(matches_pattern!(SubmitError::Rejected(len(eq(1)))))
    );
    expect_that!(fake.len(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_to_the_head_is_resolved() -> googletest::Result<()> {
    use Fault::{LostAfter, LostBefore, LostThenOvertaken, Throttled};
    let table: &[(&[Fault], Option<Revision>)] = &[
        (&[LostAfter], Some(ONE)),
        (&[LostBefore], Some(ONE)),
        (&[Throttled, LostBefore, LostAfter], Some(ONE)),
        (&[LostThenOvertaken], Some(ONE)),
        (
            &[LostBefore, LostBefore, LostBefore, LostBefore, LostBefore],
            None,
        ),
        (
            &[LostBefore, Throttled, Throttled, Throttled, Throttled],
            None,
        ),
    ];
    for (faults, accepted) in table {
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
    let refused = store::submit(&fake, &document(), None).await;
    expect_that!(refused, err(eq(&SubmitError::Platform(Error::Throttled))));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_to_a_part_is_resolved() -> googletest::Result<()> {
    let fake = Fake::default();
    let faults = [Fault::LostAfter, Fault::Throttled, Fault::LostBefore];
    fake.state.lock().expect("lock").part_faults = faults.into();
    expect_that!(store::submit(&fake, &document(), None).await, ok(eq(&ONE)));
    expect_that!(loaded(&fake, None).await.services.targets.len(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_part_that_differs_from_the_head_is_refused() -> googletest::Result<()> {
    let fake = Fake::default();
    store::submit(&fake, &document(), None)
        .await
        .expect("accepted");
    let sent = loaded(&fake, None).await.to_peer();
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
    let mut lacking = sent.clone();
    lacking.parts.pop();
    expect_that!(Snapshot::from_peer(&lacking), err(anything()));
    let mut newer = sent.clone();
    newer.revision = TWO;
    expect_that!(Snapshot::from_peer(&newer), err(anything()));
    expect_that!(
        Snapshot::from_peer(&sent).map(|s| s.to_peer()),
        ok(eq(&sent))
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_late_older_configuration_is_never_put_in_force() -> googletest::Result<()> {
    let fake = Fake::default();
    let mut doc = document();
    store::submit(&fake, &doc, None).await.expect("accepted");
    let first = loaded(&fake, None).await;
    doc.accounts.push(account("hall"));
    store::submit(&fake, &doc, None).await.expect("accepted");
    let second = loaded(&fake, None).await;

    let cell = InForce::new();
    let mut changed = cell.changed();
    expect_that!(cell.revision(), eq(Revision::ZERO));
    for (snapshot, taken) in [
        (&first, true),
        (&second, true),
        (&first, false),
        (&second, false),
    ] {
        expect_that!(cell.apply(snapshot.clone()), eq(taken));
        expect_that!(changed.has_changed()?, eq(taken));
        changed.borrow_and_update();
    }
    expect_that!(cell.current().map(|s| s.revision()), some(eq(TWO)));

    let services = ServicesInForce::new();
    for (snapshot, taken) in [(&second, true), (&first, false)] {
        let pushed = ServicesSnapshot::from_push(&snapshot.to_push()).expect("valid");
        expect_that!(services.apply(pushed), eq(taken));
    }
    expect_that!(services.revision(), eq(TWO));
    Ok(())
}
