//! Handles the calls of entries.

use std::cell::RefCell;

use bytes::Bytes;
use cyc_gateway::port::{Store, StoreError};
use cyc_types::{Millis, Version};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    daemon::Relay,
    feed::{ListChange, ListFeed},
    message::{self, CALL_PATH, Call, ERA_HEADER, MAX_MESSAGE_BYTES, Reply},
};

/// Maximum wait of a watch.
const MAX_WAIT: Millis = Millis::new(1_000);
/// How long an entry waits for the first read of a feed that it has started.
const START_WAIT: Millis = Millis::new(300);

/// Handles one HTTP request of an entry.
pub(crate) async fn handle_request<S: Store>(
    relay: &Relay<S>,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if req.uri().path() != CALL_PATH {
        return refusal(StatusCode::NOT_FOUND, "no such path");
    }
    let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let call = match serde_json::from_slice::<Call>(&body) {
        Ok(call) => call,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let response = handle_call(relay, call).await;
    match serde_json::to_vec(&response) {
        Ok(body) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            if let Some(era) = relay.store.era() {
                let era = HeaderValue::from(era.get());
                response.headers_mut().insert(ERA_HEADER, era);
            }
            response
        }
        Err(error) => refusal(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn refusal(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    spdlog::warn!("call_refused", kv: { error = error });
    let mut response = Response::new(Full::new(Bytes::from(error.to_string())));
    *response.status_mut() = status;
    response
}

async fn handle_call<S: Store>(relay: &Relay<S>, call: Call) -> message::Response {
    if relay.is_stopping.get() {
        return Err(stopping());
    }
    let calls = cyc_obs::names::RELAY_CALLS;
    match call {
        Call::Configuration => {
            relay.count(calls, "config");
            relay.config_demand.record(relay.now());
            wait_for_change(relay, START_WAIT, || config_state(relay, None)).await?;
            let (config, as_of) = relay.config.borrow().newest(relay.now())?;
            Ok(Reply::Configuration(config, as_of))
        }
        Call::NextConfiguration { since, wait } => {
            relay.count(calls, "next_config");
            relay.config_demand.record(relay.now());
            wait_for_change(relay, wait, || config_state(relay, Some(since))).await?;
            let (config, as_of) = relay.config.borrow().since(since, relay.now())?;
            Ok(Reply::Configuration(config, as_of))
        }
        Call::Targets => {
            relay.count(calls, "targets");
            relay.targets_demand.record(relay.now());
            wait_for_change(relay, START_WAIT, || {
                list_state(relay, &relay.targets, None)
            })
            .await?;
            let (list, as_of) = relay.targets.borrow().list(relay.now())?;
            Ok(Reply::Targets(list, as_of))
        }
        Call::NextTargets { since, wait } => {
            relay.count(calls, "next_targets");
            relay.targets_demand.record(relay.now());
            wait_for_change(relay, wait, || {
                list_state(relay, &relay.targets, Some(since))
            })
            .await?;
            let (changes, as_of) = relay.targets.borrow().since(since, relay.now())?;
            Ok(Reply::Targets(changes, as_of))
        }
        Call::Evacuations => {
            relay.count(calls, "evacuations");
            relay.evacuations_demand.record(relay.now());
            let state = || list_state(relay, &relay.evacuations, None);
            wait_for_change(relay, START_WAIT, state).await?;
            let (list, as_of) = relay.evacuations.borrow().list(relay.now())?;
            Ok(Reply::Evacuations(list, as_of))
        }
        Call::NextEvacuations { since, wait } => {
            relay.count(calls, "next_evacuations");
            relay.evacuations_demand.record(relay.now());
            let state = || list_state(relay, &relay.evacuations, Some(since));
            wait_for_change(relay, wait, state).await?;
            let (changes, as_of) = relay.evacuations.borrow().since(since, relay.now())?;
            Ok(Reply::Evacuations(changes, as_of))
        }
        Call::PrepaidRecord(account) => {
            relay.count(calls, "prepaid_record");
            let (version, record) = relay.store.prepaid_record(&account).await?;
            Ok(Reply::PrepaidRecord(version, record))
        }
        Call::WritePrepaidRecord(write) => {
            relay.count(calls, "write_prepaid_record");
            let written = relay.store.write_prepaid_record(&write).await?;
            Ok(Reply::Written(written))
        }
        Call::Heartbeats(freshness) => {
            relay.count(calls, "heartbeats");
            let since = relay.required_heartbeat_time(freshness);
            relay.refresh_heartbeats(freshness, since).await?;
            Ok(Reply::Heartbeats(relay.roster.borrow().all()))
        }
        Call::RecordHeartbeat(heartbeat) => {
            relay.count(calls, "record_heartbeat");
            let now = relay.now();
            if relay.roster.borrow_mut().record(heartbeat, now) {
                relay.entry_joined.notify_one();
            }
            Ok(Reply::HeartbeatRecorded)
        }
    }
}

/// What an entry that asks for a feed has to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedState {
    /// Nothing: there are data for it, or the feed is outdated.
    Settled,
    /// The first read.
    NotRead,
    /// A change. Without one, the feed becomes outdated at the given time.
    NoChange(Millis),
}

fn config_state<S: Store>(relay: &Relay<S>, since: Option<Version>) -> FeedState {
    let feed = relay.config.borrow();
    let Some(stale_at) = feed.stale_at() else {
        return FeedState::NotRead;
    };
    let Some(since) = since else {
        return FeedState::Settled;
    };
    match feed.has_change(since, relay.now()) {
        Ok(false) => FeedState::NoChange(stale_at),
        Ok(true) | Err(_) => FeedState::Settled,
    }
}

fn list_state<S: Store, C: ListChange>(
    relay: &Relay<S>,
    feed: &RefCell<ListFeed<C>>,
    since: Option<Version>,
) -> FeedState {
    let feed = feed.borrow();
    let Some(stale_at) = feed.stale_at() else {
        return FeedState::NotRead;
    };
    let Some(since) = since else {
        return FeedState::Settled;
    };
    match feed.has_changes(since, relay.now()) {
        Ok(false) => FeedState::NoChange(stale_at),
        Ok(true) | Err(_) => FeedState::Settled,
    }
}

/// Waits up to `wait` until the feed is settled.
///
/// # Errors
/// [`StoreError::Unreachable`] if the relay is stopping.
async fn wait_for_change<S: Store>(
    relay: &Relay<S>,
    wait: Millis,
    state: impl Fn() -> FeedState,
) -> Result<(), StoreError> {
    let until = relay.now() + wait.min(MAX_WAIT);
    loop {
        let changed = relay.feeds_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if relay.is_stopping.get() {
            return Err(stopping());
        }
        let wake_at = match state() {
            FeedState::Settled => return Ok(()),
            FeedState::NotRead => until,
            FeedState::NoChange(stale_at) => until.min(stale_at),
        };
        let now = relay.now();
        if now >= until {
            return Ok(());
        }
        // Either way the state is checked again.
        timeout(wake_at.saturating_sub(now).duration(), changed)
            .await
            .ok();
    }
}

fn stopping() -> StoreError {
    StoreError::Unreachable("the relay is stopping".into())
}
