//! Helpers shared by the claim tests: target faults, run counts by idempotency key, and the check
//! of reported outcomes.

use cyc_quickstart::{
    Deployment, Layout,
    caller::Reply,
    deploy::{TargetHandle, wait_until},
    layout::{HIRE_DESK_SERVICE, TargetKind, WRITING_SERVICE},
};
use cyc_standin::client::Client;
use cyc_types::{IdempotencyKey, Outcome, RequestId};
use googletest::prelude::{OrFail as _, fail};
use http::Method;
use serde_json::{Value, json};

pub type Result<T> = googletest::Result<T>;

pub const ACCOUNT: &str = "league";

/// Starts a deployment and pays tokens into the budget of [`ACCOUNT`].
pub async fn start(layout: Layout) -> Result<Deployment> {
    let deployment = Deployment::start(layout).await?;
    deployment.top_up(ACCOUNT, "payment-1", 1_000_000).await?;
    Ok(deployment)
}

/// Layout for booking tests, with a single engine.
pub fn single_engine_layout() -> Layout {
    Layout {
        engines: 1,
        ..Layout::default()
    }
}

/// Request id that the targets of a kind receive for an idempotency key.
pub fn request_id(key: &str, kind: TargetKind) -> Result<String> {
    let key: IdempotencyKey = key.parse()?;
    let service = match kind {
        TargetKind::Engine => WRITING_SERVICE,
        TargetKind::Service => HIRE_DESK_SERVICE,
    };
    Ok(RequestId::from_key(&ACCOUNT.parse()?, &service.parse()?, &key).to_string())
}

pub fn target_indexes(deployment: &Deployment, kind: TargetKind) -> Vec<usize> {
    let all = deployment.targets.iter().enumerate();
    all.filter(|(_, handle)| handle.kind == kind)
        .map(|(index, _)| index)
        .collect()
}

pub async fn set_faults(handle: &TargetHandle, faults: &Value) -> Result<()> {
    let client = Client::new(handle.target.addr());
    let answer = client
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => fail!("setting the faults failed: {}", answer.text),
    }
}

pub async fn set_all_faults(
    deployment: &Deployment,
    kind: TargetKind,
    faults: &Value,
) -> Result<()> {
    for index in target_indexes(deployment, kind) {
        set_faults(&deployment.targets[index], faults).await?;
    }
    Ok(())
}

pub async fn set_platform_faults(deployment: &Deployment, faults: &Value) -> Result<()> {
    let admin = deployment.platform_admin();
    let answer = admin
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => fail!("setting the faults failed: {}", answer.text),
    }
}

/// Runs of an idempotency key, as pairs of target index and count.
pub async fn runs_by_target(deployment: &Deployment, key: &str) -> Result<Vec<(usize, u64)>> {
    let mut runs = Vec::new();
    for (index, handle) in deployment.targets.iter().enumerate() {
        let client = Client::new(handle.target.addr());
        let counters: Value = client.get("/admin/counters").await?.json()?;
        let field = match handle.kind {
            TargetKind::Engine => "runs",
            TargetKind::Service => "by_key",
        };
        let id = request_id(key, handle.kind)?;
        let count = counters[field][&id].as_u64().unwrap_or_default();
        runs.push((index, count));
    }
    Ok(runs)
}

pub async fn runs(deployment: &Deployment, key: &str) -> Result<u64> {
    let all = runs_by_target(deployment, key).await?;
    Ok(all.into_iter().map(|(_, count)| count).sum())
}

/// Waits until a target has started the request with this idempotency key, and returns the target's
/// index.
pub async fn wait_started(deployment: &Deployment, key: &str) -> Result<usize> {
    let found = std::cell::Cell::new(None);
    wait_until("a target runs the request", || async {
        let runs = runs_by_target(deployment, key).await.unwrap_or_default();
        let started = runs.into_iter().find(|(_, count)| *count > 0);
        found.set(started.map(|(index, _)| index));
        found.get().is_some()
    })
    .await?;
    found.get().or_fail()
}

/// Sends a booking with a deadline in milliseconds.
pub async fn book(
    deployment: &Deployment,
    entry: usize,
    key: &str,
    deadline_ms: u64,
) -> Result<Reply> {
    book_body(deployment, entry, (key, "kit-7"), deadline_ms).await
}

pub async fn book_body(
    deployment: &Deployment,
    entry: usize,
    (key, kit): (&str, &str),
    deadline_ms: u64,
) -> Result<Reply> {
    let body = json!({ "kit": kit }).to_string();
    let path = format!("/v1/services/{HIRE_DESK_SERVICE}/bookings");
    let deadline_ms = deadline_ms.to_string();
    let headers = [
        ("idempotency-key", key),
        ("x-deadline-ms", deadline_ms.as_str()),
    ];
    let caller = deployment.caller(entry, ACCOUNT);
    let answer = caller.send(Method::POST, &path, &headers, &body).await?;
    let json: Value = serde_json::from_str(&answer.text).unwrap_or(Value::Null);
    let problem = (!answer.status.is_success()).then(|| json.clone());
    Ok(Reply {
        text: answer.text.clone(),
        complete: answer.complete && problem.is_none(),
        problem,
        tokens_used: 0,
        answer,
    })
}

/// Sends up to 64 bookings with other keys through each entry, until every service instance has run
/// one of them. Data sent earlier on the same connections has then reached the sidecars.
pub async fn reach_every_service_instance(deployment: &Deployment, key_prefix: &str) -> Result<()> {
    deployment.wait_ready().await?;
    let instances = target_indexes(deployment, TargetKind::Service);
    for entry in 0..deployment.entries.len() {
        let mut reached = vec![false; deployment.targets.len()];
        for n in 0..64 {
            let key = format!("{key_prefix}-{entry}-{n}");
            book(deployment, entry, &key, 20_000).await?;
            for (index, count) in runs_by_target(deployment, &key).await? {
                reached[index] |= count > 0;
            }
            if instances.iter().all(|index| reached[*index]) {
                break;
            }
        }
    }
    Ok(())
}

/// Describes how a reply contradicts the number of runs of its key; `None` if it does not.
pub fn outcome_mismatch(reply: &Reply, runs: u64) -> Option<String> {
    if reply.complete {
        return (runs != 1).then(|| format!("complete answer with {runs} runs: {reply:?}"));
    }
    match (reply.outcome(), runs) {
        (None, _) => Some(format!(
            "neither a complete answer nor an outcome: {reply:?}"
        )),
        (Some(Outcome::NotRun), 1..) => {
            Some(format!("outcome not_run with {runs} runs: {reply:?}"))
        }
        (Some(Outcome::Ran), 0) => Some(format!("outcome ran with 0 runs: {reply:?}")),
        (Some(_), 2..) => Some(format!("more than one run ({runs}): {reply:?}")),
        (Some(_), _) => None,
    }
}
