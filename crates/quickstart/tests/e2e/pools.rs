//! Isolation of route classes and accounts under load, ejection of failing targets, hedging, prefix
//! affinity, and model orders to engines.

use std::collections::BTreeSet;

use cyc_quickstart::{Deployment, Error, Layout, Reply, TargetKind, deploy::wait_until, layout};
use cyc_route::prefix;
use cyc_standin::{
    client::Client,
    engine::{Counters, expected_text},
    process::Signal,
};
use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};

use super::support;

const TOP_UP_TOKENS: u64 = 1_000_000;
/// Status checks per round.
const CHECKS_PER_ROUND: usize = 40;
/// Prompts within which [`REQUIRED_CONSECUTIVE`] in a row must be routed by their cache events.
const MAX_TRIALS: usize = 30;
/// Consecutive prompts that must be routed by their cache events, enough to rule out chance.
const REQUIRED_CONSECUTIVE: usize = 6;

/// Indexes of the targets of one kind.
fn target_indexes(deployment: &Deployment, kind: TargetKind) -> Vec<usize> {
    let all = deployment.targets.iter().enumerate();
    all.filter(|(_, handle)| handle.kind == kind)
        .map(|(index, _)| index)
        .collect()
}

fn admin(deployment: &Deployment, index: usize) -> Client {
    Client::new(deployment.targets[index].target.addr())
}

async fn set_faults(deployment: &Deployment, index: usize, faults: &Value) -> Result<()> {
    let answer = admin(deployment, index)
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    verify_that!(answer.status.is_success(), eq(true))
}

async fn counters(deployment: &Deployment, index: usize) -> std::result::Result<Counters, Error> {
    Ok(admin(deployment, index)
        .get("/admin/counters")
        .await?
        .json()?)
}

/// Number of runs that a target has started.
async fn runs(deployment: &Deployment, index: usize) -> std::result::Result<u64, Error> {
    let counters: Value = admin(deployment, index)
        .get("/admin/counters")
        .await?
        .json()?;
    Ok(match &counters["runs"] {
        Value::Object(runs) => runs.values().filter_map(Value::as_u64).sum(),
        runs => runs.as_u64().unwrap_or_default(),
    })
}

async fn load_report(deployment: &Deployment, index: usize) -> std::result::Result<Value, Error> {
    Ok(admin(deployment, index).get("/v1/load").await?.json()?)
}

/// Sends concurrent status checks, alternating between the entries, and returns how many were
/// answered completely.
async fn check_status(deployment: &Deployment, account: &str, label: &str) -> usize {
    let checks = (0..CHECKS_PER_ROUND).map(|n| {
        let caller = deployment.caller(n % deployment.entries.len(), account);
        async move { caller.status(&format!("{label}-{n}"), &[]).await }
    });
    let replies = futures::future::join_all(checks).await;
    replies
        .into_iter()
        .filter(|reply| reply.as_ref().is_ok_and(|reply| reply.complete))
        .count()
}

/// Sends concurrent drafts, alternating between the entries.
async fn draft(
    deployment: &Deployment,
    account: &str,
    count: usize,
    (tokens, headers): (u64, &[(&str, &str)]),
) -> Vec<std::result::Result<Reply, cyc_standin::client::Error>> {
    let drafts = (0..count).map(|n| {
        let caller = deployment.caller(n % deployment.entries.len(), account);
        async move {
            let prompt = format!("Draft {n}.");
            caller.chat(&prompt, tokens, n % 2 == 0, headers).await
        }
    });
    futures::future::join_all(drafts).await
}

fn complete_drafts(
    replies: &[std::result::Result<Reply, cyc_standin::client::Error>],
    tokens: u64,
) -> usize {
    let is_complete = |(n, reply): &(usize, &std::result::Result<Reply, _>)| {
        let wanted = expected_text(&format!("Draft {n}. len={tokens}"), tokens);
        reply
            .as_ref()
            .is_ok_and(|reply: &Reply| reply.complete && reply.text == wanted)
    };
    replies.iter().enumerate().filter(is_complete).count()
}

