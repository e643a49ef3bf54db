//! Budgets and billing while the store, the entries and the sidecars fail.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use cyc_budget::{Record, SHARDS, Shard, shard::shard_key, shard_of};
use cyc_member::{Contacts, contacts};
use cyc_quickstart::{
    Deployment, Error, Layout,
    caller::{Caller, Reply},
    deploy::wait_until,
    layout::{BOOKING_PRICE, STATUS_PRICE},
};
use cyc_standin::{
    client::Client,
    process::{Process, Signal},
};
use cyc_store::Platform as _;
use cyc_types::{BudgetId, ErrorKind, Incarnation};
use futures::future::join_all;
use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};

use super::support;

/// Reads the record of a budget in a loop and collects the records that show an overspend.
struct OverspendMonitor {
    stop: Arc<AtomicBool>,
    reads: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<Vec<Record>>,
}

impl OverspendMonitor {
    fn start(deployment: &Deployment, budget: &str) -> Result<Self> {
        let id: BudgetId = budget.parse()?;
        let key = shard_key(shard_of(&id, SHARDS));
        let platform = deployment.platform_client();
        let stop = Arc::new(AtomicBool::new(false));
        let reads = Arc::new(AtomicU64::new(0));
        let (stopped, counted) = (stop.clone(), reads.clone());
        let task = tokio::spawn(async move {
            let mut overspent = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                tokio::task::yield_now().await;
                // The record cannot be read during an outage of the store.
                let Ok(Some(object)) = platform.get(&key).await else {
                    continue;
                };
                let Ok(shard) = serde_json::from_slice::<Shard>(&object.body) else {
                    continue;
                };
                if let Some(record) = shard.budgets.get(&id) {
                    counted.fetch_add(1, Ordering::SeqCst);
                    if !record.is_sound() {
                        overspent.push(record.clone());
                    }
                }
            }
            overspent
        });
        Ok(Self { stop, reads, task })
    }

    /// Stops after one more read, and fails if a record showed more tokens settled or granted than
    /// paid.
    async fn finish(self, case: &str) -> Result<()> {
        let before = self.reads.load(Ordering::SeqCst);
        wait_until("the record was read", || async {
            self.reads.load(Ordering::SeqCst) > before
        })
        .await?;
        self.stop.store(true, Ordering::SeqCst);
        expect_that!(self.task.await?, is_empty(), "{case}");
        Ok(())
    }
}

/// Counts of replies by result.
#[derive(Debug, Default, PartialEq, Eq)]
struct ReplyCounts {
    served: u64,
    refused_exhausted: u64,
    refused_unreachable: u64,
    other: Vec<String>,
}

impl ReplyCounts {
    fn add(&mut self, reply: Reply) {
        match reply.kind() {
            _ if reply.complete => self.served += 1,
            Some(ErrorKind::BudgetExhausted) => self.refused_exhausted += 1,
            Some(ErrorKind::BudgetUnreachable) => self.refused_unreachable += 1,
            _ => self.other.push(format!("{reply:?}")),
        }
    }
}

/// Sends concurrent status checks, spread over the callers, each for a different kit.
async fn burst(callers: &[Caller], count: usize, name: &str) -> Result<ReplyCounts> {
    let requests = (0..count).map(|n| {
        let caller = &callers[n % callers.len()];
        let kit = format!("{name}-{n}");
        async move { caller.status(&kit, &[]).await }
    });
    let mut counts = ReplyCounts::default();
    for reply in join_all(requests).await {
        counts.add(reply?);
    }
    Ok(counts)
}

async fn set_faults(deployment: &Deployment, faults: &Value) -> Result<()> {
    let admin = deployment.platform_admin();
    let answer = admin
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    expect_that!(answer.status.is_success(), eq(true), "{answer:?}");
    Ok(())
}

/// Repeats a payment until it is accepted, as an operator does who got no answer.
async fn top_up_until_accepted(
    deployment: &Deployment,
    account: &str,
    id: &str,
    tokens: u64,
) -> Result<()> {
    let paid = wait_until("the payment is accepted", || async {
        deployment.top_up(account, id, tokens).await.is_ok()
    });
    Ok(paid.await?)
}

/// Waits until no tokens of a budget are granted, and returns its record.
async fn wait_returned(deployment: &Deployment, budget: &str) -> Result<Record> {
    wait_until("all grants are returned", || async {
        let record = support::record(deployment, budget).await;
        record.is_ok_and(|record| record.granted().is_zero())
    })
    .await?;
    Ok(support::record(deployment, budget).await?)
}

