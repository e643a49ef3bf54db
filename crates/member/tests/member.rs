//! Tests of registrations, fences and contact records under platform faults.

use std::collections::BTreeMap;

use cyc_member::{Registration, Role, contacts, fence, find, register};
use cyc_standin::store::{Faults, LostAnswers, Store};
use cyc_types::Incarnation;
use googletest::prelude::*;

fn process() -> Result<Registration> {
    Ok(Registration {
        role: Role::Entry,
        vm: "vm-1".parse()?,
        zone: "almaty-a".parse()?,
        addr: ([127, 0, 0, 1], 7000).into(),
        target: None,
    })
}

/// A write may take effect although its answer is lost. A retry that does not recognize its own
/// write would take another number.
#[gtest]
#[tokio::test]
async fn registration_numbers_increase_by_one_despite_lost_answers() -> Result<()> {
    let cases = [
        LostAnswers::Never,
        LostAnswers::EveryWrite,
        LostAnswers::EveryNthWrite(2),
        LostAnswers::Random {
            probability: 0.5,
            seed: 7,
        },
    ];
    for lost in cases {
        let store = Store::new();
        let case = format!("{lost:?}");
        store.set_faults(Faults {
            lost,
            ..Faults::default()
        });
        for number in 1..=5 {
            let incarnation = register(&store, &process()?).await?;
            expect_that!(incarnation.number, eq(number), "{case}");
        }
        store.set_faults(Faults::default());
        let member = find(&store, Role::Entry, &"vm-1".parse()?)
            .await?
            .or_fail()?;
        expect_that!(member.number, eq(5), "{case}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn concurrent_registrations_share_no_number() -> Result<()> {
    let store = Store::new();
    let process = process()?;
    let starts = (0..8).map(|_| register(&store, &process));
    let mut numbers = Vec::new();
    for started in futures::future::join_all(starts).await {
        numbers.push(started?.number);
    }
    numbers.sort_unstable();
    expect_that!(numbers, eq(&(1..=8).collect::<Vec<u64>>()));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_fence_never_decreases() -> Result<()> {
    let store = Store::new();
    for (raised, expected) in [(3, 3), (2, 3), (5, 5), (5, 5)] {
        fence::raise(&store, &Incarnation::new("vm-1".parse()?, raised)).await?;
        let lowest = fence::read(&store).await?.incarnations();
        expect_that!(
            lowest,
            eq(&vec![Incarnation::new("vm-1".parse()?, expected)])
        );
    }
    Ok(())
}

/// A reclaim relies on the sealed record. An entry that could still add a sidecar to it would spend
/// tokens that the reclaim has already credited.
#[gtest]
#[tokio::test]
async fn sealed_contacts_never_change() -> Result<()> {
    let store = Store::new();
    let entry = Incarnation::new("vm-1".parse()?, 1);
    let mut sidecars = BTreeMap::new();
    sidecars.insert("engine-1".parse()?, Incarnation::new("vm-2".parse()?, 4));
    contacts::record(&store, &entry, &sidecars).await?;
    for _ in 0..2 {
        let sealed = contacts::seal(&store, &entry).await?;
        expect_that!(sealed.sidecars, eq(&sidecars));
    }
    let late = contacts::record(&store, &entry, &BTreeMap::new()).await;
    expect_that!(late, err(eq(&contacts::Error::Sealed)));

    // The record of an entry that never sent a request is sealed as well.
    let other = Incarnation::new("vm-3".parse()?, 1);
    expect_that!(contacts::seal(&store, &other).await?.sidecars, is_empty());
    expect_that!(
        contacts::record(&store, &other, &sidecars).await,
        err(anything())
    );
    Ok(())
}