/// If the route classes shared their slots, long drafts would delay status checks.
#[gtest]
#[tokio::test]
async fn status_checks_answer_while_all_drafting_slots_are_taken() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("limits", "drafting_slots = 4")
        .with_sidecar_setting("limits", "drafting_slots = 4");
    let deployment = Deployment::start(layout).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    for index in target_indexes(&deployment, TargetKind::Engine) {
        set_faults(&deployment, index, &json!({ "token_delay": 50 })).await?;
    }
    let drafting = draft(&deployment, "league", 16, (40, &[]));
    let checking = async {
        wait_until("all drafting slots of the entries are taken", || async {
            let mut running = 0;
            for index in target_indexes(&deployment, TargetKind::Engine) {
                running += runs(&deployment, index).await.unwrap_or_default();
            }
            running >= 8
        })
        .await?;
        let answered = check_status(&deployment, "league", "kit").await;
        Ok::<usize, Error>(answered)
    };
    let (drafts, answered) = tokio::join!(drafting, checking);
    expect_that!(answered?, eq(CHECKS_PER_ROUND));
    expect_that!(complete_drafts(&drafts, 40), eq(16), "{drafts:?}");
    for index in target_indexes(&deployment, TargetKind::Service) {
        expect_that!(
            runs(&deployment, index).await?,
            gt(0),
            "service target {index}"
        );
    }
    for index in target_indexes(&deployment, TargetKind::Engine) {
        expect_that!(
            runs(&deployment, index).await?,
            gt(0),
            "engine target {index}"
        );
    }
    Ok(())
}

/// In a queue without fair shares the requests of a small account would wait behind those of a
/// large one, or be refused when it is full.
#[gtest]
#[tokio::test]
async fn a_flooding_account_does_not_starve_a_small_one() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("limits", "drafting_slots = 4")
        .with_entry_setting("limits", "queue = 8")
        .with_sidecar_setting("limits", "drafting_slots = 4")
        .with_sidecar_setting("limits", "queue = 8");
    let deployment = Deployment::start(layout).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    deployment
        .top_up("club", "payment-2", TOP_UP_TOKENS)
        .await?;
    for index in target_indexes(&deployment, TargetKind::Engine) {
        set_faults(&deployment, index, &json!({ "token_delay": 5 })).await?;
    }
    let flood = draft(&deployment, "league", 120, (20, &[]));
    let small = async {
        wait_until("the flood has started", || async {
            let mut running = 0;
            for index in target_indexes(&deployment, TargetKind::Engine) {
                running += runs(&deployment, index).await.unwrap_or_default();
            }
            running >= 8
        })
        .await?;
        let mut complete = 0;
        for n in 0..10 {
            let caller = deployment.caller(n % 2, "club");
            let reply = caller.chat("Club night.", 5, true, &[]).await?;
            complete += usize::from(reply.complete);
        }
        Ok::<usize, Error>(complete)
    };
    let (flooded, small) = tokio::join!(flood, small);
    expect_that!(small?, eq(10));
    let refused = flooded.iter().flatten().filter(|reply| !reply.complete);
    for reply in refused {
        let outcome = reply.outcome();
        expect_that!(outcome, some(eq(cyc_types::Outcome::NotRun)), "{reply:?}");
    }
    Ok(())
}

/// Status checks that are sent to a failing instance again and again would fail although another
/// instance is available.
#[gtest]
#[tokio::test]
async fn a_failing_service_instance_is_ejected_and_the_other_serves() -> Result<()> {
    for faults in [
        json!({ "hang": true }),
        json!({ "status": 500 }),
        json!({ "break_answer": true }),
    ] {
        let deployment = Deployment::start(Layout::default()).await?;
        deployment
            .top_up("league", "payment-1", TOP_UP_TOKENS)
            .await?;
        let service_instance = target_indexes(&deployment, TargetKind::Service)[0];
        set_faults(&deployment, service_instance, &faults).await?;
        for round in 0..4 {
            let answered = check_status(&deployment, "league", &format!("kit-{round}")).await;
            expect_that!(answered, eq(CHECKS_PER_ROUND), "{faults} round {round}");
        }
    }
    Ok(())
}