/// Waits until a budget has no grants of the VM's incarnations with a number less than `below`.
async fn wait_reclaimed(deployment: &Deployment, budget: &str, vm: &str, below: u64) -> Result<()> {
    let waited = wait_until("the grant is reclaimed", || async {
        let record = support::record(deployment, budget).await;
        record.is_ok_and(|record| {
            let mut holders = record.grants.keys();
            !holders.any(|holder| holder.vm.as_str() == vm && holder.number < below)
        })
    });
    Ok(waited.await?)
}

/// Kills an entry and waits for it to exit.
async fn kill_entry(deployment: &mut Deployment, index: usize) -> Result<()> {
    deployment.signal_entry(index, Signal::Kill)?;
    wait_exit(deployment.entries[index].process.take().or_fail()?).await?;
    Ok(())
}

/// Waits for a process to exit and returns its exit code.
async fn wait_exit(mut process: Process) -> Result<Option<i32>> {
    let waiting = tokio::task::spawn_blocking(move || process.wait_exit_code());
    Ok(waiting.await??)
}

/// A write that is repeated because its answer was lost or late could be applied twice: tokens
/// would be drawn, billed or paid in twice.
#[gtest]
#[tokio::test]
async fn store_faults_duplicate_no_draw_bill_or_top_up() -> Result<()> {
    let cases = [
        ("out", json!({ "outage": true })),
        ("throttled", json!({ "throttle": true })),
        ("slow", json!({ "slow": 150 })),
        (
            "slower-than-the-timeout",
            json!({ "slow": 900, "lost": "never" }),
        ),
        ("every-write-lost", json!({ "lost": "every_write" })),
        ("every-answer-lost", json!({ "lost": "every_call" })),
        (
            "some-writes-lost",
            json!({ "lost": { "random": { "probability": 0.5, "seed": 7 } } }),
        ),
        (
            "bills-lost",
            json!({ "lost": { "every_nth_write": 2 }, "lost_kind": "budget" }),
        ),
        (
            "segments-lost",
            json!({ "lost": "every_write", "lost_kind": "segment" }),
        ),
    ];
    let accounts = cases.iter().map(|(name, _)| *name).collect();
    let layout = Layout {
        accounts,
        ..Layout::default()
    };
    let layout = layout
        .with_entry_setting("budget", "idle_ms = 300")
        .with_entry_setting("budget", "reserve_ms = 2000")
        .with_entry_setting("platform", "timeout_ms = 500");
    let deployment = Deployment::start(layout).await?;
    for (name, faults) in cases {
        deployment.top_up(name, "first", 60).await?;
        let callers = [deployment.caller(0, name), deployment.caller(1, name)];
        let before = burst(&callers, 4, "before").await?;
        expect_that!(before.served, eq(4), "{name}: {before:?}");
        let monitor = OverspendMonitor::start(&deployment, name)?;
        set_faults(&deployment, &faults).await?;
        let during = burst(&callers, 20, "during").await?;
        expect_that!(during.other, is_empty(), "{name}");
        // The first attempt of the payment is made during the fault and may or may not take effect.
        let tried = deployment.top_up(name, "second", 40).await;
        set_faults(&deployment, &json!({})).await?;
        top_up_until_accepted(&deployment, name, "second", 40).await?;
        let after = burst(&callers, 20, "after").await?;
        expect_that!(after.served, eq(20), "{name}: {after:?}");
        let record = wait_returned(&deployment, name).await?;
        let served = before.served + during.served + after.served;
        support::wait_billed(&deployment, name, served * STATUS_PRICE.get()).await?;
        expect_that!(record.paid.get(), eq(100), "{name}: {tried:?}");
        expect_that!(record.top_ups.len(), eq(2), "{name}");
        monitor.finish(name).await?;
        println!("{name}: {during:?} during the fault");
    }
    Ok(())
}

