//! A plain service that answers requests to every path and counts their execution.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use axum::{
    Json, Router,
    extract::State,
    response::{IntoResponse, Response},
    routing::get,
};
use bytes::Bytes;
use cyc_types::Millis;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::serve;

/// The header with the idempotency key, by which runs are counted.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The active faults. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of further requests that the faults apply to; `None` means all.
    pub times: Option<u64>,
    /// Restricts the faults to paths that start with this.
    pub path_prefix: SmolStr,
    /// Runs the request and never sends a response.
    pub hang: bool,
    /// Delay between running the request and sending the response.
    pub slow: Millis,
    /// Responds with this status without running the request.
    pub status: Option<u16>,
    /// Runs the request and aborts the connection instead of completing the response.
    pub break_answer: bool,
}

impl Faults {
    /// The faults that apply to a request to `path`; decrements `times` if they do.
    fn consume(&mut self, path: &str) -> Self {
        let exhausted = self.times == Some(0);
        if exhausted || !path.starts_with(self.path_prefix.as_str()) {
            return Self::default();
        }
        if let Some(remaining) = &mut self.times {
            *remaining -= 1;
        }
        self.clone()
    }
}

/// Counters of a service since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests received, whether run or not.
    pub arrived: u64,
    /// Requests run.
    pub runs: u64,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<SmolStr, u64>,
    /// Runs by path, without the query.
    pub by_path: BTreeMap<SmolStr, u64>,
}

impl Counters {
    /// Number of runs with the idempotency key `key`.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or_default()
    }
}

/// The response body of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The name of the service.
    pub service: SmolStr,
    /// The method of the request.
    pub method: SmolStr,
    /// The path and query of the request.
    pub path: String,
    /// The sequence number of the run at this service, from 1.
    pub run: u64,
    /// The body of the request.
    pub echo: String,
}

/// A plain service. Clones share their state.
#[derive(Debug, Clone)]
pub struct Service {
    name: SmolStr,
    state: Arc<Mutex<(Faults, Counters)>>,
}

impl Service {
    /// Creates a service without runs and without faults.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            state: Arc::default(),
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().0 = faults;
    }

    /// The active faults.
    pub fn faults(&self) -> Faults {
        self.state().0.clone()
    }

    /// A snapshot of the counters.
    pub fn counters(&self) -> Counters {
        self.state().1.clone()
    }

    fn state(&self) -> MutexGuard<'_, (Faults, Counters)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request and returns its faults and its run number; `None` if it is not run.
    fn record_request(&self, path: &str, key: Option<&str>) -> (Faults, Option<u64>) {
        let mut state = self.state();
        let (faults, counters) = &mut *state;
        let faults = faults.consume(path);
        counters.arrived += 1;
        if faults.status.is_some() {
            return (faults, None);
        }
        counters.runs += 1;
        *counters.by_path.entry(path.into()).or_default() += 1;
        if let Some(key) = key {
            *counters.by_key.entry(key.into()).or_default() += 1;
        }
        (faults, Some(counters.runs))
    }
}

/// The router that serves `service`.
pub fn router(service: Service) -> Router {
    Router::new()
        .route("/admin/counters", get(counters))
        .route("/admin/faults", get(faults).put(set_faults))
        .fallback(run)
        .with_state(service)
}

async fn run(
    State(service): State<Service>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|key| key.to_str().ok());
    let (faults, run) = service.record_request(uri.path(), key);
    let Some(run) = run else {
        let status = faults.status.and_then(|s| StatusCode::from_u16(s).ok());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return (status, "failed, not run").into_response();
    };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(faults.slow.duration()).await;
    if faults.break_answer {
        return serve::aborted_response();
    }
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let answer = Answer {
        service: service.name.clone(),
        method: method.as_str().into(),
        path: path.into(),
        run,
        echo: String::from_utf8_lossy(&body).into_owned(),
    };
    Json(answer).into_response()
}

async fn counters(State(service): State<Service>) -> Json<Counters> {
    Json(service.counters())
}

async fn faults(State(service): State<Service>) -> Json<Faults> {
    Json(service.faults())
}

async fn set_faults(State(service): State<Service>, Json(faults): Json<Faults>) -> Json<Faults> {
    service.set_faults(faults);
    Json(service.faults())
}