/// An engine that fails or hangs would keep getting drafts although another engine is available.
#[gtest]
#[tokio::test]
async fn a_failing_engine_is_ejected_and_the_other_serves() -> Result<()> {
    for faults in [
        json!({ "hang": true }),
        json!({ "status": 500 }),
        json!({ "refuse": true }),
    ] {
        let deployment = Deployment::start(Layout::default()).await?;
        deployment
            .top_up("league", "payment-1", TOP_UP_TOKENS)
            .await?;
        let engine = target_indexes(&deployment, TargetKind::Engine)[0];
        set_faults(&deployment, engine, &faults).await?;
        // These drafts may fail at their deadline; the failures eject the target at each entry.
        let headers: &[(&str, &str)] = &[("x-deadline-ms", "1500")];
        draft(&deployment, "league", 40, (5, headers)).await;
        let before = runs(&deployment, engine).await?;
        let drafts = draft(
            &deployment,
            "league",
            20,
            (5, &[("x-deadline-ms", "20000")]),
        )
        .await;
        let probes = runs(&deployment, engine).await? - before;
        // Each of the two entries may send one probe to the ejected target.
        expect_that!(probes, le(2), "{faults}");
        expect_that!(
            complete_drafts(&drafts, 5) as u64,
            ge(20 - probes),
            "{faults}"
        );
    }
    Ok(())
}

/// Engines answer slowly under high load. If that ejected them, the drafts would be concentrated on
/// the remaining engine or aborted.
#[gtest]
#[tokio::test]
async fn slow_engines_are_not_ejected_and_long_drafts_complete() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    for index in target_indexes(&deployment, TargetKind::Engine) {
        set_faults(
            &deployment,
            index,
            &json!({ "token_delay": 30, "late": 300 }),
        )
        .await?;
    }
    for _ in 0..2 {
        let drafts = draft(&deployment, "league", 12, (100, &[])).await;
        expect_that!(complete_drafts(&drafts, 100), eq(12), "{drafts:?}");
    }
    for index in target_indexes(&deployment, TargetKind::Engine) {
        expect_that!(
            runs(&deployment, index).await?,
            gt(0),
            "engine target {index}"
        );
    }
    Ok(())
}

/// A frozen sidecar keeps its connections open. Without heartbeats entries would keep sending
/// requests to it.
#[gtest]
#[tokio::test]
async fn a_frozen_sidecar_does_not_stop_status_checks() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    expect_that!(
        check_status(&deployment, "league", "before").await,
        eq(CHECKS_PER_ROUND)
    );
    let service_instance = target_indexes(&deployment, TargetKind::Service)[0];
    deployment.signal_sidecar(service_instance, Signal::Stop)?;
    for round in 0..3 {
        let answered = check_status(&deployment, "league", &format!("kit-{round}")).await;
        expect_that!(answered, eq(CHECKS_PER_ROUND), "round {round}");
    }
    deployment.signal_sidecar(service_instance, Signal::Cont)?;
    Ok(())
}