/// An entry that needs the store for each request would refuse requests that its grant covers. A
/// top-up made during the fault must be usable after it.
#[gtest]
#[tokio::test]
async fn entries_cut_off_from_the_store_spend_their_grants_and_use_a_top_up_later() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("budget", "policy = equal")
        .with_entry_setting("budget", "reserve_ms = 5000")
        .with_entry_setting("budget", "idle_ms = 600000");
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 1_000).await?;
    let callers = [
        deployment.caller(0, "league"),
        deployment.caller(1, "league"),
    ];
    let before = burst(&callers, 2, "before").await?;
    expect_that!(before.served, eq(2), "{before:?}");
    let monitor = OverspendMonitor::start(&deployment, "league")?;
    for handle in &deployment.entries {
        handle.platform_relay.cut();
    }
    let held = burst(&callers, 60, "held").await?;
    expect_that!(held.served, eq(60), "{held:?}");
    deployment.top_up("league", "second", 500).await?;
    let large = callers[0].chat("Ten questions.", 700, false, &[]).await?;
    expect_that!(
        large.kind(),
        some(eq(ErrorKind::BudgetUnreachable)),
        "{large:?}"
    );
    for handle in &deployment.entries {
        handle.platform_relay.heal();
    }
    let large = callers[0].chat("Ten questions.", 700, false, &[]).await?;
    expect_that!(large.complete, eq(true), "{large:?}");
    let billed = large.tokens_used + 62 * STATUS_PRICE.get();
    support::wait_billed(&deployment, "league", billed).await?;
    monitor.finish("cut").await
}

/// Point of a request at which the entry is killed.
#[derive(Debug, Clone, Copy)]
enum KillPoint {
    BeforeTheFirstByte,
    MidStream,
    AfterTheLastByte,
}

/// Waits until the engines have generated at least `least` tokens.
async fn wait_generated(deployment: &Deployment, least: u64) -> Result<()> {
    let waited = wait_until("the engines have generated tokens", || async {
        let mut generated = 0;
        for handle in deployment.targets.iter().take(deployment.layout.engines) {
            let counters = Client::new(handle.target.addr())
                .get("/admin/counters")
                .await;
            let json: Option<Value> = counters.ok().and_then(|answer| answer.json().ok());
            generated += json.map_or(0, |json| json["tokens_generated"].as_u64().unwrap_or(0));
        }
        generated >= least
    });
    Ok(waited.await?)
}

/// An entry is killed before it flushed its receipts. Its request could be billed twice, for the
/// first attempt and for the retry, or not at all, and its grant could stay reserved.
#[gtest]
#[tokio::test]
async fn a_request_of_a_killed_entry_is_billed_once_and_its_grant_is_reclaimed() -> Result<()> {
    for kill_point in [
        KillPoint::BeforeTheFirstByte,
        KillPoint::MidStream,
        KillPoint::AfterTheLastByte,
    ] {
        let layout = Layout::default()
            .with_entry_setting("ledger", "flush_ms = 600000")
            .with_entry_setting("budget", "policy = equal")
            .with_entry_setting("budget", "idle_ms = 600000")
            .with_engine_arg("--token-ms")
            .with_engine_arg("5");
        let mut deployment = Deployment::start(layout).await?;
        deployment.top_up("league", "first", 10_000).await?;
        let monitor = OverspendMonitor::start(&deployment, "league")?;
        let caller = deployment.caller(0, "league");
        let headers = [("idempotency-key", "pack-1")];
        if let KillPoint::BeforeTheFirstByte = kill_point {
            for handle in deployment.targets.iter().take(deployment.layout.engines) {
                let client = Client::new(handle.target.addr());
                let late = json!({ "late": 1_000 });
                client
                    .send_json(Method::PUT, "/admin/faults", &late)
                    .await?;
            }
        }
        let first = tokio::spawn(async move {
            let headers = [("idempotency-key", "pack-1")];
            caller.chat("A pack.", 100, true, &headers).await
        });
        match kill_point {
            KillPoint::BeforeTheFirstByte | KillPoint::MidStream => {
                wait_generated(&deployment, 1).await?
            }
            KillPoint::AfterTheLastByte => {
                let reply = first.await??;
                expect_that!(reply.complete, eq(true), "{reply:?}");
            }
        }
        kill_entry(&mut deployment, 0).await?;
        let retry = deployment.caller(1, "league");
        let reply = retry.chat("A pack.", 100, true, &headers).await?;
        expect_that!(reply.complete, eq(true), "{kill_point:?}: {reply:?}");
        let held = support::record(&deployment, "league").await?;
        expect_that!(held.settled.get(), eq(0), "{kill_point:?}");
        deployment.restart_entry(0).await?;
        deployment.wait_ready().await?;
        support::wait_billed(&deployment, "league", reply.tokens_used).await?;
        wait_reclaimed(&deployment, "league", "vm-entry-0", 2).await?;
        let again = deployment
            .caller(0, "league")
            .chat("A pack.", 100, true, &headers)
            .await?;
        expect_that!(again.text, eq(&reply.text), "{kill_point:?}");
        deployment.stop().await?;
        let record = support::record(&deployment, "league").await?;
        expect_that!(
            record.settled.get(),
            eq(reply.tokens_used),
            "{kill_point:?}"
        );
        expect_that!(record.granted().get(), eq(0), "{kill_point:?}");
        monitor.finish(&format!("{kill_point:?}")).await?;
    }
    Ok(())
}

