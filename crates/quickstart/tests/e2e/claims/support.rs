//! What these tests share: faults of targets, counts by key, and the check of what callers are
//! told.

use cyc_quickstart::{
    Deployment, Layout,
    caller::Reply,
    deploy::{TargetSlot, wait_until},
    layout::{DESK, TargetKind, WRITING},
};
use cyc_standin::client::Client;
use cyc_types::{IdempotencyKey, Outcome, RequestId};
use googletest::prelude::{OrFail as _, fail};
use http::Method;
use serde_json::{Value, json};

pub type Result<T> = googletest::Result<T>;

pub const ACCOUNT: &str = "league";

/// Starts a deployment whose account is paid for, with tokens at every entry.
pub async fn start(layout: Layout) -> Result<Deployment> {
    let deployment = Deployment::start(layout).await?;
    deployment.top_up(ACCOUNT, "payment-1", 1_000_000).await?;
    Ok(deployment)
}

/// Returns the layout for bookings: little else.
pub fn desks_only() -> Layout {
    Layout {
        engines: 1,
        ..Layout::default()
    }
}

/// Returns the id that the targets of a kind see for a key.
pub fn request_id(key: &str, kind: TargetKind) -> Result<String> {
    let key: IdempotencyKey = key.parse()?;
    let service = match kind {
        TargetKind::Engine => WRITING,
        TargetKind::Desk => DESK,
    };
    Ok(RequestId::from_key(&ACCOUNT.parse()?, &service.parse()?, &key).to_string())
}

pub fn slots(deployment: &Deployment, kind: TargetKind) -> Vec<usize> {
    let all = deployment.targets.iter().enumerate();
    all.filter(|(_, slot)| slot.kind == kind)
        .map(|(index, _)| index)
        .collect()
}

pub async fn set_faults(slot: &TargetSlot, faults: &Value) -> Result<()> {
    let client = Client::new(slot.target.addr());
    let answer = client
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => fail!("the faults were refused: {}", answer.text),
    }
}

pub async fn set_all(deployment: &Deployment, kind: TargetKind, faults: &Value) -> Result<()> {
    for index in slots(deployment, kind) {
        set_faults(&deployment.targets[index], faults).await?;
    }
    Ok(())
}

pub async fn set_platform(deployment: &Deployment, faults: &Value) -> Result<()> {
    let admin = deployment.platform_admin();
    let answer = admin
        .send_json(Method::PUT, "/admin/faults", faults)
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => fail!("the faults were refused: {}", answer.text),
    }
}

/// Returns the runs of a key by the index of the target.
pub async fn runs_by_target(deployment: &Deployment, key: &str) -> Result<Vec<(usize, u64)>> {
    let mut runs = Vec::new();
    for (index, slot) in deployment.targets.iter().enumerate() {
        let client = Client::new(slot.target.addr());
        let counters: Value = client.get("/admin/counters").await?.json()?;
        let field = match slot.kind {
            TargetKind::Engine => "runs",
            TargetKind::Desk => "by_key",
        };
        let id = request_id(key, slot.kind)?;
        let count = counters[field][&id].as_u64().unwrap_or_default();
        runs.push((index, count));
    }
    Ok(runs)
}

pub async fn runs(deployment: &Deployment, key: &str) -> Result<u64> {
    let all = runs_by_target(deployment, key).await?;
    Ok(all.into_iter().map(|(_, count)| count).sum())
}

/// Waits until a target has started a key, and returns the index of the target.
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

/// Books with a deadline.
pub async fn book(deployment: &Deployment, entry: usize, key: &str, ms: u64) -> Result<Reply> {
    book_body(deployment, entry, (key, "kit-7"), ms).await
}

pub async fn book_body(
    deployment: &Deployment,
    entry: usize,
    (key, kit): (&str, &str),
    ms: u64,
) -> Result<Reply> {
    let body = json!({ "kit": kit }).to_string();
    let path = format!("/v1/services/{DESK}/bookings");
    let ms = ms.to_string();
    let headers = [("idempotency-key", key), ("x-deadline-ms", ms.as_str())];
    let caller = deployment.caller(entry, ACCOUNT);
    let answer = caller.send(Method::POST, &path, &headers, &body).await?;
    let json: Value = serde_json::from_str(&answer.text).unwrap_or(Value::Null);
    let problem = (!answer.status.is_success()).then(|| json.clone());
    Ok(Reply {
        text: answer.text.clone(),
        complete: answer.complete && problem.is_none(),
        problem,
        used: 0,
        answer,
    })
}

/// Books other keys until every desk has run one, so that what was sent to a sidecar before on
/// the same connections has been received.
pub async fn pass_every_desk(deployment: &Deployment, mark: &str) -> Result<()> {
    deployment.wait_ready().await?;
    let desks = slots(deployment, TargetKind::Desk);
    for entry in 0..deployment.entries.len() {
        let mut passed = vec![false; deployment.targets.len()];
        for n in 0..64 {
            let key = format!("{mark}-{entry}-{n}");
            book(deployment, entry, &key, 20_000).await?;
            for (index, count) in runs_by_target(deployment, &key).await? {
                passed[index] |= count > 0;
            }
            if desks.iter().all(|index| passed[*index]) {
                break;
            }
        }
    }
    Ok(())
}

/// Says why a reply is not truthful, given the runs of its key that are known when it came.
pub fn untruthful(reply: &Reply, runs: u64) -> Option<String> {
    if reply.complete {
        return (runs != 1).then(|| format!("an answer with {runs} runs: {reply:?}"));
    }
    match (reply.outcome(), runs) {
        (None, _) => Some(format!("neither an answer nor an outcome: {reply:?}")),
        (Some(Outcome::NotRun), 1..) => Some(format!("not_run with {runs} runs: {reply:?}")),
        (Some(Outcome::Ran), 0) => Some(format!("ran without a run: {reply:?}")),
        (Some(_), 2..) => Some(format!("{runs} runs: {reply:?}")),
        (Some(_), _) => None,
    }
}
