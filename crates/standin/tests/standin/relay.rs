//! The relay: cuts, one-way partitions and delayed answers.

use cyc_standin::{
    client::Client,
    relay::{Direction, TcpRelay},
    serve::Server,
    service::{Answer, Service, router},
};
use googletest::prelude::*;
use tokio::task::JoinHandle;

/// Number of direct round trips during which held data must not arrive.
const DIRECT_REQUESTS: u64 = 50;

struct Fixture {
    service: Service,
    direct: Client,
    relay: TcpRelay,
    relayed: Client,
    _server: Server,
}

async fn fixture() -> std::io::Result<Fixture> {
    let service = Service::new("desk");
    let server = Server::start(router(service.clone())).await?;
    let relay = TcpRelay::start(server.addr()).await?;
    Ok(Fixture {
        service,
        direct: Client::new(server.addr()),
        relayed: Client::new(relay.addr()),
        relay,
        _server: server,
    })
}

impl Fixture {
    /// Sends direct requests sequentially and returns the number of runs of the relayed path. A
    /// relayed request or answer that is not held back would arrive meanwhile.
    async fn send_direct_requests(&self) -> Result<u64> {
        for _ in 0..DIRECT_REQUESTS {
            self.direct.get("/others").await?;
        }
        let counters = self.service.counters();
        Ok(counters.by_path.get("/kits").copied().unwrap_or_default())
    }

    /// Sends a request through the relay; the task returns its run number, or `None` without an
    /// answer.
    fn spawn(&self) -> JoinHandle<Option<u64>> {
        let client = self.relayed.clone();
        tokio::spawn(async move {
            let answer = client.get("/kits").await.ok()?;
            Some(answer.json::<Answer>().ok()?.run)
        })
    }

    async fn wait_for_runs(&self, runs: u64) {
        while self.service.counters().runs < runs {
            tokio::task::yield_now().await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_cut_relay_refuses_until_it_is_healed() -> Result<()> {
    let fixture = fixture().await?;
    for round in 1..=3 {
        expect_that!(fixture.spawn().await?, some(eq(round)));
        fixture.relay.cut();
        expect_that!(fixture.spawn().await?, none());
        expect_that!(fixture.spawn().await?, none());
        fixture.relay.heal();
    }
    expect_that!(fixture.service.counters().runs, eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_held_answer_arrives_after_healing() -> Result<()> {
    let fixture = fixture().await?;
    fixture.relay.hold(Direction::FromTarget);
    let delayed = fixture.spawn();
    fixture.wait_for_runs(1).await;
    expect_that!(fixture.send_direct_requests().await?, eq(1));
    expect_that!(delayed.is_finished(), eq(false));
    fixture.relay.heal();
    expect_that!(delayed.await?, some(eq(1)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_held_request_runs_after_healing() -> Result<()> {
    for connected in [false, true] {
        let fixture = fixture().await?;
        if connected {
            fixture.spawn().await?;
        }
        let before = u64::from(connected);
        fixture.relay.black_hole();
        let delayed = fixture.spawn();
        expect_that!(fixture.send_direct_requests().await?, eq(before));
        expect_that!(delayed.is_finished(), eq(false));
        fixture.relay.heal();
        expect_that!(delayed.await?, some(eq(before + DIRECT_REQUESTS + 1)));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_reset_loses_the_answer_of_a_run_that_took_effect() -> Result<()> {
    let fixture = fixture().await?;
    fixture.relay.hold(Direction::FromTarget);
    let lost = fixture.spawn();
    fixture.wait_for_runs(1).await;
    fixture.relay.reset();
    expect_that!(lost.await?, none());
    fixture.relay.heal();
    expect_that!(fixture.spawn().await?, some(eq(2)));
    Ok(())
}
