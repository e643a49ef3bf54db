//! Propagation of the configuration under failures: it reaches every process and never reverts.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use cyc_cli::Exit;
use cyc_config::{Document, HasRevision as _, SubmitError, store};
use cyc_quickstart::{Deployment, Layout, deploy::wait_until};
use cyc_standin::{
    client::Client,
    process::Signal,
    relay::Direction,
    store::{Faults, LostAnswers},
};
use cyc_store::Kind;
use cyc_types::{ErrorKind, Millis, Outcome, Revision};
use googletest::prelude::*;
use http::Method;
use tokio::task::JoinHandle;

/// Rounds of concurrent submissions by two operators.
const ROUNDS: u32 = 5;

/// The document with `share` as the weight of the account `league`.
fn with_share(deployment: &Deployment, share: u32) -> Result<Document> {
    let mut doc = deployment.document()?;
    for account in &mut doc.accounts {
        if account.id.as_str() == "league" {
            account.share = share;
        }
    }
    Ok(doc)
}

async fn submit(deployment: &Deployment, share: u32) -> Result<Revision> {
    let doc = with_share(deployment, share)?;
    let accepted = store::submit(&deployment.platform_client(), &doc, None).await;
    Ok(accepted?)
}

async fn set_faults(deployment: &Deployment, faults: Faults) -> Result<()> {
    let admin = deployment.platform_admin();
    let answer = admin
        .send_json(Method::PUT, "/admin/faults", &faults)
        .await?;
    expect_that!(answer.status.is_success(), eq(true), "{answer:?}");
    Ok(())
}

/// Revision that an entry reports as in force; `None` if it is not ready.
async fn revision_at(addr: SocketAddr) -> Option<u64> {
    let answer = Client::new(addr).get("/readyz").await.ok()?;
    let text = answer.text.strip_prefix("ready revision=")?;
    text.split(' ').next()?.parse().ok()
}

async fn wait_revision(addr: SocketAddr, revision: Revision) -> Result<()> {
    wait_until("the revision is in force", || async {
        revision_at(addr).await == Some(revision.get())
    })
    .await?;
    Ok(())
}

/// Polls the revisions of all entries and records when one decreases.
struct RevisionMonitor {
    stopped: Arc<AtomicBool>,
    regressions: Arc<Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl RevisionMonitor {
    fn start(deployment: &Deployment) -> Self {
        let (stopped, regressions) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let monitor_revision = |addr| {
            tokio::spawn(monitor_revision(
                addr,
                stopped.clone(),
                Arc::clone(&regressions),
            ))
        };
        let tasks = deployment
            .entries
            .iter()
            .map(|handle| monitor_revision(handle.addr));
        Self {
            tasks: tasks.collect(),
            stopped: stopped.clone(),
            regressions: regressions.clone(),
        }
    }

    async fn stop(self) -> Result<()> {
        self.stopped.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await?;
        }
        let regressions = self
            .regressions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        expect_that!(*regressions, is_empty());
        Ok(())
    }
}

async fn monitor_revision(
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    regressions: Arc<Mutex<Vec<String>>>,
) {
    let mut last = 0;
    while !stopped.load(Ordering::SeqCst) {
        if let Some(now) = revision_at(addr).await {
            if now < last {
                let mut regressions = regressions.lock().unwrap_or_else(PoisonError::into_inner);
                regressions.push(format!("{addr}: {now} after {last}"));
            }
            last = now;
        }
        tokio::task::yield_now().await;
    }
}

/// Two operators who change the same revision could overwrite each other's change, or entries could
/// end with different documents.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_submissions_is_accepted_and_in_force_at_all_entries() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    let monitor = RevisionMonitor::start(&deployment);
    let platform = deployment.platform_client();
    for round in 0..ROUNDS {
        let before = deployment.status().await?.accepted;
        let docs = [
            with_share(&deployment, 10 + round)?,
            with_share(&deployment, 100 + round)?,
        ];
        let (first, second) = tokio::join!(
            store::submit(&platform, &docs[0], Some(before)),
            store::submit(&platform, &docs[1], Some(before)),
        );
        let next = Revision::new(before.get() + 1);
        let winner = match (&first, &second) {
            (Ok(revision), Err(SubmitError::Conflict { .. })) if *revision == next => 0,
            (Err(SubmitError::Conflict { .. }), Ok(revision)) if *revision == next => 1,
            _ => return fail!("{first:?} and {second:?}"),
        };
        deployment.wait_in_service().await?;
        for handle in &deployment.entries {
            expect_that!(revision_at(handle.addr).await, some(eq(next.get())));
        }
        let accepted = store::load(&platform, None).await?.or_fail()?;
        expect_that!(accepted.revision(), eq(next));
        let league = accepted.accounts.get(&"league".parse()?).or_fail()?;
        expect_that!(league.share, eq([10, 100][winner] + round));
    }
    monitor.stop().await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_concurrent_submit_commands_give_one_success_and_one_conflict() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    let addr = deployment.platform.addr().to_string();
    let mut files = Vec::new();
    for share in [2, 3] {
        let name = format!("cyclamen-race-{}-{share}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, with_share(&deployment, share)?.to_json())?;
        files.push(path);
    }
    let submit = |n: usize| {
        let file = files[n].display().to_string();
        let args = ["submit", &file, "--platform", &addr, "--expect", "1"];
        cyc_cli::run(args.iter().map(Into::into).collect())
    };
    let (first, second) = tokio::join!(submit(0), submit(1));
    let mut exits = [first.exit, second.exit].map(|exit| format!("{exit:?}"));
    exits.sort();
    expect_that!(
        exits,
        eq(&["Ok", "Refused"].map(String::from)),
        "{first:?} {second:?}"
    );
    let loser = if first.exit == Exit::Ok {
        &second
    } else {
        &first
    };
    expect_that!(
        loser.err,
        contains_substring("conflict: revision 2 is in force")
    );
    for file in files {
        std::fs::remove_file(file)?;
    }
    deployment.wait_in_service().await?;
    Ok(())
}

