//! Memory and CPU time of the entries and sidecars, idle and under load.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cyc_quickstart::{Deployment, Error, Layout};

use crate::{
    latency::quantiles,
    process::{Usage, usage},
    requests::{RequestKind, load},
};

/// Observation time of the idle deployment.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Number of requests of each kind, and of concurrent tasks that send them.
const LOAD: (usize, usize) = (20_000, 32);
const TOP_UP_TOKENS: u64 = 1_000_000_000;

/// Prints the resource use of the entries and sidecars in each phase.
pub async fn measure() -> Result<(), Error> {
    let deployment = Deployment::start(Layout::new_dala().without_relays()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    println!("Dala's size: 12 engines, 3 service instances, 15 sidecars, 2 entries");
    let before = snapshot(&deployment);
    tokio::time::sleep(IDLE_TIME).await;
    print_usage("idle", IDLE_TIME, &before, &snapshot(&deployment));

    let entries: Vec<SocketAddr> = deployment
        .entries
        .iter()
        .map(|handle| handle.addr)
        .collect();
    for kind in [RequestKind::Status, RequestKind::Chat] {
        let before = snapshot(&deployment);
        let started = Instant::now();
        let latencies_us = load(&entries, "league", kind, LOAD).await?;
        let elapsed = started.elapsed();
        let (p50, p99) = quantiles(latencies_us)?;
        let rate = LOAD.0 as f64 / elapsed.as_secs_f64();
        println!(
            "{} requests ({kind}) from {} callers: {rate:.0}/s, p50 {p50} us, p99 {p99} us",
            LOAD.0, LOAD.1
        );
        print_usage(&kind.to_string(), elapsed, &before, &snapshot(&deployment));
    }
    Ok(())
}

type RoleUsage = (&'static str, Usage);

fn snapshot(deployment: &Deployment) -> Vec<RoleUsage> {
    let entries = deployment.entries.iter().filter_map(|s| s.process.as_ref());
    let sidecars = deployment.targets.iter().filter_map(|s| s.sidecar.as_ref());
    let entries = entries.map(|process| ("entry", usage(process.id())));
    entries
        .chain(sidecars.map(|process| ("sidecar", usage(process.id()))))
        .collect()
}

fn print_usage(phase: &str, elapsed: Duration, before: &[RoleUsage], after: &[RoleUsage]) {
    for role in ["entry", "sidecar"] {
        let pairs: Vec<(&Usage, &Usage)> = before
            .iter()
            .zip(after)
            .filter(|((name, _), _)| *name == role)
            .map(|((_, before), (_, after))| (before, after))
            .collect();
        let count = pairs.len().max(1) as f64;
        let cpu: u64 = pairs.iter().map(|(a, b)| b.cpu_ms - a.cpu_ms).sum();
        let largest = pairs.iter().map(|(_, after)| after.rss_kib).max();
        let cpu_percent = cpu as f64 / count / elapsed.as_millis() as f64 * 100.0;
        println!(
            "{phase}: {count} processes ({role}): largest VmRSS {} KiB, mean CPU {cpu_percent:.2}% \
             of a core, total CPU {cpu} ms",
            largest.unwrap_or_default()
        );
    }
}
