//! The entry's side of a store relay.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cyc_gateway::{
    config::Configuration,
    conn::Pool,
    member::Change,
    peers::Heartbeat,
    port::{Freshness, Store, StoreError, Written},
    prepaid::{Record, RecordWrite},
};
use cyc_types::{ClientAccountId, Era, Millis, Version, VmId};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time::timeout;

use crate::message::{
    CALL_PATH, Call, ERA_HEADER, MAX_MESSAGE_BYTES, Reply, Response, decode_response,
};

/// Timeout of a call, in addition to the wait of a watch: the relay's own call to the store, and a
/// round trip to the relay.
const CALL_TIMEOUT: Millis = Millis::new(1_100);
/// The same for a watch, which the relay answers from memory.
const WATCH_TIMEOUT: Millis = Millis::new(400);
/// Timeout of opening a connection to a relay: there are other paths.
const CONNECT_TIMEOUT: Millis = Millis::new(100);
/// Maximum wait of a watch: bounds the time until a relay that does not respond is noticed.
const MAX_WATCH_WAIT: Millis = Millis::new(1_000);

/// A client of the relay at one address.
#[derive(Debug)]
pub struct RelayClient {
    pool: Rc<Pool>,
    /// The newest era of the store that the relay has named.
    era: Cell<Option<Era>>,
}

impl RelayClient {
    /// Creates a client. Connections are opened on the first calls.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            pool: Rc::new(Pool::new(addr)),
            era: Cell::default(),
        }
    }

    /// Takes over the era that a response names.
    fn note_era(&self, headers: &HeaderMap) {
        let value = headers.get(ERA_HEADER).and_then(|era| era.to_str().ok());
        if let Some(era) = value.and_then(|value| value.parse().ok()) {
            self.era.set(self.era.get().max(Some(era)));
        }
    }

    async fn call(&self, call: &Call, limit: Millis) -> Response {
        let exchange = timeout(limit.duration(), self.exchange(call));
        let response = exchange.await;
        response.unwrap_or_else(|_| Err(StoreError::Unanswered("the relay: timeout".into())))
    }

    async fn exchange(&self, call: &Call) -> Response {
        let unsent = |why: &dyn std::fmt::Display| StoreError::Unreachable(relay_error(why));
        let unanswered = |why: &dyn std::fmt::Display| StoreError::Unanswered(relay_error(why));
        let body = serde_json::to_vec(call).map_err(|error| unsent(&error))?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(CALL_PATH)
            .header(header::HOST, "relay")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| unsent(&error))?;
        let mut conn = match self.pool.take_idle() {
            Some(conn) => conn,
            None => {
                let conn = timeout(CONNECT_TIMEOUT.duration(), self.pool.connect()).await;
                let conn = conn.map_err(|error| unsent(&error))?;
                conn.map_err(|error| unsent(&error))?
            }
        };
        conn.start_request();
        let response = conn.sender.try_send_request(req).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => unsent(error.error()),
            None => unanswered(error.error()),
        })?;
        let (head, body) = response.into_parts();
        self.note_era(&head.headers);
        let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
        let body = body.map_err(|error| unanswered(&error))?.to_bytes();
        if head.status != StatusCode::OK {
            // The relay refuses a message that it cannot decode before it makes any call.
            return Err(unsent(&head.status));
        }
        self.pool.put_idle(conn, None);
        let decoded = decode_response(&body);
        decoded.map_err(|error| StoreError::Malformed(relay_error(&error)))?
    }
}

fn relay_error(why: &dyn std::fmt::Display) -> String {
    format!("the relay: {why}")
}

fn unexpected<T>() -> Result<T, StoreError> {
    Err(StoreError::Malformed(relay_error(
        &"a reply to another call",
    )))
}

impl Store for RelayClient {
    fn era(&self) -> Option<Era> {
        self.era.get()
    }

    async fn configuration(&self) -> Result<(Option<Configuration>, Version), StoreError> {
        match self.call(&Call::Configuration, CALL_TIMEOUT).await? {
            Reply::Configuration(config, version) => Ok((config, version)),
            _ => unexpected(),
        }
    }

    async fn next_configuration(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Option<Configuration>, Version), StoreError> {
        let wait = wait.min(MAX_WATCH_WAIT);
        let call = Call::NextConfiguration { since, wait };
        match self.call(&call, wait + WATCH_TIMEOUT).await? {
            Reply::Configuration(config, version) => Ok((config, version)),
            _ => unexpected(),
        }
    }

    async fn targets(&self) -> Result<(Vec<Change>, Version), StoreError> {
        match self.call(&Call::Targets, CALL_TIMEOUT).await? {
            Reply::Targets(list, version) => Ok((list, version)),
            _ => unexpected(),
        }
    }

    async fn next_targets(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<Change>, Version), StoreError> {
        let wait = wait.min(MAX_WATCH_WAIT);
        let call = Call::NextTargets { since, wait };
        match self.call(&call, wait + WATCH_TIMEOUT).await? {
            Reply::Targets(changes, version) => Ok((changes, version)),
            _ => unexpected(),
        }
    }

    async fn evacuations(&self) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        match self.call(&Call::Evacuations, CALL_TIMEOUT).await? {
            Reply::Evacuations(list, version) => Ok((list, version)),
            _ => unexpected(),
        }
    }

    async fn next_evacuations(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        let wait = wait.min(MAX_WATCH_WAIT);
        let call = Call::NextEvacuations { since, wait };
        match self.call(&call, wait + WATCH_TIMEOUT).await? {
            Reply::Evacuations(changes, version) => Ok((changes, version)),
            _ => unexpected(),
        }
    }

    async fn prepaid_record(
        &self,
        account: &ClientAccountId,
    ) -> Result<(Option<Version>, Record), StoreError> {
        let call = Call::PrepaidRecord(account.clone());
        match self.call(&call, CALL_TIMEOUT).await? {
            Reply::PrepaidRecord(version, record) => Ok((version, record)),
            _ => unexpected(),
        }
    }

    async fn write_prepaid_record(&self, write: &RecordWrite) -> Result<Written, StoreError> {
        let call = Call::WritePrepaidRecord(write.clone());
        match self.call(&call, CALL_TIMEOUT).await? {
            Reply::Written(written) => Ok(written),
            _ => unexpected(),
        }
    }

    async fn heartbeats(&self, freshness: Freshness) -> Result<Vec<Heartbeat>, StoreError> {
        let call = Call::Heartbeats(freshness);
        match self.call(&call, CALL_TIMEOUT).await? {
            Reply::Heartbeats(heartbeats) => Ok(heartbeats),
            _ => unexpected(),
        }
    }

    async fn write_heartbeats(
        &self,
        _writer: &VmId,
        heartbeats: &[Heartbeat],
        _is_known: bool,
    ) -> Result<(), StoreError> {
        for heartbeat in heartbeats {
            let call = Call::RecordHeartbeat(heartbeat.clone());
            match self.call(&call, CALL_TIMEOUT).await? {
                Reply::HeartbeatRecorded => {}
                _ => return unexpected(),
            }
        }
        Ok(())
    }
}