/// A document that is refused after a part of it was stored would leave a mixed configuration.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_changes_nothing() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    let platform = deployment.platform_client();
    let before = store::load(&platform, None).await?.or_fail()?;
    let mut doc = deployment.document()?;
    doc.services.services.clear();
    let refused = store::submit(&platform, &doc, None).await;
    expect_that!(refused, err(matches_pattern!(SubmitError::Rejected(_))));
    let after = store::load(&platform, None).await?.or_fail()?;
    expect_that!(after, eq(&before));
    for handle in &deployment.entries {
        expect_that!(
            revision_at(handle.addr).await,
            some(eq(before.revision().get()))
        );
    }
    Ok(())
}

/// Faults by which every answer to a configuration call is lost.
fn config_answers_lost() -> Faults {
    Faults {
        lost: LostAnswers::EveryCall,
        lost_kind: Some(Kind::Config),
        ..Faults::default()
    }
}

/// An entry that cannot load the configuration could report ready and route requests without one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restarted_without_a_configuration_is_not_ready() -> Result<()> {
    let mut deployment = Deployment::start(Layout::default()).await?;
    deployment.top_up("league", "payment-1", 10_000).await?;
    let revision = submit(&deployment, 2).await?;
    deployment.wait_in_service().await?;
    set_faults(&deployment, config_answers_lost()).await?;
    deployment.stop_entry(0).await?;
    deployment.restart_entry(0).await?;
    let addr = deployment.entries[0].addr;
    let ready = Client::new(addr).get("/readyz").await?;
    expect_that!(ready.status.as_u16(), eq(503));
    expect_that!(ready.text, eq("no configuration\n"));
    let refused = deployment.caller(0, "league").status("kit-7", &[]).await?;
    expect_that!(refused.kind(), some(eq(ErrorKind::NotConfigured)));
    expect_that!(refused.outcome(), some(eq(Outcome::NotRun)));
    // The other entry keeps its configuration.
    let other = deployment.entries[1].addr;
    expect_that!(revision_at(other).await, some(eq(revision.get())));

    set_faults(&deployment, Faults::default()).await?;
    wait_revision(addr, revision).await?;
    deployment.wait_in_service().await.map_err(Into::into)
}

/// Restarts entry 1 with entry 0 as its seed peer.
async fn restart_with_seed(deployment: &mut Deployment) -> Result<()> {
    let platform = deployment.platform_client();
    let entries = cyc_member::list(&platform, cyc_member::Role::Entry).await?;
    let line = format!("seeds = {}", entries[0].addr);
    deployment.layout.entry_settings.push(("peers", line));
    deployment.stop_entry(1).await?;
    deployment.restart_entry(1).await?;
    Ok(())
}

/// During an outage of the platform a restarted entry would stay out of service although its peers
/// have the configuration.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restarted_without_the_platform_gets_the_configuration_from_a_peer() -> Result<()>
{
    let mut deployment = Deployment::start(Layout::default()).await?;
    let revision = submit(&deployment, 2).await?;
    deployment.wait_in_service().await?;
    set_faults(&deployment, config_answers_lost()).await?;
    restart_with_seed(&mut deployment).await?;
    wait_revision(deployment.entries[1].addr, revision).await
}

/// An entry behind a network partition would keep serving an old revision, or return to it when the
/// partition ends.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_from_the_platform_learns_a_revision_from_its_peer() -> Result<()> {
    let mut deployment = Deployment::start(Layout::default()).await?;
    restart_with_seed(&mut deployment).await?;
    deployment.wait_in_service().await?;
    let monitor = RevisionMonitor::start(&deployment);
    let partitioned = &deployment.entries[1];
    // A network partition: connections stay open, but no data passes.
    partitioned.platform_relay.black_hole();
    let revision = submit(&deployment, 3).await?;
    wait_revision(partitioned.addr, revision).await?;
    partitioned.platform_relay.heal();
    let revision = submit(&deployment, 4).await?;
    wait_revision(partitioned.addr, revision).await?;
    monitor.stop().await
}

