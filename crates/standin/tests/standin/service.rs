//! Contract of the plain service: runs are counted even if their answer is lost.

use cyc_standin::{
    client::Client,
    serve::Server,
    service::{Answer, Counters, Faults, Service, router},
};
use cyc_types::Millis;
use googletest::prelude::*;
use http::Method;
use serde_json::json;

async fn fixture() -> std::io::Result<(Service, Client, Server)> {
    let service = Service::new("hire-desk");
    let server = Server::start(router(service.clone())).await?;
    Ok((service, Client::new(server.addr()), server))
}

#[gtest]
#[tokio::test]
async fn answers_echo_the_request_and_number_the_run() -> Result<()> {
    let (_, client, _server) = fixture().await?;
    for (run, method, path, body) in [
        (1, Method::POST, "/kits/7/book?day=3", "{\"club\":1}"),
        (2, Method::GET, "/kits", ""),
        (3, Method::DELETE, "/", ""),
    ] {
        let answer = client.send(method.clone(), path, &[], body.into()).await?;
        let want = Answer {
            service: "hire-desk".into(),
            method: method.as_str().into(),
            path: path.into(),
            run,
            echo: body.into(),
        };
        expect_that!(answer.json::<Answer>()?, eq(&want));
    }
    Ok(())
}

/// Expected result of each fault: the status, `None` if the answer is incomplete, and the runs.
#[gtest]
#[tokio::test]
async fn faults_have_the_expected_status_and_counts() -> Result<()> {
    let slow = Millis::new(1);
    let other = "/other".into();
    let table = [
        (Faults::default(), Some(200), 1),
        (
            Faults {
                slow,
                ..Faults::default()
            },
            Some(200),
            1,
        ),
        (
            Faults {
                status: Some(502),
                ..Faults::default()
            },
            Some(502),
            0,
        ),
        (
            Faults {
                break_answer: true,
                ..Faults::default()
            },
            None,
            1,
        ),
        (
            Faults {
                break_answer: true,
                times: Some(0),
                ..Faults::default()
            },
            Some(200),
            1,
        ),
        (
            Faults {
                status: Some(500),
                path_prefix: other,
                ..Faults::default()
            },
            Some(200),
            1,
        ),
    ];
    for (faults, status, runs) in table {
        let (service, client, _server) = fixture().await?;
        service.set_faults(faults.clone());
        let headers = [("idempotency-key", "k-1")];
        let answer = client
            .send(Method::POST, "/book?x=1", &headers, "{}".into())
            .await;
        let complete_answer = answer.ok().filter(|answer| answer.complete);
        let got = complete_answer.map(|answer| answer.status.as_u16());
        expect_that!(got, eq(status), "{faults:?}");
        let counters: Counters = client.get("/admin/counters").await?.json()?;
        expect_that!(counters.arrived, eq(1), "{faults:?}");
        expect_that!(counters.runs, eq(runs), "{faults:?}");
        expect_that!(counters.runs_of("k-1"), eq(runs), "{faults:?}");
        let by_path = counters.by_path.get("/book").copied().unwrap_or_default();
        expect_that!(by_path, eq(runs), "{faults:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_hanging_service_runs_the_request() -> Result<()> {
    let (service, client, _server) = fixture().await?;
    let faults = json!({"hang": true, "times": 1});
    client
        .send_json(Method::PUT, "/admin/faults", &faults)
        .await?;
    let hanging = {
        let client = client.clone();
        tokio::spawn(async move { client.get("/kits").await.is_ok() })
    };
    while service.counters().runs == 0 {
        tokio::task::yield_now().await;
    }
    expect_that!(hanging.is_finished(), eq(false));
    expect_that!(client.get("/kits").await?.json::<Answer>()?.run, eq(2));
    hanging.abort();
    Ok(())
}
