//! Graceful shutdown of entries and sidecars, rolling restarts, and targets on leaving VMs.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_proto::peer::EntryStatus;
use cyc_quickstart::{
    Deployment, Layout, TargetKind,
    deploy::wait_until,
    layout::{self, BOOKING_PRICE, STATUS_PRICE},
    load::{Load, LoadStats, RequestKind},
};
use cyc_standin::{client::Client, engine::expected_text, process::Signal};
use cyc_store::{Vm, VmState};
use cyc_types::{ErrorKind, Outcome};
use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::support;

/// Tokens of a draft that is still running while a process shuts down.
const LONG_DRAFT_TOKENS: u64 = 100;
/// Tokens of each draft of the generated load.
const SHORT_DRAFT_TOKENS: u64 = 20;
/// Tokens paid into the budget.
const TOP_UP_TOKENS: u64 = 50_000_000;

/// Layout with engines so slow that a long draft is still running while a shutdown proceeds.
fn slow_engines() -> Layout {
    Layout::default()
        .with_engine_arg("--token-ms")
        .with_engine_arg("10")
}

async fn start(layout: Layout) -> Result<Deployment> {
    let deployment = Deployment::start(layout).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    Ok(deployment)
}

async fn counters(deployment: &Deployment, target: usize) -> Result<Value> {
    let client = Client::new(deployment.targets[target].target.addr());
    Ok(client.get("/admin/counters").await?.json()?)
}

/// Number of runs that a target has started.
async fn runs(deployment: &Deployment, target: usize) -> u64 {
    let Ok(counters) = counters(deployment, target).await else {
        return 0;
    };
    match &counters["runs"] {
        Value::Object(runs) => runs.values().filter_map(Value::as_u64).sum(),
        runs => runs.as_u64().unwrap_or_default(),
    }
}

fn load(deployment: &Deployment, callers_per_kind: usize) -> Load {
    let entries: Vec<_> = deployment
        .entries
        .iter()
        .map(|handle| handle.addr)
        .collect();
    Load::start(&entries, "league", callers_per_kind, SHORT_DRAFT_TOKENS)
}

/// Waits until the load has received `more` further answers of each kind.
async fn wait_answers(load: &Load, more: u64) -> Result<()> {
    let before = load.stats();
    wait_until(
        "the callers have received more answers of each kind",
        || async {
            let now = load.stats();
            [
                RequestKind::Draft,
                RequestKind::Status,
                RequestKind::Booking,
            ]
            .iter()
            .all(|kind| {
                let count =
                    |stats: &LoadStats| stats.answered.get(kind).copied().unwrap_or_default();
                count(&now) >= count(&before) + more
            })
        },
    )
    .await?;
    Ok(())
}

/// Checks the results of the callers against the runs of the targets and the settled tokens.
async fn check_stats(deployment: &Deployment, stats: &LoadStats) -> Result<()> {
    expect_that!(stats.failures, is_empty());
    let mut by_key: BTreeMap<String, u64> = BTreeMap::new();
    let mut bookings = 0;
    for (index, handle) in deployment.targets.iter().enumerate() {
        if handle.kind == TargetKind::Service {
            let counters = counters(deployment, index).await?;
            let keys: BTreeMap<String, u64> = serde_json::from_value(counters["by_key"].clone())?;
            for (key, runs) in keys {
                *by_key.entry(key).or_default() += runs;
            }
            bookings += counters["by_path"]["/bookings"].as_u64().unwrap_or(0);
        }
    }
    let not_once: Vec<_> = by_key.iter().filter(|(_, runs)| **runs != 1).collect();
    expect_that!(
        not_once,
        is_empty(),
        "requests that did not run exactly once"
    );
    expect_that!(bookings, eq(stats.booking_keys.len() as u64));
    let count = |kind| stats.answered.get(&kind).copied().unwrap_or_default();
    let prices = count(RequestKind::Booking) * BOOKING_PRICE.get()
        + count(RequestKind::Status) * STATUS_PRICE.get();
    support::wait_billed(deployment, "league", stats.draft_tokens + prices).await?;
    Ok(())
}

