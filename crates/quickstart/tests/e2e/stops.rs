//! Planned stops, leaving targets and restarts.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_proto::peer::EntryStatus;
use cyc_quickstart::{
    Deployment, Layout, TargetKind,
    deploy::wait_until,
    layout::{self, BOOKING_PRICE, STATUS_PRICE},
    load::{Ask, Load, Tally},
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

/// Tokens of a draft that goes on while a process stops.
const LONG: u64 = 100;
/// Tokens of each draft of the load.
const SHORT: u64 = 20;
/// Tokens paid into the budget.
const PAID: u64 = 50_000_000;

/// Engines that take long enough for a draft to see the whole of a stop.
fn slow_engines() -> Layout {
    Layout::default()
        .with_engine_arg("--token-ms")
        .with_engine_arg("10")
}

async fn start(layout: Layout) -> Result<Deployment> {
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "payment-1", PAID).await?;
    Ok(deployment)
}

async fn counters(deployment: &Deployment, target: usize) -> Result<Value> {
    let client = Client::new(deployment.targets[target].target.addr());
    Ok(client.get("/admin/counters").await?.json()?)
}

/// Returns the runs that a target started, of all kinds.
async fn runs(deployment: &Deployment, target: usize) -> u64 {
    let Ok(counters) = counters(deployment, target).await else {
        return 0;
    };
    match &counters["runs"] {
        Value::Object(runs) => runs.values().filter_map(Value::as_u64).sum(),
        runs => runs.as_u64().unwrap_or_default(),
    }
}

fn load(deployment: &Deployment, each: usize) -> Load {
    let entries: Vec<_> = deployment.entries.iter().map(|slot| slot.addr).collect();
    Load::start(&entries, "league", each, SHORT)
}

/// Waits until the load has had this many answers of each kind more than now.
async fn wait_answers(load: &Load, more: u64) -> Result<()> {
    let before = load.tally();
    wait_until("the callers get answers", || async {
        let now = load.tally();
        [Ask::Draft, Ask::Status, Ask::Booking].iter().all(|ask| {
            let count = |tally: &Tally| tally.answered.get(ask).copied().unwrap_or_default();
            count(&now) >= count(&before) + more
        })
    })
    .await?;
    Ok(())
}

/// Checks what callers saw against what the targets ran and what the platform billed.
async fn check_tally(deployment: &Deployment, tally: &Tally) -> Result<()> {
    expect_that!(tally.cut, is_empty());
    let mut by_key: BTreeMap<String, u64> = BTreeMap::new();
    let mut bookings = 0;
    for (index, slot) in deployment.targets.iter().enumerate() {
        if slot.kind == TargetKind::Desk {
            let counters = counters(deployment, index).await?;
            let keys: BTreeMap<String, u64> = serde_json::from_value(counters["by_key"].clone())?;
            for (key, runs) in keys {
                *by_key.entry(key).or_default() += runs;
            }
            bookings += counters["by_path"]["/bookings"].as_u64().unwrap_or(0);
        }
    }
    let twice: Vec<_> = by_key.iter().filter(|(_, runs)| **runs != 1).collect();
    expect_that!(twice, is_empty(), "requests that did not run once");
    expect_that!(bookings, eq(tally.booked.len() as u64));
    let count = |ask| tally.answered.get(&ask).copied().unwrap_or_default();
    let prices =
        count(Ask::Booking) * BOOKING_PRICE.get() + count(Ask::Status) * STATUS_PRICE.get();
    support::wait_billed(deployment, "league", tally.drafted + prices).await?;
    Ok(())
}

/// Starts a long draft at an entry and waits until a target has its run.
async fn long_draft(
    deployment: &Deployment,
    entry: usize,
) -> Result<tokio::task::JoinHandle<cyc_quickstart::Reply>> {
    let caller = deployment.caller(entry, "league");
    let draft = tokio::spawn(async move {
        let key = [("idempotency-key", "long-draft")];
        let reply = caller.chat("A long tale.", LONG, true, &key).await;
        reply.unwrap_or_else(|error| panic!("no answer: {error}"))
    });
    wait_until("the long draft runs", || async {
        long_draft_target(deployment).await.is_some()
    })
    .await?;
    Ok(draft)
}

/// Returns the engine that runs the only request so far.
async fn long_draft_target(deployment: &Deployment) -> Option<usize> {
    for (index, slot) in deployment.targets.iter().enumerate() {
        if slot.kind == TargetKind::Engine && runs(deployment, index).await == 1 {
            return Some(index);
        }
    }
    None
}

fn expect_whole(reply: &cyc_quickstart::Reply) {
    expect_that!(reply.complete, eq(true), "{reply:?}");
    let text = expected_text(&format!("A long tale. len={LONG}"), LONG);
    expect_that!(reply.text, eq(&text));
}