/// An answer of the platform that is delayed until a newer revision is in force would put the old
/// revision back in force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn delayed_platform_answers_do_not_revert_the_revision() -> Result<()> {
    let mut deployment = Deployment::start(Layout::default()).await?;
    restart_with_seed(&mut deployment).await?;
    deployment.wait_in_service().await?;
    let monitor = RevisionMonitor::start(&deployment);
    let delayed = &deployment.entries[1];
    // The platform's answer with the first revision arrives after the second is in force.
    delayed.platform_relay.hold(Direction::FromTarget);
    submit(&deployment, 3).await?;
    let second = submit(&deployment, 4).await?;
    wait_revision(delayed.addr, second).await?;
    delayed.platform_relay.heal();
    set_faults(
        &deployment,
        Faults {
            slow: Millis::new(300),
            ..Faults::default()
        },
    )
    .await?;
    let third = submit(&deployment, 5).await?;
    for handle in &deployment.entries {
        wait_revision(handle.addr, third).await?;
    }
    deployment.wait_in_service().await?;
    monitor.stop().await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_gets_the_accepted_configuration() -> Result<()> {
    let mut deployment = Deployment::start(Layout::default()).await?;
    submit(&deployment, 3).await?;
    deployment.wait_in_service().await?;
    deployment.signal_sidecar(0, Signal::Kill)?;
    let killed = deployment.targets[0].sidecar.take();
    drop(killed);
    deployment.restart_sidecar(0).await?;
    deployment.wait_in_service().await?;
    let status = deployment.status().await?;
    expect_that!(status.is_in_force(status.accepted), eq(true), "{status}");
    Ok(())
}

/// A change of the slots that does not reach the running processes would leave a target with more
/// concurrent requests than the document allows.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_to_a_target_stay_within_the_configured_slots() -> Result<()> {
    let layout = Layout {
        engines: 1,
        service_instances: 1,
        entries: 1,
        ..Layout::default()
    };
    let layout = layout.with_engine_arg("--token-ms").with_engine_arg("5");
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "payment-1", 1_000_000).await?;
    let mut doc = deployment.document()?;
    for target in &mut doc.services.targets {
        target.slots.drafting = 1;
    }
    store::submit(&deployment.platform_client(), &doc, None).await?;
    deployment.wait_in_service().await?;
    let caller = deployment.caller(0, "league");
    let drafts = (0..4).map(|n| {
        let caller = caller.clone();
        async move { caller.chat(&format!("Tale {n}."), 20, true, &[]).await }
    });
    let engine = Client::new(deployment.targets[0].target.addr());
    let mut max_running = 0;
    let mut drafts = pin!(futures::future::join_all(drafts));
    let replies = loop {
        tokio::select! {
            replies = &mut drafts => break replies,
            load = engine.get("/v1/load") => {
                let load: serde_json::Value = load?.json()?;
                max_running = max_running.max(load["running"].as_u64().or_fail()?);
            }
        }
    };
    for reply in replies {
        expect_that!(reply?.complete, eq(true));
    }
    expect_that!(max_running, eq(1));
    Ok(())
}

/// An operator who relies on `--wait` would act on a revision that some process does not have yet.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn submit_with_wait_returns_once_the_document_is_in_force() -> Result<()> {
    let deployment = Deployment::start(Layout::default()).await?;
    let name =
        |what: &str| std::env::temp_dir().join(format!("cyclamen-{}-{what}", std::process::id()));
    let (document, key) = (name("wait.json"), name("wait.key"));
    std::fs::write(&document, with_share(&deployment, 7)?.to_json())?;
    std::fs::write(&key, cyc_quickstart::layout::PROCESS_KEY)?;
    let (document, key) = (document.display().to_string(), key.display().to_string());
    let addr = deployment.platform.addr().to_string();
    let args = [
        "submit",
        &document,
        "--platform",
        &addr,
        "--wait",
        "--key-file",
        &key,
    ];
    let out = cyc_cli::run(args.iter().map(Into::into).collect()).await;
    expect_that!(out.exit, eq(Exit::Ok), "{out:?}");
    expect_that!(out.out, eq("revision 2 is in force"));
    // No waiting here: the command must not return before the revision is in force.
    for handle in &deployment.entries {
        expect_that!(revision_at(handle.addr).await, some(eq(2)));
    }
    let status = deployment.status().await?;
    expect_that!(status.is_in_force(Revision::new(2)), eq(true), "{status}");
    let args = ["status", "--platform", &addr, "--key-file", &key];
    let out = cyc_cli::run(args.iter().map(Into::into).collect()).await;
    expect_that!(out.exit, eq(Exit::Ok), "{out:?}");
    for line in [
        "accepted revision 2",
        "entry vm-entry-0@1",
        "sidecar vm-desk-1@1",
    ] {
        expect_that!(out.out, contains_substring(line));
    }
    expect_that!(out.out, not(contains_substring("unreachable")));
    std::fs::remove_file(document)?;
    std::fs::remove_file(key)?;
    Ok(())
}