/// Starts a long draft through an entry and waits until an engine runs it.
async fn long_draft(
    deployment: &Deployment,
    entry: usize,
) -> Result<tokio::task::JoinHandle<cyc_quickstart::Reply>> {
    let caller = deployment.caller(entry, "league");
    let draft = tokio::spawn(async move {
        let key = [("idempotency-key", "long-draft")];
        let reply = caller
            .chat("A long tale.", LONG_DRAFT_TOKENS, true, &key)
            .await;
        reply.unwrap_or_else(|error| panic!("no answer: {error}"))
    });
    wait_until("an engine runs the long draft", || async {
        long_draft_target(deployment).await.is_some()
    })
    .await?;
    Ok(draft)
}

/// Index of the engine that has started exactly one run, if any.
async fn long_draft_target(deployment: &Deployment) -> Option<usize> {
    for (index, handle) in deployment.targets.iter().enumerate() {
        if handle.kind == TargetKind::Engine && runs(deployment, index).await == 1 {
            return Some(index);
        }
    }
    None
}

fn expect_complete_draft(reply: &cyc_quickstart::Reply) {
    expect_that!(reply.complete, eq(true), "{reply:?}");
    let text = expected_text(
        &format!("A long tale. len={LONG_DRAFT_TOKENS}"),
        LONG_DRAFT_TOKENS,
    );
    expect_that!(reply.text, eq(&text));
}

/// Sends a request without `connection: close`, and returns the bytes received until the entry
/// closes the connection.
async fn request_on_persistent_connection(addr: SocketAddr) -> Result<String> {
    let key = layout::api_key("league");
    let mut stream = TcpStream::connect(addr).await?;
    let req = format!(
        "GET /v1/services/hire-desk/kits/kit-7 HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(req.as_bytes()).await?;
    let mut got = String::new();
    stream.read_to_string(&mut got).await?;
    Ok(got)
}

/// An entry that exits at once would truncate its streams and leave its grants to be reclaimed
/// later.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_finishes_its_stream_and_returns_its_grants_at_shutdown() -> Result<()> {
    let mut deployment = start(slow_engines()).await?;
    let incarnation = deployment.status().await?.entries[0].member.incarnation();
    let draft = long_draft(&deployment, 0).await?;
    deployment.signal_entry(0, Signal::Term)?;

    let client = Client::new(deployment.entries[0].addr);
    wait_until("the entry is not ready", || async {
        let ready = client.get("/readyz").await;
        ready.is_ok_and(|ready| ready.status == 503)
    })
    .await?;
    let refused = deployment.caller(0, "league").status("kit-7", &[]).await?;
    expect_that!(refused.kind(), some(eq(ErrorKind::Draining)));
    expect_that!(refused.outcome(), some(eq(Outcome::NotRun)));
    let response = request_on_persistent_connection(deployment.entries[0].addr).await?;
    expect_that!(response, contains_substring("connection: close"));
    expect_that!(response, contains_substring("\"kind\":\"draining\""));
    let at_other_entry = deployment.caller(1, "league").status("kit-7", &[]).await?;
    expect_that!(at_other_entry.complete, eq(true));
    expect_that!(draft.is_finished(), eq(false), "the draft was too short");

    deployment.stop_entry(0).await?;
    let reply = draft.await?;
    expect_complete_draft(&reply);
    let record = support::record(&deployment, "league").await?;
    expect_that!(
        record.grants.contains_key(&incarnation),
        eq(false),
        "{record:?}"
    );
    // The status check is billed when the other entry flushes its receipts.
    let billed = reply.tokens_used + STATUS_PRICE.get();
    support::wait_billed(&deployment, "league", billed).await?;
    Ok(())
}