/// An entry whose VM is missing from the VM list may only be frozen. When it resumes it could spend
/// the grant that was reclaimed and granted to another entry in the meantime.
#[gtest]
#[tokio::test]
async fn the_grant_of_a_frozen_entry_is_reclaimed_and_it_spends_nothing_once_resumed() -> Result<()>
{
    let layout = Layout::default()
        .with_entry_setting("ledger", "vm_absence_ms = 300")
        .with_entry_setting("budget", "policy = equal")
        .with_entry_setting("budget", "reserve_ms = 5000")
        .with_entry_setting("budget", "idle_ms = 600000");
    let mut deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 1_000).await?;
    let frozen = [deployment.caller(0, "league")];
    let other = [deployment.caller(1, "league")];
    let before = burst(&frozen, 1, "before").await?;
    expect_that!(before.served, eq(1), "{before:?}");
    support::wait_billed(&deployment, "league", 1).await?;
    let monitor = OverspendMonitor::start(&deployment, "league")?;
    deployment.signal_entry(0, Signal::Stop)?;
    deployment.set_vms(&[1]).await?;
    wait_reclaimed(&deployment, "league", "vm-entry-0", 2).await?;

    for n in 0..9 {
        let reply = other[0].book(&format!("kit-{n}"), "kit").await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
    }
    let rest = burst(&other, 120, "rest").await?;
    expect_that!(
        (rest.served, rest.refused_exhausted),
        eq((99, 21)),
        "{rest:?}"
    );
    // The resumed entry does not know yet that its grant was reclaimed. Some of the requests may
    // arrive after it has closed its port.
    deployment.signal_entry(0, Signal::Cont)?;
    let resumed = join_all((0..20).map(|n| {
        let caller = frozen[0].clone();
        async move { caller.status(&format!("thawed-{n}"), &[]).await }
    }));
    let served = resumed.await.into_iter().flatten().filter(|r| r.complete);
    expect_that!(served.count(), eq(0));
    let process = deployment.entries[0].process.take().or_fail()?;
    expect_that!(wait_exit(process).await?, some(eq(1)));
    let paid = 9 * BOOKING_PRICE.get() + 100 * STATUS_PRICE.get();
    support::wait_billed(&deployment, "league", paid).await?;
    expect_that!(support::service_runs(&deployment).await?, eq(109));

    deployment.set_vms(&[0, 1]).await?;
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    let members = cyc_member::list(&deployment.platform_client(), cyc_member::Role::Entry).await;
    let members = members.map_err(|error| Error::Refused(error.to_string()))?;
    let successor = members.iter().find(|m| m.vm.as_str() == "vm-entry-0");
    expect_that!(successor.map(|member| member.number), some(eq(2)));
    deployment.top_up("league", "second", 10).await?;
    let after = burst(&frozen, 5, "after").await?;
    expect_that!(after.served, eq(5), "{after:?}");
    support::wait_billed(&deployment, "league", paid + 5).await?;
    monitor.finish("frozen").await
}

/// When a budget runs low, two entries could both spend the last tokens, or the tokens could remain
/// unused in grants.
#[gtest]
#[tokio::test]
async fn the_last_tokens_of_a_budget_are_spent_once() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("budget", "reserve_ms = 5000")
        .with_entry_setting("budget", "idle_ms = 300");
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 200).await?;
    let callers = [
        deployment.caller(0, "league"),
        deployment.caller(1, "league"),
    ];
    let monitor = OverspendMonitor::start(&deployment, "league")?;
    let counts = burst(&callers, 400, "last").await?;
    expect_that!(counts.other, is_empty());
    expect_that!(counts.served, le(200), "{counts:?}");
    expect_that!(support::service_runs(&deployment).await?, eq(counts.served));
    support::wait_billed(&deployment, "league", counts.served).await?;
    let left = 200 - counts.served;
    let refused = counts.refused_unreachable.min(left);
    println!(
        "served {} of 200 tokens; refused {refused} tokens while the budget was not exhausted",
        counts.served
    );
    let rest = burst(&callers[..1], 200, "rest").await?;
    expect_that!(rest.served, eq(left), "{rest:?}");
    support::wait_billed(&deployment, "league", 200).await?;
    monitor.finish("last tokens").await
}

