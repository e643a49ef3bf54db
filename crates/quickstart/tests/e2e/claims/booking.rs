//! Bookings while sidecars, entries and the store fail: each runs at most once, and no caller gets
//! an outcome that contradicts the runs.

use cyc_quickstart::{
    Layout,
    deploy::wait_until,
    layout::{BOOKING_PRICE, TargetKind},
};
use cyc_standin::process::Signal;
use cyc_types::{ErrorKind, Outcome};
use googletest::prelude::*;
use serde_json::json;

use super::{
    super::support::wait_billed,
    support::{
        self, ACCOUNT, book, book_body, runs, set_all_faults, set_platform_faults, wait_started,
    },
};

const LONG_DEADLINE_MS: u64 = 30_000;

/// After the sidecar was killed nobody knows whether the run took effect. A retry that ignored
/// the open claim would run the booking a second time.
#[gtest]
#[tokio::test]
async fn a_sidecar_killed_during_a_booking_leaves_outcome_unknown_and_one_run() -> Result<()> {
    for (name, faults) in [
        ("slow", json!({ "slow": 300 })),
        ("hang", json!({ "hang": true })),
    ] {
        let mut deployment = support::start(support::single_engine_layout()).await?;
        set_all_faults(&deployment, TargetKind::Service, &faults).await?;
        let first = book(&deployment, 0, "friday", LONG_DEADLINE_MS);
        let kill = async {
            let index = wait_started(&deployment, "friday").await?;
            deployment.signal_sidecar(index, Signal::Kill)?;
            support::Result::Ok(index)
        };
        let (first, index) = tokio::join!(first, kill);
        let (first, index) = (first?, index?);
        expect_that!(
            first.outcome(),
            some(eq(Outcome::Unknown)),
            "{name} {first:?}"
        );
        deployment.targets[index].sidecar = None;
        set_all_faults(&deployment, TargetKind::Service, &json!({})).await?;

        for restarted in [false, true] {
            if restarted {
                deployment.restart_sidecar(index).await?;
                deployment.wait_ready().await?;
            }
            for entry in 0..2 {
                let again = book(&deployment, entry, "friday", LONG_DEADLINE_MS).await?;
                let case = format!("{name} restarted={restarted} entry={entry}");
                expect_that!(
                    again.outcome(),
                    some(eq(Outcome::Unknown)),
                    "{case} {again:?}"
                );
            }
        }
        expect_that!(runs(&deployment, "friday").await?, eq(1), "{name}");
    }
    Ok(())
}

