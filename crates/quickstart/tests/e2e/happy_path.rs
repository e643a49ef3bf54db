//! Requests from caller to target and back, without faults.

use cyc_quickstart::{Deployment, Layout, layout};
use cyc_standin::engine::expected_text;
use cyc_types::ErrorKind;
use googletest::prelude::*;

use super::support;

#[gtest]
#[tokio::test]
async fn requests_are_answered_by_a_target_and_billed() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    deployment.top_up("league", "payment-1", 10_000).await?;
    let caller = deployment.caller(0, "league");

    for stream in [true, false] {
        let reply = caller
            .chat("Ten questions on rivers.", 20, stream, &[])
            .await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
        expect_that!(
            reply.text,
            eq(&expected_text("Ten questions on rivers. len=20", 20))
        );
    }
    let booked = caller.book("kit-7-friday", "kit-7").await?;
    let again = deployment
        .caller(1, "league")
        .book("kit-7-friday", "kit-7")
        .await?;
    expect_that!(again.answer.text, eq(&booked.answer.text));
    expect_that!(support::service_runs(&deployment).await?, eq(1));
    let status = caller.status("kit-7", &[]).await?;
    expect_that!(status.complete, eq(true), "{status:?}");

    let chats = 2 * caller
        .chat("Ten questions on rivers.", 20, true, &[])
        .await?
        .tokens_used;
    let billed = chats / 2 * 3 + layout::BOOKING_PRICE.get() + layout::STATUS_PRICE.get();
    support::wait_billed(&deployment, "league", billed).await?;
    let report = support::spend(&deployment).await?;
    let league = report.accounts.get(&"league".parse()?).or_fail()?;
    expect_that!(league.balance.is_balanced(), eq(true), "{league:?}");
    expect_that!(league.balance.billed.get(), eq(billed));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unauthenticated_and_malformed_requests_are_refused_and_not_run() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    deployment.top_up("league", "payment-1", 10_000).await?;
    let unauthenticated = deployment.caller(0, "nobody");
    let reply = unauthenticated.status("kit-7", &[]).await?;
    expect_that!(reply.kind(), some(eq(ErrorKind::Unauthenticated)));

    let caller = deployment.caller(0, "league");
    let path = "/v1/services/hire-desk/bookings";
    let table = [
        ("POST", "/v1/chat/completions", "{", ErrorKind::BadRequest),
        (
            "POST",
            "/v1/chat/completions",
            r#"{"model":"x","messages":[]}"#,
            ErrorKind::BadRequest,
        ),
        ("POST", path, "{}", ErrorKind::KeyRequired),
        ("DELETE", path, "", ErrorKind::NoSuchRoute),
        (
            "GET",
            "/v1/services/nothing/at-all",
            "",
            ErrorKind::NoSuchRoute,
        ),
    ];
    for (method, path, body, kind) in table {
        let answer = caller.send(method.parse()?, path, &[], body).await?;
        let problem: serde_json::Value = answer.json()?;
        expect_that!(
            problem["kind"].as_str(),
            some(eq(<&str>::from(kind))),
            "{path} {body}"
        );
        expect_that!(problem["outcome"].as_str(), some(eq("not_run")));
    }
    expect_that!(support::service_runs(&deployment).await?, eq(0));
    Ok(())
}