/// Waits until incarnation `entry` of entry 0 has recorded incarnation `number` of each engine's
/// sidecar as its contact. The entry then has no unresolved work with earlier incarnations.
async fn wait_contacts(deployment: &Deployment, entry: u64, number: u64) -> Result<()> {
    let platform = deployment.platform_client();
    let key = contacts::key(&Incarnation::new("vm-entry-0".parse()?, entry));
    let waited = wait_until("the contacts are recorded", || async {
        let object = platform.get(&key).await.ok().flatten();
        let contacts = object.and_then(|o| serde_json::from_slice::<Contacts>(&o.body).ok());
        contacts.is_some_and(|contacts| {
            let engines = contacts.sidecars.iter();
            let engines = engines.filter(|(target, _)| target.as_str().starts_with("engine"));
            let current = engines.filter(|(_, sidecar)| sidecar.number == number);
            current.count() == deployment.layout.engines
        })
    });
    Ok(waited.await?)
}

/// Kills the sidecars of all engines and waits for them to exit.
async fn kill_engine_sidecars(deployment: &mut Deployment) -> Result<()> {
    for index in 0..deployment.layout.engines {
        deployment.signal_sidecar(index, Signal::Kill)?;
        wait_exit(deployment.targets[index].sidecar.take().or_fail()?).await?;
    }
    Ok(())
}

/// If an entry and a sidecar are killed during the same run, nobody knows what it cost. Returning
/// the grant to the budget could make the run free, and settling it could bill too much.
#[gtest]
#[tokio::test]
async fn tokens_known_only_to_a_killed_entry_and_sidecar_are_listed_as_unresolved() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("budget", "policy = equal")
        .with_entry_setting("budget", "idle_ms = 600000")
        .with_engine_arg("--token-ms")
        .with_engine_arg("5");
    let mut deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 10_000).await?;
    deployment.top_up("club", "first", 10_000).await?;
    let monitor = OverspendMonitor::start(&deployment, "league")?;

    // At first only the sidecars are killed: the entry records their successors, so its whole grant
    // can be reclaimed after it is killed too.
    let caller = deployment.caller(0, "club");
    let reply = caller.chat("A pack.", 20, true, &[]).await?;
    support::wait_billed(&deployment, "club", reply.tokens_used).await?;
    kill_engine_sidecars(&mut deployment).await?;
    for index in 0..deployment.layout.engines {
        deployment.restart_sidecar(index).await?;
    }
    wait_contacts(&deployment, 1, 2).await?;
    kill_entry(&mut deployment, 0).await?;
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    wait_reclaimed(&deployment, "club", "vm-entry-0", 2).await?;
    let club = support::record(&deployment, "club").await?;
    expect_that!(club.settled.get(), eq(reply.tokens_used));

    // The entry and the sidecars are killed during a run.
    let caller = deployment.caller(0, "league");
    let running = tokio::spawn(async move { caller.chat("A pack.", 400, true, &[]).await });
    wait_until("the entry holds tokens", || async {
        let record = support::record(&deployment, "league").await;
        record.is_ok_and(|record| !record.granted().is_zero())
    })
    .await?;
    wait_generated(&deployment, 40).await?;
    kill_entry(&mut deployment, 0).await?;
    kill_engine_sidecars(&mut deployment).await?;
    running.await?.ok();
    let held = support::record(&deployment, "league").await?.granted();
    for index in 0..deployment.layout.engines {
        deployment.restart_sidecar(index).await?;
    }
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    wait_until("the tokens are listed as unresolved", || async {
        let report = support::spend(&deployment).await.ok();
        let account = report.and_then(|r| r.accounts.get(&"league".parse().ok()?).cloned());
        account.is_some_and(|account| account.balance.unresolved == held)
    })
    .await?;
    wait_contacts(&deployment, 3, 3).await?;
    // The tokens stay unresolved while reclaiming continues, as the reclaim of another grant shows.
    let other = deployment.caller(0, "club");
    expect_that!(burst(&[other], 1, "club").await?.served, eq(1));
    kill_entry(&mut deployment, 0).await?;
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    wait_reclaimed(&deployment, "club", "vm-entry-0", 4).await?;
    let record = support::record(&deployment, "league").await?;
    expect_that!(record.granted(), eq(held));
    expect_that!(record.settled.get(), eq(0));
    monitor.finish("both killed").await
}

