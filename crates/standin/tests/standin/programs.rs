//! The three programs as separate processes, controlled by flags, HTTP and signals.

use cyc_standin::{
    client::Client,
    engine::Load,
    process::{Error, Process, Signal},
    service::Answer,
};
use cyc_store::{Error as PlatformError, HttpPlatform, Platform as _};
use googletest::prelude::*;
use http::Method;
use serde_json::json;

const PROGRAMS: [&str; 3] = ["standin-platform", "standin-engine", "standin-service"];

#[gtest]
#[tokio::test]
async fn programs_listen_and_exit_on_sigterm() -> Result<()> {
    for program in PROGRAMS {
        let mut process = Process::start(program, &["--listen", "127.0.0.1:0"])?;
        let counters = Client::new(process.addr()).get("/admin/counters").await?;
        expect_that!(counters.status.as_u16(), eq(200), "{program}");
        process.signal(Signal::Term)?;
        expect_that!(process.wait()?, eq(true), "{program}");
    }
    Ok(())
}

#[gtest]
fn a_first_line_without_an_address_is_an_error() -> Result<()> {
    for program in PROGRAMS {
        for (args, line) in [
            (
                ["--version"],
                format!("{program} {}\n", env!("CARGO_PKG_VERSION")),
            ),
            (["--no-such-flag"], String::new()),
        ] {
            let started = Process::start(program, &args);
            let found = match started {
                Err(Error::UnexpectedFirstLine(found)) => Some(found),
                _ => None,
            };
            expect_that!(found, some(eq(&line)), "{program} {args:?}");
        }
    }
    expect_that!(
        Process::start("no-such-program", &[]),
        err(matches_pattern!(Error::Io(_)))
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn platform_faults_are_set_over_http() -> Result<()> {
    let process = Process::start("standin-platform", &["--weight-rate", "10"])?;
    let (client, platform) = (
        Client::new(process.addr()),
        HttpPlatform::new(process.addr()),
    );
    let vms = json!([{"id": "vm-1", "zone": "z-1", "ip": "127.0.0.1", "state": "leaving"}]);
    client.send_json(Method::PUT, "/admin/vms", &vms).await?;
    expect_that!(serde_json::to_value(platform.list_vms().await?)?, eq(&vms));
    for (faults, succeeds) in [
        (json!({"outage": true}), false),
        (
            json!({"lost": {"random": {"probability": 1.0, "seed": 1}}}),
            true,
        ),
        (json!({"lost": "every_call"}), false),
        (json!({}), true),
    ] {
        client
            .send_json(Method::PUT, "/admin/faults", &faults)
            .await?;
        match platform.list_vms().await {
            Ok(_) => expect_that!(succeeds, eq(true), "{faults}"),
            Err(PlatformError::Unavailable(_)) => expect_that!(succeeds, eq(false), "{faults}"),
            Err(other) => return fail!("{faults}: {other}"),
        }
    }
    let misspelt = json!({"outtage": true});
    let misspelt = client.send_json(Method::PUT, "/admin/faults", &misspelt);
    expect_that!(misspelt.await?.status.is_client_error(), eq(true));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn flags_configure_the_engine() -> Result<()> {
    let args = ["--model", "guide", "--model-version", "7", "--slots", "3"];
    let process = Process::start("standin-engine", &args)?;
    let load: Load = Client::new(process.addr()).get("/v1/load").await?.json()?;
    expect_that!(load.models["guide"], eq("7"));
    expect_that!(load.slots, eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_suspended_process_answers_after_sigcont_and_a_killed_one_fails() -> Result<()> {
    let mut process = Process::start("standin-service", &["--name", "desk"])?;
    let client = Client::new(process.addr());
    process.signal(Signal::Stop)?;
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.get("/kits").await.is_ok() })
    };
    process.signal(Signal::Cont)?;
    expect_that!(waiting.await?, eq(true));
    expect_that!(
        client.get("/kits").await?.json::<Answer>()?.service,
        eq("desk")
    );
    process.signal(Signal::Kill)?;
    expect_that!(process.wait()?, eq(false));
    Ok(())
}
