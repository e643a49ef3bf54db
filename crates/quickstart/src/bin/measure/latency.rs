//! The latency that entry and sidecar add to a request.

use cyc_quickstart::{Deployment, Error, Layout};
use cyc_standin::client::Client;

use crate::{
    refused,
    requests::{Kind, straight, through},
};

/// Requests of each kind and way.
const REQUESTS: usize = 4_000;
/// Requests before the first one that counts.
const WARM_UP: usize = 200;
const PAID: u64 = 100_000_000;

/// Prints quantiles of both ways, from one caller that sends one request after the other.
pub async fn measure() -> Result<(), Error> {
    let layout = Layout {
        engines: 1,
        desks: 1,
        entries: 1,
        ..Layout::default().with_direct()
    };
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "payment-1", PAID).await?;
    let caller = deployment.caller(0, "league");
    println!("{REQUESTS} requests of each kind and way, alternating, one at a time; microseconds");
    println!("| request | way | p50 | p99 |\n| --- | --- | --- | --- |");
    for (index, kind) in [Kind::Chat, Kind::Status].into_iter().enumerate() {
        let target = Client::new(deployment.targets[index].target.addr());
        let (mut direct, mut whole) = (Vec::new(), Vec::new());
        for n in 0..REQUESTS + WARM_UP {
            let times = (
                straight(&target, kind, n).await?,
                through(&caller, kind, n).await?,
            );
            if n >= WARM_UP {
                direct.push(times.0);
                whole.push(times.1);
            }
        }
        let (direct, whole) = (quantiles(direct)?, quantiles(whole)?);
        row(kind, "target itself", direct);
        row(kind, "entry and sidecar", whole);
        let added = (
            whole.0.saturating_sub(direct.0),
            whole.1.saturating_sub(direct.1),
        );
        row(kind, "difference of the quantiles", added);
    }
    Ok(())
}

fn row(kind: Kind, way: &str, (p50, p99): (u64, u64)) {
    println!("| {kind} | {way} | {p50} | {p99} |");
}

/// Returns the median and the 99th percentile.
pub fn quantiles(mut times: Vec<u64>) -> Result<(u64, u64), Error> {
    times.sort_unstable();
    let at = |percent: usize| times.get((times.len() * percent / 100).min(times.len().max(1) - 1));
    let both = at(50).zip(at(99));
    both.map(|(p50, p99)| (*p50, *p99))
        .ok_or_else(|| refused("no request was measured"))
}
