//! The client of the platform's services over HTTP/1.1.

use std::{fmt::Display, net::SocketAddr};

use ::http::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH},
    request::Builder,
};
use async_trait::async_trait;
use bytes::Bytes;
use cyc_types::{ByteSize, Millis, Version};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;

use crate::{
    Body, Change, Error, Kind, MAX_VALUE_SIZE, Object, ObjectKey, Platform, Precondition, Result,
    Vm,
    wire::{ChangeItem, ListItem, PermitReply, PermitRequest},
};

/// The timeout of a call unless [`HttpPlatform::with_timeout`] sets another.
const DEFAULT_TIMEOUT: Millis = Millis::new(2_000);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Millis = Millis::new(30_000);

/// A client of the platform with a connection pool, which clones share.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    timeout: Millis,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response whose body was read completely.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Creation and configuration.
impl HttpPlatform {
    /// Creates a client of the platform at `addr` without connecting to it.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT.duration())
            .build(connector);
        Self {
            addr,
            timeout: DEFAULT_TIMEOUT,
            client,
        }
    }

    /// Sets the timeout of a call, including the time to connect. The timeout of a watch is this
    /// value plus the time that the watch waits for changes.
    pub fn with_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Requests.
impl HttpPlatform {
    fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
    }

    async fn send(&self, req: Builder, body: Bytes, timeout: Millis) -> Result<Response> {
        let req = req.body(Full::new(body)).map_err(malformed)?;
        let exchange = async {
            let response = self.client.request(req).await.map_err(unavailable)?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(unavailable)?.to_bytes();
            Ok(Response {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        tokio::time::timeout(timeout.duration(), exchange)
            .await
            .map_err(|_| Error::Unavailable(format!("timeout after {timeout} ms")))?
    }

    async fn get_path(&self, path: &str, timeout: Millis) -> Result<Response> {
        let req = self.request(Method::GET, path);
        self.send(req, Bytes::new(), timeout).await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str, timeout: Millis) -> Result<T> {
        let response = self.get_path(path, timeout).await?;
        parse(&expect_success(response, ByteSize::ZERO)?.body)
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        let response = self.get_path(&object_path(key), self.timeout).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let response = expect_success(response, ByteSize::ZERO)?;
        Ok(Some(Object {
            key: key.clone(),
            version: parse_etag(&response.headers)?,
            body: response.body,
        }))
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Body,
        precondition: Precondition,
    ) -> Result<Version> {
        let size = ByteSize::new(body.len() as u64);
        if size > MAX_VALUE_SIZE {
            return Err(Error::TooLarge(size));
        }
        let req = self
            .request(Method::PUT, &object_path(key))
            .header(CONTENT_TYPE, "application/json");
        let req = match precondition {
            Precondition::Absent => req.header(IF_NONE_MATCH, "*"),
            Precondition::Version(version) => req.header(IF_MATCH, format_etag(version)),
        };
        let response = self.send(req, body, self.timeout).await?;
        parse_etag(&expect_success(response, size)?.headers)
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        let req = self
            .request(Method::DELETE, &object_path(key))
            .header(IF_MATCH, format_etag(version));
        let response = self.send(req, Bytes::new(), self.timeout).await?;
        expect_success(response, ByteSize::ZERO).map(drop)
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>> {
        let path = format!("/v1/objects/{kind}?prefix={}", percent_encode(prefix));
        let items: Vec<ListItem> = self.get_json(&path, self.timeout).await?;
        let object = |item: ListItem| Object {
            key: ObjectKey::new(kind, item.name),
            version: item.version,
            body: item.body.into(),
        };
        Ok(items.into_iter().map(object).collect())
    }

    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>> {
        let prefix = percent_encode(prefix);
        let path = format!("/v1/watch/{kind}?prefix={prefix}&since={since}&wait_ms={wait}");
        let items: Vec<ChangeItem> = self.get_json(&path, self.timeout + wait).await?;
        let change = |item: ChangeItem| Change {
            key: ObjectKey::new(kind, item.name),
            version: item.version,
            deleted: item.deleted,
        };
        Ok(items.into_iter().map(change).collect())
    }

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        self.get_json("/v1/vms", self.timeout).await
    }

    async fn request_weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>> {
        let body = serde_json::to_vec(&PermitRequest { bytes }).map_err(malformed)?;
        let req = self
            .request(Method::POST, "/v1/weights/permit")
            .header(CONTENT_TYPE, "application/json");
        let response = self.send(req, body.into(), self.timeout).await?;
        let reply: PermitReply = parse(&expect_success(response, ByteSize::ZERO)?.body)?;
        Ok(Some(reply.wait_ms).filter(|wait| !wait.is_zero()))
    }
}

/// Returns the response if its status is a success; otherwise the error for the status, which
/// says whether a write may have taken effect.
fn expect_success(response: Response, sent_size: ByteSize) -> Result<Response> {
    match response.status {
        status if status.is_success() => Ok(response),
        StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge(sent_size)),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled),
        status if status.is_server_error() => Err(Error::Unavailable(status.to_string())),
        status => Err(Error::Malformed(format!("unexpected status {status}"))),
    }
}

fn unavailable(error: impl std::error::Error) -> Error {
    let mut chain = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        chain = format!("{chain}: {error}");
        source = error.source();
    }
    Error::Unavailable(chain)
}

fn malformed(error: impl Display) -> Error {
    Error::Malformed(error.to_string())
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(malformed)
}

fn format_etag(version: Version) -> String {
    format!("\"{version}\"")
}

fn parse_etag(headers: &HeaderMap) -> Result<Version> {
    let text = headers.get(ETAG).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.strip_prefix('"')?.strip_suffix('"')?.parse().ok())
        .ok_or_else(|| malformed(format!("no version in the entity tag {text:?}")))
}

fn object_path(key: &ObjectKey) -> String {
    format!("/v1/objects/{}/{}", key.kind, percent_encode(&key.name))
}

/// Percent-encodes all bytes but letters, digits, `-`, `_`, `.`, `@` and `:`.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.@:".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}
