//! An RPC connection to another process that reconnects after a failure.

use std::{fmt, net::SocketAddr, sync::Arc};

use cyc_types::{Millis, ProcessKey};
use jsonrpsee::{
    core::client::Error as ClientError,
    ws_client::{HeaderMap, HeaderValue, PingConfig, WsClient, WsClientBuilder},
};
use tokio::sync::Mutex;

/// Messages buffered for one subscription; the client closes a subscription that exceeds this.
const SUBSCRIPTION_BUFFER: usize = 4_096;
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 8_192;
/// Interval between WebSocket pings, which detect connections that broke without being closed.
const PING_INTERVAL: Millis = Millis::new(2_000);

/// Why a call returned no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be made, or the shared key was rejected; the call was not sent.
    NotSent(String),
    /// The call was sent but no reply arrived; it may have taken effect.
    NoAnswer(String),
    /// The other process answered the call with an RPC error.
    Refused(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<ClientError> for LinkError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Call(object) => Self::Refused(object.to_string()),
            other => Self::NoAnswer(other.to_string()),
        }
    }
}

/// A connection to one process, opened by the first call and reopened after it broke.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    key: ProcessKey,
    connect_timeout: Millis,
    call_timeout: Millis,
    client: Mutex<Option<Arc<WsClient>>>,
}

impl Link {
    /// Creates a link to `addr` without connecting. `key` is the key shared by all processes.
    pub fn new(addr: SocketAddr, key: ProcessKey) -> Self {
        Self {
            addr,
            key,
            connect_timeout: Millis::SECOND,
            call_timeout: Millis::MINUTE,
            client: Mutex::new(None),
        }
    }

    /// Sets the time limit for connecting. The default is one second.
    pub fn with_connect_timeout(mut self, timeout: Millis) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the time limit for the reply to a call. The default is one minute.
    pub fn with_call_timeout(mut self, timeout: Millis) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Returns the address of the other process.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a connected client; connects first if there is none.
    ///
    /// # Errors
    /// [`LinkError::NotSent`] if no connection could be made within the time limit.
    pub async fn client(&self) -> Result<Arc<WsClient>, LinkError> {
        let mut current = self.client.lock().await;
        if let Some(client) = current.as_ref().filter(|client| client.is_connected()) {
            return Ok(client.clone());
        }
        let client = Arc::new(self.connect().await?);
        *current = Some(client.clone());
        Ok(client)
    }

    async fn connect(&self) -> Result<WsClient, LinkError> {
        let not_sent = |why: String| LinkError::NotSent(format!("{}: {why}", self.addr));
        let mut headers = HeaderMap::new();
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key.expose()))
            .map_err(|e| not_sent(e.to_string()))?;
        headers.insert("authorization", bearer);
        let ping = PingConfig::new().ping_interval(PING_INTERVAL.duration());
        let connection = WsClientBuilder::default()
            .set_headers(headers)
            .connection_timeout(self.connect_timeout.duration())
            .request_timeout(self.call_timeout.duration())
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .max_buffer_capacity_per_subscription(SUBSCRIPTION_BUFFER)
            .enable_ws_ping(ping)
            .build(format!("ws://{}", self.addr));
        match tokio::time::timeout(self.connect_timeout.duration(), connection).await {
            Ok(Ok(client)) => Ok(client),
            Ok(Err(error)) => Err(not_sent(error.to_string())),
            Err(_) => Err(not_sent("timeout".into())),
        }
    }
}
