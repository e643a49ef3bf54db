//! A small HTTP client for tests that keeps the partial body of an aborted response.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// An error of a request or of decoding its answer.
#[derive(Debug)]
pub enum Error {
    /// The request could not be built.
    Request(http::Error),
    /// No response head was received.
    NoResponse(hyper_util::client::legacy::Error),
    /// The request or the answer could not be converted to or from JSON.
    Json(serde_json::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(e) => write!(f, "cannot build the request: {e}"),
            Self::NoResponse(e) => write!(f, "no response received: {e}"),
            Self::Json(e) => write!(f, "invalid JSON: {e}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Request(error)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

/// A response, with the part of its body that was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The received part of the body; invalid UTF-8 is replaced.
    pub text: String,
    /// False if the connection was aborted within the body.
    pub complete: bool,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// If the body is not the JSON of a `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(serde_json::from_str(&self.text)?)
    }
}

/// A client of a single server.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    client: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of the server at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            addr,
            client: HyperClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// If the request is invalid or no response head is received.
    pub async fn get(&self, path: &str) -> Result<Answer, Error> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends `body` as JSON.
    ///
    /// # Errors
    /// If `body` cannot be serialized or no response head is received.
    pub async fn send_json(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body)?;
        self.send(method, path, &[], body.into()).await
    }

    /// Sends a request with additional headers and reads as much of the response as arrives.
    ///
    /// # Errors
    /// If the request is invalid or no response head is received.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let answer = self.client.request(req.body(Full::new(body))?).await;
        let (head, mut body) = answer.map_err(Error::NoResponse)?.into_parts();
        let mut buf = Vec::new();
        let complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => buf.extend(frame.into_data().unwrap_or_default()),
            }
        };
        Ok(Answer {
            status: head.status,
            text: String::from_utf8_lossy(&buf).into_owned(),
            complete,
        })
    }
}