/// The sidecar is killed after it recorded the answer and before an entry received it: the booking
/// could be lost, run again, or never be billed.
#[gtest]
#[tokio::test]
async fn an_unbilled_answer_of_a_killed_sidecar_is_replayed_and_billed_once() -> Result<()> {
    use cyc_standin::relay::Direction;

    let mut deployment = support::start(support::single_engine_layout()).await?;
    for index in support::target_indexes(&deployment, TargetKind::Service) {
        deployment.targets[index].relay.hold(Direction::FromTarget);
    }
    let first = book(&deployment, 0, "friday", LONG_DEADLINE_MS);
    let kill = async {
        let index = wait_started(&deployment, "friday").await?;
        let platform = deployment.platform_client();
        wait_until("the claim is recorded as done", || async {
            use cyc_store::{Kind, Platform as _};
            let buckets = platform.list(Kind::Claim, "").await.unwrap_or_default();
            let done = |body: &[u8]| String::from_utf8_lossy(body).contains(r#""done""#);
            buckets.iter().any(|bucket| done(&bucket.body))
        })
        .await?;
        deployment.signal_sidecar(index, Signal::Kill)?;
        for index in support::target_indexes(&deployment, TargetKind::Service) {
            // The answer held by the relay is lost with the connections.
            deployment.targets[index].relay.reset();
            deployment.targets[index].relay.heal();
        }
        support::Result::Ok(index)
    };
    let (first, index) = tokio::join!(first, kill);
    let (first, index) = (first?, index?);
    deployment.targets[index].sidecar = None;
    expect_that!(
        first.complete || first.outcome() != Some(Outcome::NotRun),
        eq(true),
        "{first:?}"
    );
    let again = book(&deployment, 1, "friday", LONG_DEADLINE_MS).await?;
    expect_that!(again.complete, eq(true), "{again:?}");
    deployment.restart_sidecar(index).await?;
    deployment.wait_ready().await?;
    let third = book(&deployment, 0, "friday", LONG_DEADLINE_MS).await?;
    expect_that!(third.text, eq(&again.text));
    expect_that!(runs(&deployment, "friday").await?, eq(1));
    wait_billed(&deployment, ACCOUNT, BOOKING_PRICE.get()).await?;
    Ok(())
}

/// Requests with one key that arrive at several entries at the same time could each start a run. A
/// key that is reused with another body must not be given the answer to the first.
#[gtest]
#[tokio::test]
async fn concurrent_requests_with_one_key_run_once_and_another_body_is_refused() -> Result<()> {
    let layout = Layout {
        entries: 3,
        ..support::single_engine_layout()
    };
    let deployment = support::start(layout).await?;
    set_all_faults(&deployment, TargetKind::Service, &json!({ "slow": 200 })).await?;
    let calls = (0..12).map(|n| book(&deployment, n % 3, "friday", LONG_DEADLINE_MS));
    let other = async {
        wait_started(&deployment, "friday").await?;
        book_body(&deployment, 1, ("friday", "kit-8"), LONG_DEADLINE_MS).await
    };
    let (replies, reused) = tokio::join!(futures::future::join_all(calls), other);
    let mut texts = Vec::new();
    for reply in replies {
        let reply = reply?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
        texts.push(reply.text);
    }
    texts.dedup();
    expect_that!(texts.len(), eq(1), "{texts:?}");
    expect_that!(reused?.kind(), some(eq(ErrorKind::KeyReused)));
    for entry in 0..3 {
        let reused = book_body(&deployment, entry, ("friday", "kit-8"), LONG_DEADLINE_MS).await?;
        expect_that!(reused.kind(), some(eq(ErrorKind::KeyReused)), "{reused:?}");
    }
    expect_that!(
        super::super::support::service_runs(&deployment).await?,
        eq(1)
    );
    wait_billed(&deployment, ACCOUNT, BOOKING_PRICE.get()).await?;
    Ok(())
}

/// The run continues at the sidecar after its entry was killed. A retry through another entry that
/// did not join it would run and bill the booking again.
#[gtest]
#[tokio::test]
async fn a_retry_after_an_entry_was_killed_is_answered_and_billed_once() -> Result<()> {
    let mut deployment = support::start(support::single_engine_layout()).await?;
    set_all_faults(&deployment, TargetKind::Service, &json!({ "slow": 1_000 })).await?;
    let first = book(&deployment, 0, "friday", LONG_DEADLINE_MS);
    let kill = async {
        wait_started(&deployment, "friday").await?;
        deployment.signal_entry(0, Signal::Kill)?;
        book(&deployment, 1, "friday", LONG_DEADLINE_MS).await
    };
    let (first, again) = tokio::join!(first, kill);
    let again = again?;
    expect_that!(first.is_ok_and(|first| first.complete), eq(false));
    expect_that!(again.complete, eq(true), "{again:?}");
    deployment.entries[0].process = None;
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    let third = book(&deployment, 0, "friday", LONG_DEADLINE_MS).await?;
    expect_that!(third.text, eq(&again.text));
    expect_that!(runs(&deployment, "friday").await?, eq(1));
    wait_billed(&deployment, ACCOUNT, BOOKING_PRICE.get()).await?;
    Ok(())
}

/// A sidecar that ran a booking without recording its claim could not prevent a second run.
#[gtest]
#[tokio::test]
async fn bookings_are_refused_and_not_run_while_sidecars_cannot_reach_the_store() -> Result<()> {
    let deployment = support::start(support::single_engine_layout()).await?;
    for index in support::target_indexes(&deployment, TargetKind::Service) {
        deployment.targets[index].platform_relay.cut();
    }
    for entry in 0..2 {
        let refused = book(&deployment, entry, "friday", 1_500).await?;
        let kind = refused.kind();
        expect_that!(
            kind,
            some(eq(ErrorKind::PlatformUnavailable)),
            "{refused:?}"
        );
        expect_that!(refused.outcome(), some(eq(Outcome::NotRun)));
        expect_that!(runs(&deployment, "friday").await?, eq(0));
    }
    for index in support::target_indexes(&deployment, TargetKind::Service) {
        deployment.targets[index].platform_relay.heal();
    }
    support::reach_every_service_instance(&deployment, "passing").await?;
    expect_that!(runs(&deployment, "friday").await?, eq(0));
    for entry in 0..2 {
        let again = book(&deployment, entry, "friday", LONG_DEADLINE_MS).await?;
        expect_that!(again.complete, eq(true), "{again:?}");
    }
    expect_that!(runs(&deployment, "friday").await?, eq(1));
    Ok(())
}

/// A claim write can take effect although its answer is lost. A sidecar that then took its own
/// claim for another's would refuse the booking, and one that ignored it could run it twice.
#[gtest]
#[tokio::test]
async fn a_booking_whose_claim_write_loses_its_answer_runs_once() -> Result<()> {
    for lost in [
        json!({ "first_writes": 1 }),
        json!({ "every_nth_write": 2 }),
        json!("every_write"),
    ] {
        let deployment = support::start(support::single_engine_layout()).await?;
        let faults = json!({ "lost": lost, "lost_kind": "claim" });
        set_platform_faults(&deployment, &faults).await?;
        for (entry, key) in [(0, "friday"), (1, "friday"), (1, "sunday"), (0, "sunday")] {
            let reply = book(&deployment, entry, key, LONG_DEADLINE_MS).await?;
            expect_that!(reply.complete, eq(true), "{faults} {reply:?}");
        }
        for key in ["friday", "sunday"] {
            expect_that!(runs(&deployment, key).await?, eq(1), "{faults}");
        }
        wait_billed(&deployment, ACCOUNT, 2 * BOOKING_PRICE.get()).await?;
    }
    Ok(())
}