/// A sidecar that exits at once would truncate its streams, and new requests that reach it while it
/// drains would be refused or cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_finishes_its_stream_and_gets_no_new_work_at_shutdown() -> Result<()> {
    // 100 tokens at 80 ms: the short drafts below must end before this one even on a busy machine.
    let engines = Layout::default()
        .with_engine_arg("--token-ms")
        .with_engine_arg("80");
    let mut deployment = start(engines).await?;
    let draft = long_draft(&deployment, 0).await?;
    let leaving = long_draft_target(&deployment).await.or_fail()?;
    deployment.signal_sidecar(leaving, Signal::Term)?;
    wait_until("the sidecar drains", || async {
        let status = deployment.status().await;
        status.is_ok_and(|status| status.sidecars.iter().any(|row| row.draining))
    })
    .await?;
    for number in 0..8 {
        let caller = deployment.caller(number % 2, "league");
        let reply = caller.chat("A short tale.", 2, true, &[]).await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
    }
    expect_that!(runs(&deployment, leaving).await, eq(1));
    expect_that!(draft.is_finished(), eq(false), "the draft was too short");
    deployment.stop_sidecar(leaving).await?;
    expect_complete_draft(&draft.await?);
    Ok(())
}

/// Requests in progress while a process restarts could fail, run twice or be billed twice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_fails_no_request_and_bills_none_twice() -> Result<()> {
    let mut deployment = start(Layout::default()).await?;
    let load = load(&deployment, 2);
    wait_answers(&load, 5).await?;
    for entry in 0..deployment.entries.len() {
        deployment.stop_entry(entry).await?;
        deployment.restart_entry(entry).await?;
        deployment.wait_in_service().await?;
        wait_answers(&load, 5).await?;
    }
    for target in 0..deployment.targets.len() {
        deployment.stop_sidecar(target).await?;
        deployment.restart_sidecar(target).await?;
        deployment.wait_in_service().await?;
        wait_answers(&load, 5).await?;
    }
    let stats = load.stop().await;
    check_stats(&deployment, &stats).await
}

/// An entry that cannot flush its receipts must not return the tokens that they settle: the budget
/// would be overspent when they are billed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_an_entry_that_shuts_down_during_a_store_outage_stay_granted() -> Result<()> {
    let layout = slow_engines().with_entry_setting("process", "drain_limit_ms = 2000");
    let mut deployment = start(layout).await?;
    let incarnation = deployment.status().await?.entries[0].member.incarnation();
    let caller = deployment.caller(0, "league");
    let mut used = 0;
    for _ in 0..10 {
        let reply = caller.chat("A short tale.", 20, true, &[]).await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
        used += reply.tokens_used;
    }
    support::wait_billed(&deployment, "league", used).await?;
    wait_until("the entry holds enough idle tokens for a draft", || async {
        let status = deployment.status().await;
        let idle = |entry: &EntryStatus| entry.idle.get();
        status.is_ok_and(|status| {
            status.entries[0]
                .status
                .as_ref()
                .is_some_and(|e| idle(e) > 100)
        })
    })
    .await?;
    deployment.entries[0].platform_relay.cut();
    let reply = caller.chat("A short tale.", 5, true, &[]).await?;
    expect_that!(reply.complete, eq(true), "{reply:?}");
    // The entry exits with success although it could not flush its receipts.
    deployment.stop_entry(0).await?;
    let record = support::record(&deployment, "league").await?;
    expect_that!(record.settled.get(), eq(used));
    let held = record.grants.get(&incarnation).or_fail()?.amount;
    expect_that!(
        held.get(),
        ge(reply.tokens_used),
        "the grant must cover the unflushed receipt"
    );

    deployment.entries[0].platform_relay.heal();
    deployment.restart_entry(0).await?;
    deployment.wait_in_service().await?;
    let again = deployment.caller(0, "league").status("kit-7", &[]).await?;
    expect_that!(again.complete, eq(true), "{again:?}");
    let record = support::record(&deployment, "league").await?;
    let granted: u64 = record.grants.values().map(|grant| grant.amount.get()).sum();
    expect_that!(record.settled.get() + granted, le(record.paid.get()));
    Ok(())
}

