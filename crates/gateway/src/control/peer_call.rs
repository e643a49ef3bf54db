//! Calls between entries: JSON over HTTP, authenticated by the key in the receiver's heartbeat.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cyc_types::Millis;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use tokio::time::timeout;

use super::{
    grants,
    holders::{self, HoldersMessage},
    loans, news,
};
use crate::{
    conn::Pool,
    limit::GrantRequest,
    news::NewsMessage,
    prepaid::{LoanRequest, TokenReturn},
    state::State,
};

/// Maximum size of a message between entries.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Path of loan requests.
pub const LOAN_PATH: &str = "/loan";
/// Path of token returns.
pub const RETURN_PATH: &str = "/give-back";
/// Path of token returns that were sent before without response.
pub const RETURN_AGAIN_PATH: &str = "/give-back-again";
/// Path of requests for grants.
pub const GRANT_PATH: &str = "/grant";
/// Path of what an entry has written about itself in prepaid records.
pub const HOLDERS_PATH: &str = "/holders";
/// Path of news.
pub const NEWS_PATH: &str = "/news";

/// Connections to other entries.
#[derive(Debug, Default)]
pub struct PeerConnections(HashMap<SocketAddr, Rc<Pool>>);

impl PeerConnections {
    fn pool(&mut self, addr: SocketAddr) -> Rc<Pool> {
        let pool = self.0.entry(addr);
        pool.or_insert_with(|| Rc::new(Pool::new(addr))).clone()
    }
}

/// Why a call to another entry failed.
#[derive(Debug)]
pub enum CallError {
    /// The request was not sent.
    Unsent(String),
    /// The other entry refused the request before it had any effect.
    Refused(String),
    /// The other entry may have received the request.
    Unanswered(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsent(why) | Self::Refused(why) | Self::Unanswered(why) => f.write_str(why),
        }
    }
}

/// Calls another entry.
///
/// # Errors
/// Whether the other entry may have received the message.
pub async fn call<P, T: DeserializeOwned>(
    state: &State<P>,
    addr: SocketAddr,
    path: &str,
    message: &impl Serialize,
    limit: Millis,
) -> Result<T, CallError> {
    let pool = state.peer_connections.borrow_mut().pool(addr);
    let sent = exchange(&pool, path, message);
    let reply = timeout(limit.duration(), sent).await;
    reply.unwrap_or_else(|_| Err(CallError::Unanswered("timeout".into())))
}

async fn exchange<T: DeserializeOwned>(
    pool: &Pool,
    path: &str,
    message: &impl Serialize,
) -> Result<T, CallError> {
    let unsent = |error: &dyn std::fmt::Display| CallError::Unsent(error.to_string());
    let unanswered = |error: &dyn std::fmt::Display| CallError::Unanswered(error.to_string());
    let body = serde_json::to_vec(message).map_err(|error| unsent(&error))?;
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, "entry")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| unsent(&error))?;
    let mut conn = match pool.take_idle() {
        Some(conn) => conn,
        None => pool.connect().await.map_err(|error| unsent(&error))?,
    };
    conn.start_request();
    let response = conn.sender.try_send_request(req).await;
    let response = response.map_err(|mut error| match error.take_message() {
        Some(_) => unsent(error.error()),
        None => unanswered(error.error()),
    })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| unanswered(&error))?.to_bytes();
    if head.status != StatusCode::OK {
        return Err(CallError::Refused(head.status.to_string()));
    }
    pool.put_idle(conn, None);
    serde_json::from_slice(&body).map_err(|error| unanswered(&error))
}

/// Handles a call of another entry.
pub async fn handle_peer_call<P>(
    state: &State<P>,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_string();
    let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => return refusal(&path, &error.to_string()),
    };
    match path.as_str() {
        LOAN_PATH => match read(state, &body, |request: &LoanRequest| &request.key) {
            Ok(request) => reply(&loans::lend(state, &request).await),
            Err(error) => refusal(&path, &error),
        },
        RETURN_PATH | RETURN_AGAIN_PATH => {
            match read(state, &body, |token_return: &TokenReturn| &token_return.key) {
                Ok(token_return) if loans::handle_return(state, &token_return) => reply(&()),
                Ok(_) => refusal(&path, "the return is for another incarnation"),
                Err(error) => refusal(&path, &error),
            }
        }
        GRANT_PATH => match read(state, &body, |request: &GrantRequest| &request.key) {
            Ok(request) => reply(&grants::handle_grant(state, &request)),
            Err(error) => refusal(&path, &error),
        },
        HOLDERS_PATH => match read(state, &body, |message: &HoldersMessage| &message.key) {
            Ok(message) => reply(&holders::handle_holders(state, &message)),
            Err(error) => refusal(&path, &error),
        },
        NEWS_PATH => match read(state, &body, |message: &NewsMessage| &message.key) {
            Ok(message) => reply(&news::handle_news(state, message)),
            Err(error) => refusal(&path, &error),
        },
        _ => refusal(&path, "no such path"),
    }
}

/// Decodes a message and checks that its sender knows this entry's key.
fn read<P, T: DeserializeOwned>(
    state: &State<P>,
    body: &[u8],
    key: impl Fn(&T) -> &SmolStr,
) -> Result<T, String> {
    let message: T = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    match state.peers.borrow().accepts(key(&message)) {
        true => Ok(message),
        false => Err("the key is not that of this entry".into()),
    }
}

fn refusal(path: &str, error: &str) -> Response<Full<Bytes>> {
    spdlog::warn!("entry_call_refused", kv: { path = path, error = error });
    let mut response = Response::new(Full::new(Bytes::from(error.to_string())));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

fn reply(message: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(message) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => refusal("", &error.to_string()),
    }
}