/// A hedged request can run at two instances and could be billed for both.
#[gtest]
#[tokio::test]
async fn a_hedged_check_is_answered_despite_a_slow_service_instance_and_billed_once() -> Result<()>
{
    let deployment = Deployment::start(Layout::default().with_hedge()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    let service_instance = target_indexes(&deployment, TargetKind::Service)[0];
    let slow = json!({ "slow": 3_000, "times": 4 });
    set_faults(&deployment, service_instance, &slow).await?;
    expect_that!(
        check_status(&deployment, "league", "kit").await,
        eq(CHECKS_PER_ROUND)
    );
    expect_that!(
        support::service_runs(&deployment).await?,
        gt(CHECKS_PER_ROUND as u64)
    );
    support::wait_billed(&deployment, "league", CHECKS_PER_ROUND as u64).await?;
    Ok(())
}

/// Warms the prefix cache of an engine that the entry would not choose. Returns true if the entry
/// then sends a prompt with the same prefix to that engine.
async fn is_routed_by_cache_event(
    deployment: &Deployment,
    trial: usize,
) -> std::result::Result<bool, Error> {
    let engines = target_indexes(deployment, TargetKind::Engine);
    let caller = deployment.caller(0, "league");
    let common_prefix = format!("Rules of quiz night {trial}, read to every team. ").repeat(60);
    // The first block alone determines the candidates, so this request shows which engine the entry
    // chooses for the prompt while it knows of at most one cached block.
    let mut before = Vec::new();
    for index in &engines {
        before.push(runs(deployment, *index).await?);
    }
    caller
        .chat(&common_prefix[..prefix::BLOCK_BYTES], 1, false, &[])
        .await?;
    let mut warmed = None;
    for (index, before) in engines.iter().zip(before) {
        if runs(deployment, *index).await? == before {
            warmed = Some(*index);
        }
    }
    let Some(warmed) = warmed else {
        return Ok(false);
    };
    let body = json!({
        "model": layout::MODEL,
        "messages": [{ "role": "user", "content": format!("{common_prefix}len=1") }],
    });
    admin(deployment, warmed)
        .send_json(Method::POST, "/v1/chat/completions", &body)
        .await?;
    // The cache event is delayed; other requests are served in the meantime.
    for n in 0..50 * (trial + 1) {
        caller.status(&format!("kit-{n}"), &[]).await?;
    }
    let runs_before = runs(deployment, warmed).await?;
    caller
        .chat(&format!("{common_prefix}Go."), 1, false, &[])
        .await?;
    Ok(runs(deployment, warmed).await? > runs_before)
}

/// An entry that loses or ignores delayed cache events would send prompts to engines without the
/// cached prefix.
#[gtest]
#[tokio::test]
async fn a_delayed_cache_event_routes_the_prompt_to_its_engine() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    for index in target_indexes(&deployment, TargetKind::Engine) {
        set_faults(&deployment, index, &json!({ "events_late": 200 })).await?;
    }
    let mut consecutive = 0;
    for trial in 0..MAX_TRIALS {
        consecutive = match is_routed_by_cache_event(&deployment, trial).await? {
            true => consecutive + 1,
            false => 0,
        };
        if consecutive == REQUIRED_CONSECUTIVE {
            return Ok(());
        }
    }
    fail!(
        "{consecutive} consecutive prompts followed their cache events, not {REQUIRED_CONSECUTIVE}"
    )
}

/// Orders to an engine could be refused, reuse a fencing number, or unload a model that is still
/// configured.
#[gtest]
#[tokio::test]
async fn a_submitted_model_and_adapter_are_loaded_and_served() -> Result<()> {
    let mut deployment = Deployment::start(Layout::default()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    let engines = target_indexes(&deployment, TargetKind::Engine);
    for index in &engines {
        expect_that!(counters(&deployment, *index).await?.orders.len(), eq(0));
    }
    deployment.layout.extra_models = vec!["translator", "writer:quiz-kk"];
    deployment.submit().await?;
    wait_until(
        "every engine has loaded the model and the adapter",
        || async {
            let mut all = true;
            for index in &engines {
                let load = load_report(&deployment, *index).await.unwrap_or_default();
                all &= load["models"].get("translator").is_some();
                all &= load["adapters"] == json!(["writer:quiz-kk"]);
            }
            all
        },
    )
    .await?;
    for model in ["translator", "quiz-kk"] {
        let caller = deployment.caller(0, "league");
        wait_until("chats with the model are served", || async {
            let reply = caller.chat_with(model, ("Salem.", 4), false, &[]).await;
            reply.is_ok_and(|reply| reply.text == expected_text("Salem. len=4", 4))
        })
        .await?;
    }
    for index in &engines {
        let counters = counters(&deployment, *index).await?;
        let accepted = counters.orders.iter().all(|order| order.accepted);
        expect_that!(accepted, eq(true), "{:?}", counters.orders);
        let fences: BTreeSet<u64> = counters.orders.iter().map(|o| o.order.fencing).collect();
        expect_that!(fences.len(), eq(counters.orders.len()));
        let load = load_report(&deployment, *index).await?;
        expect_that!(load["models"].get("writer").is_some(), eq(true));
    }
    Ok(())
}
