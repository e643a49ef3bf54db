//! Latency that the entry and the sidecar add to a request.

use cyc_quickstart::{Deployment, Error, Layout};
use cyc_standin::client::Client;

use crate::{
    refused,
    requests::{RequestKind, send_through_entry, send_to_target},
};

/// Measured requests of each kind and path.
const REQUESTS: usize = 4_000;
/// Requests of each kind and path before the measured ones.
const WARM_UP_REQUESTS: usize = 200;
const TOP_UP_TOKENS: u64 = 100_000_000;

/// Prints quantiles of both paths. One caller sends the requests one after the other.
pub async fn measure() -> Result<(), Error> {
    let layout = Layout {
        engines: 1,
        service_instances: 1,
        entries: 1,
        ..Layout::default().without_relays()
    };
    let deployment = Deployment::start(layout).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;
    let caller = deployment.caller(0, "league");
    println!("{REQUESTS} requests of each kind and path, alternating, one at a time; microseconds");
    println!("| request | path | p50 | p99 |\n| --- | --- | --- | --- |");
    for (index, kind) in [RequestKind::Chat, RequestKind::Status]
        .into_iter()
        .enumerate()
    {
        let target = Client::new(deployment.targets[index].target.addr());
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for n in 0..REQUESTS + WARM_UP_REQUESTS {
            let latencies_us = (
                send_to_target(&target, kind, n).await?,
                send_through_entry(&caller, kind, n).await?,
            );
            if n >= WARM_UP_REQUESTS {
                direct.push(latencies_us.0);
                routed.push(latencies_us.1);
            }
        }
        let (direct, routed) = (quantiles(direct)?, quantiles(routed)?);
        print_row(kind, "direct to target", direct);
        print_row(kind, "through entry and sidecar", routed);
        let added = (
            routed.0.saturating_sub(direct.0),
            routed.1.saturating_sub(direct.1),
        );
        print_row(kind, "difference of the quantiles", added);
    }
    Ok(())
}

fn print_row(kind: RequestKind, path: &str, (p50, p99): (u64, u64)) {
    println!("| {kind} | {path} | {p50} | {p99} |");
}

/// The median and the 99th percentile.
pub fn quantiles(mut latencies_us: Vec<u64>) -> Result<(u64, u64), Error> {
    latencies_us.sort_unstable();
    let at = |percent: usize| {
        latencies_us.get((latencies_us.len() * percent / 100).min(latencies_us.len().max(1) - 1))
    };
    let both = at(50).zip(at(99));
    both.map(|(p50, p99)| (*p50, *p99))
        .ok_or_else(|| refused("no requests were measured"))
}
