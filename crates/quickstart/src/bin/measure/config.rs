//! How fast a configuration and the news of a leaving target spread, and what planned stops cost.

use std::time::{Duration, Instant};

use cyc_config::{Document, store};
use cyc_quickstart::{
    Deployment, Error, Layout, TargetKind,
    deploy::wait_until,
    load::{Load, Tally},
};
use cyc_standin::{client::Client, process::Signal};
use cyc_store::{Vm, VmState};
use http::Method;
use serde_json::Value;

use crate::refused;

/// Submissions that are timed.
const SUBMISSIONS: u32 = 20;
/// Targets that leave, for each way in which the news comes.
const LEAVINGS: usize = 5;
/// Callers of each kind of request.
const CALLERS: usize = 4;
/// Tokens of a draft.
const DRAFT_TOKENS: u64 = 20;
/// Tokens paid into the budget.
const PAID: u64 = 500_000_000;
/// How long a target is watched for new requests after it left.
const WATCH: Duration = Duration::from_secs(4);
/// Time between two looks at a target's counters.
const WATCH_POLL: Duration = Duration::from_millis(2);

/// Measures how fast news spreads.
pub async fn measure() -> Result<(), Error> {
    in_force().await?;
    leaving(News::VmList).await?;
    leaving(News::Signal).await
}

async fn start() -> Result<Deployment, Error> {
    let deployment = Deployment::start(Layout::new_dala()).await?;
    deployment.top_up("league", "payment-1", PAID).await?;
    deployment.wait_settled().await?;
    Ok(deployment)
}

fn load(deployment: &Deployment) -> Load {
    let entries: Vec<_> = deployment.entries.iter().map(|slot| slot.addr).collect();
    Load::start(&entries, "league", CALLERS, DRAFT_TOKENS)
}

fn with_share(deployment: &Deployment, share: u32) -> Result<Document, Error> {
    let mut doc = deployment.document()?;
    for account in &mut doc.accounts {
        account.share = share;
    }
    Ok(doc)
}

fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let ms = |time: Option<&Duration>| time.map_or(0, Duration::as_millis);
    let median = ms(times.get(times.len() / 2));
    let (first, last) = (ms(times.first()), ms(times.last()));
    println!(
        "{what}: n {} min {first} ms median {median} ms max {last} ms",
        times.len()
    );
}

/// Times from the acceptance of a document to the moment when all entries and sidecars are known
/// to have it in force. For a sidecar that is seen with a heartbeat, so it is an upper bound.
async fn in_force() -> Result<(), Error> {
    let deployment = start().await?;
    let load = load(&deployment);
    let platform = deployment.platform_client();
    let mut times = Vec::new();
    for share in 2..2 + SUBMISSIONS {
        let doc = with_share(&deployment, share)?;
        store::submit(&platform, &doc, None)
            .await
            .map_err(refused)?;
        let accepted = Instant::now();
        deployment.wait_settled().await?;
        times.push(accepted.elapsed());
    }
    let tally = load.stop().await;
    print_times("from acceptance to in force everywhere", times);
    print_tally(&tally);
    Ok(())
}

/// How the news of a leaving target comes.
#[derive(Debug, Clone, Copy)]
enum News {
    /// The VM list says so, its sidecar knows nothing.
    VmList,
    /// Its sidecar gets SIGTERM, the VM list says nothing.
    Signal,
}

/// Times from the news that a target is leaving to its last new request.
async fn leaving(news: News) -> Result<(), Error> {
    let deployment = start().await?;
    let load = load(&deployment);
    wait_until("the callers get answers", || async {
        load.tally().total() > 200
    })
    .await?;
    let mut times = Vec::new();
    let mut left = Vec::new();
    for target in 0..LEAVINGS {
        left.push(target);
        let since = Instant::now();
        match news {
            News::VmList => set_leaving(&deployment, &left).await?,
            News::Signal => deployment.signal_sidecar(target, Signal::Term)?,
        }
        times.push(last_new_request(&deployment, target, since).await?);
    }
    let tally = load.stop().await;
    print_times(
        &format!("from leaving ({news:?}) to the last new request"),
        times,
    );
    print_tally(&tally);
    Ok(())
}

async fn set_leaving(deployment: &Deployment, left: &[usize]) -> Result<(), Error> {
    let mut vms = Vec::new();
    for (index, target) in deployment.document()?.services.targets.iter().enumerate() {
        let state = match left.contains(&index) {
            true => VmState::Leaving,
            false => VmState::Live,
        };
        vms.push(Vm {
            id: target.vm.clone(),
            zone: target.zone.clone(),
            ip: target.addr.ip(),
            state,
        });
    }
    let admin = deployment.platform_admin();
    admin.send_json(Method::PUT, "/admin/vms", &vms).await?;
    Ok(())
}

/// Returns when the engine started its last run, after `since`; zero for none.
async fn last_new_request(
    deployment: &Deployment,
    target: usize,
    since: Instant,
) -> Result<Duration, Error> {
    debug_assert_eq!(deployment.targets[target].kind, TargetKind::Engine);
    let client = Client::new(deployment.targets[target].target.addr());
    let mut last = Duration::ZERO;
    let mut before = None;
    while since.elapsed() < WATCH {
        let counters: Value = client.get("/admin/counters").await?.json()?;
        let runs = counters["runs"].as_object().map_or(0, serde_json::Map::len);
        if before.is_some_and(|before| runs > before) {
            last = since.elapsed();
        }
        before = Some(runs);
        tokio::time::sleep(WATCH_POLL).await;
    }
    Ok(last)
}

/// Counts the requests that a restart of every process, one after the other, cuts off.
pub async fn rolling_restart() -> Result<(), Error> {
    let mut deployment = start().await?;
    let load = load(&deployment);
    let since = Instant::now();
    for entry in 0..deployment.entries.len() {
        deployment.stop_entry(entry).await?;
        deployment.restart_entry(entry).await?;
        deployment.wait_settled().await?;
    }
    for target in 0..deployment.targets.len() {
        deployment.stop_sidecar(target).await?;
        deployment.restart_sidecar(target).await?;
        deployment.wait_settled().await?;
    }
    let took = since.elapsed();
    let tally = load.stop().await;
    let (entries, sidecars) = (deployment.entries.len(), deployment.targets.len());
    println!("rolling restart of {entries} entries and {sidecars} sidecars: {took:.1?}");
    print_tally(&tally);
    Ok(())
}

fn print_tally(tally: &Tally) {
    println!(
        "  answered {:?}; refused as not run and tried again {:?}; not connected and tried \
         again {}; cut {}",
        tally.answered,
        tally.refused,
        tally.not_connected,
        tally.cut.len()
    );
    for cut in &tally.cut {
        println!("  cut: {cut}");
    }
}