/// Replaces the VM list; `leaving` has the ids of the targets whose VMs are leaving.
async fn set_vms(deployment: &Deployment, leaving: &[&str]) -> Result<()> {
    let mut vms = Vec::new();
    for target in &deployment.document()?.services.targets {
        vms.push(Vm {
            id: target.vm.clone(),
            zone: target.zone.clone(),
            ip: target.addr.ip(),
            state: match leaving.contains(&target.id.as_str()) {
                true => VmState::Leaving,
                false => VmState::Live,
            },
        });
    }
    let admin = deployment.platform_admin();
    let answer = admin.send_json(Method::PUT, "/admin/vms", &vms).await?;
    expect_that!(answer.status.is_success(), eq(true));
    Ok(())
}

/// Entries that learn of a leaving target only from the VM list would keep sending it requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work_before_the_vm_list_shows_it() -> Result<()> {
    let mut deployment = start(Layout::default()).await?;
    set_vms(&deployment, &[]).await?;
    let load = load(&deployment, 2);
    wait_answers(&load, 5).await?;
    let leaving = 0;
    deployment.stop_sidecar(leaving).await?;
    let before = runs(&deployment, leaving).await;
    expect_that!(before, gt(0));
    wait_answers(&load, 10).await?;
    expect_that!(runs(&deployment, leaving).await, eq(before));
    let stats = load.stop().await;
    check_stats(&deployment, &stats).await
}

/// Entries that learn of a leaving target only from its sidecar would keep sending it requests
/// until its VM is shut down.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_vm_gets_no_new_work_without_a_signal_to_its_sidecar() -> Result<()> {
    let deployment = start(Layout::default()).await?;
    set_vms(&deployment, &[]).await?;
    let load = load(&deployment, 2);
    wait_answers(&load, 5).await?;
    set_vms(&deployment, &["engine-0", "desk-0"]).await?;
    let started = std::time::Instant::now();
    wait_until("all entries see the sidecars as draining", || async {
        let status = deployment.status().await;
        status.is_ok_and(|status| {
            let mut entries = status.entries.iter().filter_map(|row| row.status.as_ref());
            entries.all(|entry| {
                let draining = entry.sidecars.iter().filter(|sidecar| sidecar.draining);
                draining.count() == 2
            })
        })
    })
    .await?;
    println!(
        "seen as draining by all entries after {:?}",
        started.elapsed()
    );
    let index_of = |deployment: &Deployment, name: &str| {
        let kind = if name.starts_with("engine") {
            TargetKind::Engine
        } else {
            TargetKind::Service
        };
        deployment
            .targets
            .iter()
            .position(|handle| handle.kind == kind && handle.number == 0)
    };
    for name in ["engine-0", "desk-0"] {
        let target = index_of(&deployment, name).or_fail()?;
        // Runs that were admitted before the VM list changed may still reach the target.
        wait_answers(&load, 1).await?;
        let before = runs(&deployment, target).await;
        wait_answers(&load, 10).await?;
        expect_that!(runs(&deployment, target).await, eq(before), "{name}");
    }
    let stats = load.stop().await;
    check_stats(&deployment, &stats).await
}

/// An entry that stays ready would get new callers until its VM is shut down; one that stops
/// serving would fail the callers it has.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_on_a_leaving_vm_is_not_ready_and_still_answers() -> Result<()> {
    let deployment = start(Layout::default()).await?;
    let vm = Vm {
        id: "vm-entry-0".parse()?,
        zone: "almaty-a".parse()?,
        ip: deployment.entries[0].addr.ip(),
        state: VmState::Leaving,
    };
    let admin = deployment.platform_admin();
    admin.send_json(Method::PUT, "/admin/vms", &[vm]).await?;
    let client = Client::new(deployment.entries[0].addr);
    wait_until("the entry is not ready", || async {
        let ready = client.get("/readyz").await;
        ready.is_ok_and(|ready| ready.status == 503 && ready.text == "leaving\n")
    })
    .await?;
    let reply = deployment.caller(0, "league").status("kit-7", &[]).await?;
    expect_that!(reply.complete, eq(true), "{reply:?}");
    let other = Client::new(deployment.entries[1].addr)
        .get("/readyz")
        .await?;
    expect_that!(other.status.is_success(), eq(true));
    Ok(())
}
