//! Drafts while engines and entries fail: the caller gets the complete text or an error, and is
//! billed once or not at all.

use cyc_quickstart::{Deployment, Layout, caller::Reply, deploy::wait_until, layout::TargetKind};
use cyc_standin::{client::Client, engine::expected_text, process::Signal};
use googletest::prelude::*;
use serde_json::{Value, json};

use super::{
    super::support::wait_billed,
    support::{self, ACCOUNT, runs, set_all_faults},
};

const DRAFT_TOKENS: u64 = 20;

fn layout() -> Layout {
    Layout {
        service_instances: 1,
        ..Layout::default()
    }
}

async fn chat(deployment: &Deployment, entry: usize, key: &str, stream: bool) -> Result<Reply> {
    let headers = [("idempotency-key", key), ("x-deadline-ms", "3000")];
    let caller = deployment.caller(entry, ACCOUNT);
    Ok(caller.chat(key, DRAFT_TOKENS, stream, &headers).await?)
}

/// Describes a reply that is neither the complete text nor an error with a correct beginning of the
/// text; `None` if it is one of the two.
fn text_mismatch(reply: &Reply, prompt: &str) -> Option<String> {
    let wanted = expected_text(&format!("{prompt} len={DRAFT_TOKENS}"), DRAFT_TOKENS);
    match (&reply.problem, reply.complete) {
        (None, true) => (reply.text != wanted).then(|| format!("wrong text: {reply:?}")),
        (Some(_), false) if wanted.starts_with(&reply.text) => None,
        (Some(_), false) => Some(format!("wrong text before the error: {reply:?}")),
        _ => Some(format!("truncated without an error: {reply:?}")),
    }
}

/// An answer that an engine truncates, breaks off or mixes up with another could be passed on as
/// complete, or be billed together with the answer to the retry.
#[gtest]
#[tokio::test]
async fn a_failing_engine_gives_the_complete_text_or_an_error() -> Result<()> {
    let deployment = support::start(layout()).await?;
    let mut billed_tokens = 0;
    let table = [
        ("crossed", json!({ "crossed": true })),
        ("refused", json!({ "refuse": true })),
        ("status", json!({ "status": 500 })),
        ("late", json!({ "late": 300 })),
        ("truncated-0", json!({ "truncate_after": 0 })),
        ("truncated-7", json!({ "truncate_after": 7 })),
        ("truncated-20", json!({ "truncate_after": 20 })),
        ("broken-0", json!({ "break_after": 0 })),
        ("broken-7", json!({ "break_after": 7 })),
        ("broken-20", json!({ "break_after": 20 })),
    ];
    for (name, faults) in table {
        for (stream, times) in [
            (true, Some(1)),
            (false, Some(1)),
            (true, None),
            (false, None),
        ] {
            let key = format!("{name}-{stream}-{times:?}");
            let mut faults = faults.clone();
            faults["times"] = json!(times);
            set_all_faults(&deployment, TargetKind::Engine, &faults).await?;
            let first = chat(&deployment, 0, &key, stream).await?;
            expect_that!(text_mismatch(&first, &key), none(), "{key}");
            set_all_faults(&deployment, TargetKind::Engine, &json!({})).await?;
            let again = chat(&deployment, 1, &key, stream).await?;
            expect_that!(text_mismatch(&again, &key), none(), "{key} again");
            expect_that!(
                again.complete,
                eq(true),
                "{key} again after {first:?}: {again:?}"
            );
            billed_tokens += again.tokens_used;
        }
    }
    wait_billed(&deployment, ACCOUNT, billed_tokens).await?;
    Ok(())
}

/// An engine that stops sending within an open connection would keep its caller waiting without
/// end.
#[gtest]
#[tokio::test]
async fn a_stalled_engine_gives_an_error_at_the_deadline() -> Result<()> {
    let deployment = support::start(layout()).await?;
    for stream in [true, false] {
        let key = format!("stalled-{stream}");
        let faults = json!({ "stall_after": 7 });
        set_all_faults(&deployment, TargetKind::Engine, &faults).await?;
        let first = chat(&deployment, 0, &key, stream).await?;
        expect_that!(first.complete, eq(false), "{first:?}");
        expect_that!(text_mismatch(&first, &key), none(), "{key}");
        set_all_faults(&deployment, TargetKind::Engine, &json!({})).await?;
        let again = chat(&deployment, 1, &key, stream).await?;
        expect_that!(again.complete, eq(true), "{again:?}");
        expect_that!(text_mismatch(&again, &key), none(), "{key} again");
    }
    Ok(())
}

/// The engine's run continues after the entry was killed. A retry through another entry could start
/// a second run, or get only the rest of the text.
#[gtest]
#[tokio::test]
async fn a_retry_after_an_entry_was_killed_in_a_stream_gets_the_complete_answer() -> Result<()> {
    let mut deployment = support::start(layout()).await?;
    let faults = json!({ "token_delay": 50 });
    set_all_faults(&deployment, TargetKind::Engine, &faults).await?;
    let first = chat(&deployment, 0, "rivers", true);
    let kill = async {
        let index = support::wait_started(&deployment, "rivers").await?;
        let engine = Client::new(deployment.targets[index].target.addr());
        wait_until("the engine has generated tokens", || async {
            let Ok(answer) = engine.get("/admin/counters").await else {
                return false;
            };
            let counters: Value = answer.json().unwrap_or_default();
            counters["tokens_generated"].as_u64() >= Some(3)
        })
        .await?;
        deployment.signal_entry(0, Signal::Kill)?;
        chat(&deployment, 1, "rivers", true).await
    };
    let (first, again) = tokio::join!(first, kill);
    let again = again?;
    expect_that!(first.is_ok_and(|first| first.complete), eq(false));
    expect_that!(again.complete, eq(true), "{again:?}");
    expect_that!(text_mismatch(&again, "rivers"), none());
    expect_that!(runs(&deployment, "rivers").await?, eq(1));
    deployment.entries[0].process = None;
    deployment.restart_entry(0).await?;
    wait_billed(&deployment, ACCOUNT, again.tokens_used).await?;
    Ok(())
}