/// Waits until an entry has recorded the sidecars of all targets as contacts, so that it may send
/// them requests.
async fn wait_all_contacts(deployment: &Deployment, vm: &str) -> Result<()> {
    let platform = deployment.platform_client();
    let key = contacts::key(&Incarnation::new(vm.parse()?, 1));
    let waited = wait_until("all contacts are recorded", || async {
        let object = platform.get(&key).await.ok().flatten();
        let contacts = object.and_then(|o| serde_json::from_slice::<Contacts>(&o.body).ok());
        contacts.is_some_and(|contacts| contacts.sidecars.len() == deployment.targets.len())
    });
    Ok(waited.await?)
}

/// During an outage of the store an entry without a grant would refuse requests while its peers
/// hold tokens. Tokens that are lent must not be counted twice or lost.
#[gtest]
#[tokio::test]
async fn an_entry_without_tokens_borrows_while_the_store_is_out_and_repays() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("budget", "policy = equal")
        .with_entry_setting("budget", "reserve_ms = 5000")
        .with_entry_setting("budget", "idle_ms = 600000");
    let mut deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 1_000).await?;
    let lender = [deployment.caller(0, "league")];
    let borrower = [deployment.caller(1, "league")];
    expect_that!(burst(&lender, 1, "before").await?.served, eq(1));
    wait_all_contacts(&deployment, "vm-entry-1").await?;
    let monitor = OverspendMonitor::start(&deployment, "league")?;
    set_faults(&deployment, &json!({ "outage": true })).await?;
    let borrowed = burst(&borrower, 30, "borrowed").await?;
    expect_that!(borrowed.served, eq(30), "{borrowed:?}");
    let both = burst(&[lender[0].clone(), borrower[0].clone()], 40, "both").await?;
    expect_that!(both.served, eq(40), "{both:?}");
    set_faults(&deployment, &json!({})).await?;
    support::wait_billed(&deployment, "league", 71).await?;

    // The borrower stops first: its unused tokens return to the lender and then to the shard.
    deployment.signal_entry(1, Signal::Term)?;
    let process = deployment.entries[1].process.take().or_fail()?;
    expect_that!(wait_exit(process).await?, some(eq(0)));
    deployment.stop().await?;
    let record = support::record(&deployment, "league").await?;
    expect_that!((record.granted().get(), record.free().get()), eq((0, 929)));
    monitor.finish("lending").await
}

/// A loan is void when the lender's grant is reclaimed. A borrower that kept spending it would
/// overspend, and one that drew no grant of its own would refuse requests.
#[gtest]
#[tokio::test]
async fn a_borrower_keeps_serving_after_its_lender_is_fenced() -> Result<()> {
    let layout = Layout::default()
        .with_entry_setting("ledger", "vm_absence_ms = 300")
        .with_entry_setting("budget", "policy = equal")
        .with_entry_setting("budget", "reserve_ms = 5000")
        .with_entry_setting("budget", "idle_ms = 600000");
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "first", 1_000).await?;
    let lender = [deployment.caller(0, "league")];
    let borrower = [deployment.caller(1, "league")];
    expect_that!(burst(&lender, 1, "before").await?.served, eq(1));
    wait_all_contacts(&deployment, "vm-entry-1").await?;
    let monitor = OverspendMonitor::start(&deployment, "league")?;
    set_faults(&deployment, &json!({ "outage": true })).await?;
    let borrowed = burst(&borrower, 30, "borrowed").await?;
    expect_that!(borrowed.served, eq(30), "{borrowed:?}");
    set_faults(&deployment, &json!({})).await?;
    support::wait_billed(&deployment, "league", 31).await?;
    deployment.signal_entry(0, Signal::Stop)?;
    deployment.set_vms(&[1]).await?;
    wait_reclaimed(&deployment, "league", "vm-entry-0", 2).await?;
    // The loan is void now. Requests are paid from the entry's own grant; the first ones are sent
    // one by one.
    for n in 0..5 {
        let reply = borrower[0].status(&format!("single-{n}"), &[]).await?;
        expect_that!(reply.complete, eq(true), "{reply:?}");
    }
    let after = burst(&borrower, 30, "after").await?;
    expect_that!(after.served, eq(30), "{after:?}");
    support::wait_billed(&deployment, "league", 66).await?;
    monitor.finish("lender fenced").await
}
