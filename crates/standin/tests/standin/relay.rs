//! The relay: cuts, one-way silence and late answers.

use cyc_standin::{
    client::Client,
    relay::{Direction, TcpRelay},
    serve::Server,
    service::{Answer, Service, router},
};
use googletest::prelude::*;
use tokio::task::JoinHandle;

/// Direct round trips during which held bytes must not arrive.
const OTHERS: u64 = 50;

struct Bench {
    service: Service,
    direct: Client,
    relay: TcpRelay,
    relayed: Client,
    _server: Server,
}

async fn bench() -> std::io::Result<Bench> {
    let service = Service::new("desk");
    let server = Server::start(router(service.clone())).await?;
    let relay = TcpRelay::start(server.addr()).await?;
    Ok(Bench {
        service,
        direct: Client::new(server.addr()),
        relayed: Client::new(relay.addr()),
        relay,
        _server: server,
    })
}

impl Bench {
    /// Serves others directly, one after the other, and returns how often the relayed path has
    /// run. A relayed request or answer that is not held back arrives meanwhile.
    async fn serve_others(&self) -> Result<u64> {
        for _ in 0..OTHERS {
            self.direct.get("/others").await?;
        }
        let counters = self.service.counters();
        Ok(counters.by_path.get("/kits").copied().unwrap_or_default())
    }

    /// Sends a request through the relay; the number of its run if an answer comes.
    fn spawn(&self) -> JoinHandle<Option<u64>> {
        let client = self.relayed.clone();
        tokio::spawn(async move {
            let answer = client.get("/kits").await.ok()?;
            Some(answer.json::<Answer>().ok()?.run)
        })
    }

    async fn until_runs(&self, runs: u64) {
        while self.service.counters().runs < runs {
            tokio::task::yield_now().await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_cut_relay_refuses_until_it_is_healed() -> Result<()> {
    let bench = bench().await?;
    for round in 1..=3 {
        expect_that!(bench.spawn().await?, some(eq(round)));
        bench.relay.cut();
        expect_that!(bench.spawn().await?, none());
        expect_that!(bench.spawn().await?, none());
        bench.relay.heal();
    }
    expect_that!(bench.service.counters().runs, eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_answer_that_is_held_back_arrives_late() -> Result<()> {
    let bench = bench().await?;
    bench.relay.hold(Direction::FromTarget);
    let late = bench.spawn();
    bench.until_runs(1).await;
    expect_that!(bench.serve_others().await?, eq(1));
    expect_that!(late.is_finished(), eq(false));
    bench.relay.heal();
    expect_that!(late.await?, some(eq(1)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_request_that_is_held_back_runs_late() -> Result<()> {
    for connected in [false, true] {
        let bench = bench().await?;
        if connected {
            bench.spawn().await?;
        }
        let before = u64::from(connected);
        bench.relay.black_hole();
        let late = bench.spawn();
        expect_that!(bench.serve_others().await?, eq(before));
        expect_that!(late.is_finished(), eq(false));
        bench.relay.heal();
        expect_that!(late.await?, some(eq(before + OTHERS + 1)));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_reset_loses_the_answer_after_the_effect() -> Result<()> {
    let bench = bench().await?;
    bench.relay.hold(Direction::FromTarget);
    let lost = bench.spawn();
    bench.until_runs(1).await;
    bench.relay.reset();
    expect_that!(lost.await?, none());
    bench.relay.heal();
    expect_that!(bench.spawn().await?, some(eq(2)));
    Ok(())
}
