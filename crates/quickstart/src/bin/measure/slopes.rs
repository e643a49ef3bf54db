//! Costs of real processes against the numbers of targets, entries and accounts.

use std::time::Duration;

use cyc_quickstart::{Deployment, Error, Layout, deploy::wait_until};
use cyc_standin::{client::Client, store::Counters};

use crate::{
    process::{Usage, usage},
    requests::{Kind, load},
};

/// How long an idle deployment is looked at.
const IDLE: Duration = Duration::from_secs(10);
/// Numbers of plain targets with a sidecar each.
const TARGETS: [usize; 4] = [2, 8, 24, 48];
/// Numbers of entries.
const ENTRIES: [usize; 4] = [1, 2, 4, 8];
/// Numbers of accounts.
const ACCOUNTS: [usize; 4] = [10, 500, 1_500, 5_000];
/// Changes of the configuration that are put in force one after the other.
const CHANGES: usize = 20;
/// Numbers of accounts that spend at the same time.
const SPENDERS: [usize; 3] = [1, 10, 40];
/// Status checks, and tasks that send them.
const LOAD: (usize, usize) = (10_000, 40);
const PAID: u64 = 1_000_000;

/// Prints one table for each slope.
pub async fn measure() -> Result<(), Error> {
    println!("idle for {IDLE:?}; CPU in ms a second; calls at the platform a second");
    println!(
        "| targets | entries | accounts | entry KiB | entry CPU | sidecar KiB | sidecar CPU | calls |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for targets in TARGETS {
        idle(targets, 1, 10).await?;
    }
    for entries in ENTRIES {
        idle(4, entries, 10).await?;
    }
    for accounts in ACCOUNTS {
        idle(2, 1, accounts).await?;
    }
    println!("{} status checks at 1 entry", LOAD.0);
    for spenders in SPENDERS {
        spend(spenders).await?;
    }
    println!("{CHANGES} configuration changes, each in force before the next");
    for accounts in ACCOUNTS {
        change(2, accounts).await?;
    }
    for targets in TARGETS {
        change(targets, 10).await?;
    }
    Ok(())
}

fn names(accounts: usize) -> Vec<&'static str> {
    // The program ends soon after; the names live as long as it does.
    let name = |n| -> &'static str { format!("account-{n}").leak() };
    (0..accounts).map(name).collect()
}

async fn start(targets: usize, entries: usize, accounts: usize) -> Result<Deployment, Error> {
    let layout = Layout {
        engines: 0,
        desks: targets,
        entries,
        accounts: names(accounts),
        ..Layout::default().with_direct()
    };
    Deployment::start(layout).await
}

fn means(deployment: &Deployment) -> (Usage, Usage) {
    let entries = deployment.entries.iter().filter_map(|s| s.process.as_ref());
    let sidecars = deployment.targets.iter().filter_map(|s| s.sidecar.as_ref());
    (
        mean(entries.map(|process| usage(process.id())).collect()),
        mean(sidecars.map(|process| usage(process.id())).collect()),
    )
}

fn mean(all: Vec<Usage>) -> Usage {
    let count = all.len().max(1) as u64;
    Usage {
        rss_kib: all.iter().map(|usage| usage.rss_kib).sum::<u64>() / count,
        // Microseconds would be lost by a mean of milliseconds; sums are compared instead.
        cpu_ms: all.iter().map(|usage| usage.cpu_ms).sum(),
    }
}

async fn counters(deployment: &Deployment) -> Result<Counters, Error> {
    let admin = Client::new(deployment.platform.addr());
    Ok(admin.get("/admin/counters").await?.json()?)
}

fn by_cause(before: &Counters, after: &Counters, seconds: f64) -> String {
    let rows = after.rows.iter().map(|row| {
        let was = before.calls(row.operation, row.kind);
        let kind = row.kind.map_or("", Into::into);
        (
            format!("{} {kind}", row.operation),
            (row.calls - was) as f64 / seconds,
        )
    });
    let text: Vec<String> = rows
        .filter(|(_, rate)| *rate > 0.0)
        .map(|(name, rate)| format!("{} {rate:.1}", name.trim()))
        .collect();
    text.join(", ")
}

async fn idle(targets: usize, entries: usize, accounts: usize) -> Result<(), Error> {
    let deployment = start(targets, entries, accounts).await?;
    let (before, calls) = (means(&deployment), counters(&deployment).await?);
    tokio::time::sleep(IDLE).await;
    let (after, calls_after) = (means(&deployment), counters(&deployment).await?);
    let per_second = |a: Usage, b: Usage, count: usize| {
        (b.cpu_ms - a.cpu_ms) as f64 / IDLE.as_secs_f64() / count as f64
    };
    println!(
        "| {targets} | {entries} | {accounts} | {} | {:.2} | {} | {:.2} | {} |",
        after.0.rss_kib,
        per_second(before.0, after.0, entries),
        after.1.rss_kib,
        per_second(before.1, after.1, targets),
        by_cause(&calls, &calls_after, IDLE.as_secs_f64())
    );
    Ok(())
}

async fn spend(spenders: usize) -> Result<(), Error> {
    let deployment = start(4, 1, spenders).await?;
    for account in &deployment.layout.accounts {
        deployment.top_up(account, "payment-1", PAID).await?;
    }
    let calls = counters(&deployment).await?;
    let started = std::time::Instant::now();
    let addrs = [deployment.entries[0].addr];
    let share = (LOAD.0 / spenders, (LOAD.1 / spenders).max(1));
    let accounts = deployment.layout.accounts.clone();
    let loads = accounts
        .into_iter()
        .map(|account| load(&addrs, account, Kind::Status, share));
    futures::future::try_join_all(loads).await?;
    let seconds = started.elapsed().as_secs_f64();
    let after = counters(&deployment).await?;
    println!(
        "{spenders} spending accounts, {:.0} requests/s: {}",
        LOAD.0 as f64 / seconds,
        by_cause(&calls, &after, seconds)
    );
    Ok(())
}

async fn change(targets: usize, accounts: usize) -> Result<(), Error> {
    let deployment = start(targets, 1, accounts).await?;
    let before = means(&deployment);
    let calls = counters(&deployment).await?;
    let started = std::time::Instant::now();
    let client = Client::new(deployment.entries[0].addr);
    for _ in 0..CHANGES {
        let wanted = format!("ready revision={} ", deployment.submit().await?);
        wait_until("the change is in force", || async {
            let ready = client.get("/readyz").await;
            ready.is_ok_and(|answer| answer.text.starts_with(&wanted))
        })
        .await?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = means(&deployment);
    println!(
        "{targets} targets, {accounts} accounts: {:.1} ms CPU of the entry, {:.1} ms of each \
         sidecar and {:.0} ms until in force, a change; calls a change: {}",
        (after.0.cpu_ms - before.0.cpu_ms) as f64 / CHANGES as f64,
        (after.1.cpu_ms - before.1.cpu_ms) as f64 / CHANGES as f64 / targets as f64,
        seconds * 1_000.0 / CHANGES as f64,
        by_cause(&calls, &counters(&deployment).await?, CHANGES as f64)
    );
    Ok(())
}
