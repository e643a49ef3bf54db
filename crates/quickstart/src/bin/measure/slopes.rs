//! Resource use of the processes as the numbers of targets, entries and accounts grow.

use std::time::Duration;

use cyc_quickstart::{Deployment, Error, Layout, deploy::wait_until};
use cyc_standin::{client::Client, store::Counters};

use crate::{
    process::{Usage, usage},
    requests::{RequestKind, load},
};

/// Observation time of an idle deployment.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Numbers of instances of the plain service, each with a sidecar.
const TARGETS: [usize; 4] = [2, 8, 24, 48];
/// Numbers of entries.
const ENTRIES: [usize; 4] = [1, 2, 4, 8];
/// Numbers of accounts.
const ACCOUNTS: [usize; 4] = [10, 500, 1_500, 5_000];
/// Number of configuration changes, each submitted when the one before is in force.
const CHANGES: usize = 20;
/// Numbers of accounts that spend concurrently.
const SPENDERS: [usize; 3] = [1, 10, 40];
/// Number of status checks, and of concurrent tasks that send them.
const LOAD: (usize, usize) = (10_000, 40);
const TOP_UP_TOKENS: u64 = 1_000_000;

/// Prints the measurements for each range of sizes.
pub async fn measure() -> Result<(), Error> {
    println!("idle for {IDLE_TIME:?}; CPU in ms per second; platform calls per second");
    println!(
        "| targets | entries | accounts | entry KiB | entry CPU | sidecar KiB | sidecar CPU | calls |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for targets in TARGETS {
        measure_idle(targets, 1, 10).await?;
    }
    for entries in ENTRIES {
        measure_idle(4, entries, 10).await?;
    }
    for accounts in ACCOUNTS {
        measure_idle(2, 1, accounts).await?;
    }
    println!("{} status checks through 1 entry", LOAD.0);
    for spenders in SPENDERS {
        measure_spending(spenders).await?;
    }
    println!("{CHANGES} configuration changes, each in force before the next");
    for accounts in ACCOUNTS {
        measure_change(2, accounts).await?;
    }
    for targets in TARGETS {
        measure_change(targets, 10).await?;
    }
    Ok(())
}

fn account_names(accounts: usize) -> Vec<&'static str> {
    // `Layout` takes static names; leaking them is harmless in a short-lived program.
    let name = |n| -> &'static str { format!("account-{n}").leak() };
    (0..accounts).map(name).collect()
}

async fn start(targets: usize, entries: usize, accounts: usize) -> Result<Deployment, Error> {
    let layout = Layout {
        engines: 0,
        service_instances: targets,
        entries,
        accounts: account_names(accounts),
        ..Layout::default().without_relays()
    };
    Deployment::start(layout).await
}

/// Usage of the entries and of the sidecars.
fn usage_by_role(deployment: &Deployment) -> (Usage, Usage) {
    let entries = deployment.entries.iter().filter_map(|s| s.process.as_ref());
    let sidecars = deployment.targets.iter().filter_map(|s| s.sidecar.as_ref());
    (
        aggregate_usage(entries.map(|process| usage(process.id())).collect()),
        aggregate_usage(sidecars.map(|process| usage(process.id())).collect()),
    )
}

/// Mean memory and total CPU time.
fn aggregate_usage(all: Vec<Usage>) -> Usage {
    let count = all.len().max(1) as u64;
    Usage {
        rss_kib: all.iter().map(|usage| usage.rss_kib).sum::<u64>() / count,
        // A sum, since an integer mean would be rounded to milliseconds. Callers divide.
        cpu_ms: all.iter().map(|usage| usage.cpu_ms).sum(),
    }
}

async fn counters(deployment: &Deployment) -> Result<Counters, Error> {
    let admin = Client::new(deployment.platform.addr());
    Ok(admin.get("/admin/counters").await?.json()?)
}

fn calls_by_operation(before: &Counters, after: &Counters, seconds: f64) -> String {
    let rows = after.rows.iter().map(|row| {
        let calls_before = before.calls(row.operation, row.kind);
        let kind = row.kind.map_or("", Into::into);
        (
            format!("{} {kind}", row.operation),
            (row.calls - calls_before) as f64 / seconds,
        )
    });
    let text: Vec<String> = rows
        .filter(|(_, rate)| *rate > 0.0)
        .map(|(name, rate)| format!("{} {rate:.1}", name.trim()))
        .collect();
    text.join(", ")
}

async fn measure_idle(targets: usize, entries: usize, accounts: usize) -> Result<(), Error> {
    let deployment = start(targets, entries, accounts).await?;
    let (before, calls) = (usage_by_role(&deployment), counters(&deployment).await?);
    tokio::time::sleep(IDLE_TIME).await;
    let (after, calls_after) = (usage_by_role(&deployment), counters(&deployment).await?);
    let per_second = |a: Usage, b: Usage, count: usize| {
        (b.cpu_ms - a.cpu_ms) as f64 / IDLE_TIME.as_secs_f64() / count as f64
    };
    println!(
        "| {targets} | {entries} | {accounts} | {} | {:.2} | {} | {:.2} | {} |",
        after.0.rss_kib,
        per_second(before.0, after.0, entries),
        after.1.rss_kib,
        per_second(before.1, after.1, targets),
        calls_by_operation(&calls, &calls_after, IDLE_TIME.as_secs_f64())
    );
    Ok(())
}

async fn measure_spending(spenders: usize) -> Result<(), Error> {
    let deployment = start(4, 1, spenders).await?;
    for account in &deployment.layout.accounts {
        deployment
            .top_up(account, "payment-1", TOP_UP_TOKENS)
            .await?;
    }
    let calls = counters(&deployment).await?;
    let started = std::time::Instant::now();
    let addrs = [deployment.entries[0].addr];
    let load_per_account = (LOAD.0 / spenders, (LOAD.1 / spenders).max(1));
    let accounts = deployment.layout.accounts.clone();
    let loads = accounts
        .into_iter()
        .map(|account| load(&addrs, account, RequestKind::Status, load_per_account));
    futures::future::try_join_all(loads).await?;
    let seconds = started.elapsed().as_secs_f64();
    let after = counters(&deployment).await?;
    println!(
        "{spenders} spending accounts, {:.0} requests/s; platform calls per second: {}",
        LOAD.0 as f64 / seconds,
        calls_by_operation(&calls, &after, seconds)
    );
    Ok(())
}

async fn measure_change(targets: usize, accounts: usize) -> Result<(), Error> {
    let deployment = start(targets, 1, accounts).await?;
    let before = usage_by_role(&deployment);
    let calls = counters(&deployment).await?;
    let started = std::time::Instant::now();
    let client = Client::new(deployment.entries[0].addr);
    for _ in 0..CHANGES {
        let expected = format!("ready revision={} ", deployment.submit().await?);
        wait_until("the change is in force", || async {
            let ready = client.get("/readyz").await;
            ready.is_ok_and(|answer| answer.text.starts_with(&expected))
        })
        .await?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = usage_by_role(&deployment);
    println!(
        "{targets} targets, {accounts} accounts; per change: {:.1} ms CPU of the entry, {:.1} ms \
         CPU of each sidecar, {:.0} ms until in force; platform calls: {}",
        (after.0.cpu_ms - before.0.cpu_ms) as f64 / CHANGES as f64,
        (after.1.cpu_ms - before.1.cpu_ms) as f64 / CHANGES as f64 / targets as f64,
        seconds * 1_000.0 / CHANGES as f64,
        calls_by_operation(&calls, &counters(&deployment).await?, CHANGES as f64)
    );
    Ok(())
}