/// Sends a request without asking for the end of the connection; returns what comes until the
/// entry ends it.
async fn refused_on_a_kept_connection(addr: SocketAddr) -> Result<String> {
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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_finishes_its_stream_and_returns_its_grants() -> Result<()> {
    let mut deployment = start(slow_engines()).await?;
    let old = deployment.status().await?.entries[0].member.incarnation();
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
    let kept = refused_on_a_kept_connection(deployment.entries[0].addr).await?;
    expect_that!(kept, contains_substring("connection: close"));
    expect_that!(kept, contains_substring("\"kind\":\"draining\""));
    let elsewhere = deployment.caller(1, "league").status("kit-7", &[]).await?;
    expect_that!(elsewhere.complete, eq(true));
    expect_that!(draft.is_finished(), eq(false), "the draft was too short");

    deployment.stop_entry(0).await?;
    let reply = draft.await?;
    expect_whole(&reply);
    let record = support::record(&deployment, "league").await?;
    expect_that!(record.grants.contains_key(&old), eq(false), "{record:?}");
    // The other entry bills the status check by its own flush.
    let billed = reply.used + STATUS_PRICE.get();
    support::wait_billed(&deployment, "league", billed).await?;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_stops_finishes_its_stream_and_gets_no_new_work() -> Result<()> {
    // A draft of many seconds: the short ones below have to end before it on a busy machine too.
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
    expect_whole(&draft.await?);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_cuts_no_request_and_bills_none_twice() -> Result<()> {
    let mut deployment = start(Layout::default()).await?;
    let load = load(&deployment, 2);
    wait_answers(&load, 5).await?;
    for entry in 0..deployment.entries.len() {
        deployment.stop_entry(entry).await?;
        deployment.restart_entry(entry).await?;
        deployment.wait_settled().await?;
        wait_answers(&load, 5).await?;
    }
    for target in 0..deployment.targets.len() {
        deployment.stop_sidecar(target).await?;
        deployment.restart_sidecar(target).await?;
        deployment.wait_settled().await?;
        wait_answers(&load, 5).await?;
    }
    let tally = load.stop().await;
    check_tally(&deployment, &tally).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_while_the_store_is_out_keeps_its_money_accounted_for() -> Result<()> {
    let layout = slow_engines().with_entry_setting("process", "drain_limit_ms = 2000");
    let mut deployment = start(layout).await?;
    let old = deployment.status().await?.entries[0].member.incarnation();
    let caller = deployment.caller(0, "league");
    let mut used = 0;
    for _ in 0..10 {
        let reply = caller.chat("A short tale.", 20, true, &[]).await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
        used += reply.used;
    }
    support::wait_billed(&deployment, "league", used).await?;
    wait_until("the entry holds what a draft needs", || async {
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
    deployment.entries[0].to_platform.cut();
    let reply = caller.chat("A short tale.", 5, true, &[]).await?;
    expect_that!(reply.complete, eq(true), "{reply:?}");
    // It ends with success although it could not flush.
    deployment.stop_entry(0).await?;
    let record = support::record(&deployment, "league").await?;
    expect_that!(record.settled.get(), eq(used));
    let held = record.grants.get(&old).or_fail()?.amount;
    expect_that!(held.get(), ge(reply.used), "the grant covers what ran");

    deployment.entries[0].to_platform.heal();
    deployment.restart_entry(0).await?;
    deployment.wait_settled().await?;
    let again = deployment.caller(0, "league").status("kit-7", &[]).await?;
    expect_that!(again.complete, eq(true), "{again:?}");
    let record = support::record(&deployment, "league").await?;
    let granted: u64 = record.grants.values().map(|grant| grant.amount.get()).sum();
    expect_that!(record.settled.get() + granted, le(record.paid.get()));
    Ok(())
}

/// Writes the VM list; `leaving` names the targets whose VMs leave.
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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_gets_no_new_work_though_the_vm_list_lags() -> Result<()> {
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
    let tally = load.stop().await;
    check_tally(&deployment, &tally).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_vm_gets_no_new_work_though_its_sidecar_was_not_told() -> Result<()> {
    let deployment = start(Layout::default()).await?;
    set_vms(&deployment, &[]).await?;
    let load = load(&deployment, 2);
    wait_answers(&load, 5).await?;
    set_vms(&deployment, &["engine-0", "desk-0"]).await?;
    let started = std::time::Instant::now();
    wait_until("all entries and sidecars know", || async {
        let status = deployment.status().await;
        status.is_ok_and(|status| {
            let mut entries = status.entries.iter().filter_map(|row| row.status.as_ref());
            entries.all(|entry| {
                let told = entry.sidecars.iter().filter(|sidecar| sidecar.draining);
                told.count() == 2
            })
        })
    })
    .await?;
    println!("known to all after {:?}", started.elapsed());
    let at = |deployment: &Deployment, name: &str| {
        let kind = if name.starts_with("engine") {
            TargetKind::Engine
        } else {
            TargetKind::Desk
        };
        deployment
            .targets
            .iter()
            .position(|slot| slot.kind == kind && slot.number == 0)
    };
    for name in ["engine-0", "desk-0"] {
        let target = at(&deployment, name).or_fail()?;
        // A run that was admitted before the news may still reach the target.
        wait_answers(&load, 1).await?;
        let before = runs(&deployment, target).await;
        wait_answers(&load, 10).await?;
        expect_that!(runs(&deployment, target).await, eq(before), "{name}");
    }
    let tally = load.stop().await;
    check_tally(&deployment, &tally).await
}

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
