//! Operators' reports and metrics.

use std::{
    process::{Command, Output},
    time::Duration,
};

use cyc_quickstart::{Deployment, Error, Layout, deploy::wait_until};
use cyc_standin::{
    client::Client,
    process::{Signal, program_path},
};
use cyc_types::{ErrorKind, Outcome};
use googletest::prelude::*;
use serde_json::Value;
use tokio::net::UdpSocket;

use super::support;

const ACCOUNT: &str = "league";
/// Time after which waiting for metrics fails.
const METRICS_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs `cyclamen` from another thread: the relays of the deployment run on this one.
async fn cyclamen(deployment: &Deployment, args: &[&str]) -> Result<Output> {
    let mut command = Command::new(program_path("cyclamen")?);
    let addr = deployment.platform.addr().to_string();
    command.args(args).args(["--platform", &addr]);
    Ok(tokio::task::spawn_blocking(move || command.output()).await??)
}

async fn report(deployment: &Deployment, command: &str) -> Result<Value> {
    let output = cyclamen(deployment, &[command, "--json"]).await?;
    expect_that!(output.status.code(), some(eq(0)), "{output:?}");
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Total and good requests of a class over all zones and services.
fn service_level(burn: &Value, class: &str) -> (u64, u64) {
    let rows = burn["rows"].as_array().into_iter().flatten();
    let sums = rows.filter(|row| row["class"] == class && row["zone"].is_null());
    let count = |row: &Value, name: &str| row[name].as_u64().unwrap_or_default();
    sums.map(|row| (count(row, "total"), count(row, "good")))
        .next()
        .unwrap_or_default()
}

async fn wait_service_levels(
    deployment: &Deployment,
    wanted: &[(&str, (u64, u64))],
) -> Result<Value> {
    let last_report = std::cell::RefCell::new(Value::Null);
    let waited = wait_until("the service level counts are reported", || async {
        let burn = report(deployment, "burn").await.unwrap_or(Value::Null);
        *last_report.borrow_mut() = burn;
        let mut classes = wanted.iter();
        classes.all(|(class, wanted)| service_level(&last_report.borrow(), class) == *wanted)
    });
    waited
        .await
        .map_err(|error| Error::Refused(format!("{error}: {}", last_report.borrow())))?;
    Ok(last_report.into_inner())
}

/// Counts that an entry keeps in memory only would be missing from the reports once it is killed.
#[gtest]
#[tokio::test]
async fn reports_include_requests_and_refusals_of_killed_entries() -> Result<()> {
    let layout = Layout {
        engines: 1,
        service_instances: 1,
        entries: 1,
        accounts: vec![ACCOUNT],
        ..Layout::default()
    };
    let mut deployment = Deployment::start(layout).await?;
    deployment.top_up(ACCOUNT, "inv-1", 5_000).await?;
    let caller = deployment.caller(0, ACCOUNT);
    let draft = caller.chat("a round on maps", 20, true, &[]).await?;
    expect_that!(draft.complete, eq(true));
    let kit = caller.status("kit-7", &[]).await?;
    expect_that!(kit.complete, eq(true));
    // Failures caused by the caller count neither as good nor as bad.
    let wrong = caller
        .status("kit-7", &[("x-deadline-ms", "never")])
        .await?;
    expect_that!(wrong.kind(), some(eq(ErrorKind::BadRequest)));
    let large = caller.chat("too much", 900_000, false, &[]).await?;
    expect_that!(large.kind(), some(eq(ErrorKind::BudgetExhausted)));

    // Without its sidecar the service cannot serve a status check, although the budget suffices.
    deployment.signal_sidecar(1, Signal::Kill)?;
    let entry = Client::new(deployment.entries[0].addr);
    wait_until("the entry reports the sidecar as unreachable", || async {
        let ready = entry.get("/readyz").await;
        ready.is_ok_and(|ready| ready.text.contains("sidecars=1"))
    })
    .await?;
    let refused = caller.status("kit-8", &[]).await?;
    expect_that!(refused.outcome(), some(eq(Outcome::NotRun)), "{refused:?}");
    let kind = refused.kind().or_fail()?;

    let wanted = [("status", (2, 1)), ("drafting", (1, 1))];
    let burn = wait_service_levels(&deployment, &wanted).await?;
    let status = &burn["rows"][0];
    expect_that!(status["burn_short"].as_f64(), some(near(5.0, 1e-9)));
    expect_that!(status["budget_left"].as_f64(), some(near(-4.0, 1e-9)));
    let rows = burn["rows"].as_array().or_fail()?;
    let zones = rows.iter().filter(|row| row["zone"] == "almaty-a").count();
    expect_that!(zones, eq(2));

    support::wait_billed(&deployment, ACCOUNT, draft.tokens_used + 1)
        .await
        .ok();
    let settled = support::settled(&deployment, ACCOUNT).await?;
    let spend = report(&deployment, "spend").await?;
    check_spend(&spend, settled, kind)?;

    // The killed entry writes nothing more; what it wrote before stays in the reports.
    deployment.signal_entry(0, Signal::Kill)?;
    let later = report(&deployment, "burn").await?;
    expect_that!(service_level(&later, "status"), eq((2, 1)));
    expect_that!(service_level(&later, "drafting"), eq((1, 1)));
    check_spend(&report(&deployment, "spend").await?, settled, kind)?;

    expect_platform_unavailable(&mut deployment).await
}

fn check_spend(spend: &Value, settled: u64, kind: ErrorKind) -> Result<()> {
    expect_that!(spend["balanced"], eq(true), "{spend}");
    let account = &spend["accounts"][ACCOUNT];
    let balance = &account["balance"];
    expect_that!(balance["paid"], eq(5_000));
    expect_that!(balance["settled"], eq(settled));
    let months: Vec<&Value> = account["months"]
        .as_object()
        .into_iter()
        .flat_map(|months| months.values())
        .collect();
    let billed = months.iter().filter_map(|month| month["billed"].as_u64());
    expect_that!(billed.sum::<u64>(), eq(settled));
    let refused: Vec<&Value> = months
        .iter()
        .filter_map(|month| month["refused"].get(kind.to_string()))
        .collect();
    expect_that!(refused.len(), eq(1), "{spend}");
    expect_that!(refused[0]["requests"], eq(1));
    let exhausted = months
        .iter()
        .any(|month| month["refused"].get("budget_exhausted").is_some());
    expect_that!(exhausted, eq(false));
    Ok(())
}

async fn expect_platform_unavailable(deployment: &mut Deployment) -> Result<()> {
    deployment.platform.signal(Signal::Kill)?;
    deployment.platform.wait()?;
    for command in ["spend", "burn"] {
        let output = cyclamen(deployment, &[command, "--json"]).await?;
        let error = String::from_utf8(output.stderr)?;
        expect_that!(output.status.code(), some(eq(3)), "{error}");
        expect_that!(error, contains_substring("the platform is unavailable"));
        expect_that!(output.stdout, is_empty());
    }
    Ok(())
}

/// Receives datagrams until each string in `wanted` has started a line.
async fn receive_metrics(socket: &UdpSocket, wanted: &[&str]) -> Result<()> {
    let mut missing = wanted.to_vec();
    let mut buf = [0; 2_048];
    let receiving = async {
        while !missing.is_empty() {
            let size = socket.recv(&mut buf).await?;
            let text = String::from_utf8_lossy(&buf[..size]).into_owned();
            missing.retain(|name| !text.lines().any(|line| line.starts_with(name)));
        }
        Ok::<(), std::io::Error>(())
    };
    let received = tokio::time::timeout(METRICS_TIMEOUT, receiving).await;
    expect_that!(missing, is_empty());
    Ok(received??)
}

#[gtest]
#[tokio::test]
async fn metrics_of_requests_and_gauges_are_sent() -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let to = format!("metrics_addr = {}", socket.local_addr()?);
    let layout = Layout {
        engines: 1,
        service_instances: 1,
        entries: 1,
        accounts: vec![ACCOUNT],
        ..Layout::default()
    };
    let deployment = Deployment::start(layout.with_entry_setting("process", to)).await?;
    deployment.top_up(ACCOUNT, "inv-1", 5_000).await?;
    let caller = deployment.caller(0, ACCOUNT);
    let draft = caller.chat("a round on maps", 20, true, &[]).await?;
    expect_that!(draft.complete, eq(true));
    let large = caller.chat("too much", 900_000, false, &[]).await?;
    expect_that!(large.kind(), some(eq(ErrorKind::BudgetExhausted)));
    let wanted = [
        "cyclamenlead.requests.drafting.good:1|c",
        "cyclamenlead.requests.drafting.excluded:1|c",
        "cyclamenlead.refused.budget_exhausted:1|c",
        "cyclamenlead.first_piece.drafting:",
        "cyclamenlead.answer.drafting:",
        "cyclamenlead.in_flight:0|g",
        "cyclamenlead.pool_waiting.status:0|g",
        "cyclamenlead.reservations_waiting:0|g",
        "cyclamenlead.receipts_unflushed:0|g",
        "cyclamenlead.sidecars_reachable:2|g",
        "cyclamenlead.targets_ejected:0|g",
        "cyclamenlead.fenced:0|g",
        "cyclamenlead.config_revision:1|g",
    ];
    receive_metrics(&socket, &wanted).await
}
