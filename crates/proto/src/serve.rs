//! Serving calls to other processes: websockets only, and only for holders of the shared key.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use cyc_types::ProcessKey;
use jsonrpsee::{
    Methods,
    core::BoxError,
    server::{HttpBody, HttpRequest, HttpResponse, PingConfig, Server, ServerConfig, ServerHandle},
};
use tower::{Layer, Service, ServiceBuilder};

/// The largest message in either direction, in bytes. It holds a body of a few megabytes.
const MAX_MESSAGE_BYTES: u32 = 8 << 20;
/// Connections that one process accepts.
const MAX_CONNECTIONS: u32 = 4_096;
/// Answers that may stream on one connection.
const MAX_SUBSCRIPTIONS: u32 = 8_192;
/// Messages that may wait on one connection before its senders wait.
const MESSAGE_BUFFER: u32 = 4_096;

/// Binds the address of a process. While a predecessor holds it this fails, so that success proves
/// that the predecessor has ended.
///
/// # Errors
/// An I/O error if the address cannot be bound.
pub async fn bind(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    tokio::net::TcpListener::bind(addr).await?.into_std()
}

/// Serves `methods` on a bound listener and returns a handle that stops the server.
///
/// # Errors
/// An I/O error if the listener cannot be used.
pub fn serve(
    listener: std::net::TcpListener,
    key: &ProcessKey,
    methods: impl Into<Methods>,
) -> std::io::Result<ServerHandle> {
    let cfg = ServerConfig::builder()
        .ws_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
        .set_message_buffer_capacity(MESSAGE_BUFFER)
        .enable_ws_ping(PingConfig::new())
        .set_tcp_no_delay(true)
        .build();
    let access = ServiceBuilder::new().layer(AccessLayer::new(key.expose()));
    let server = Server::builder()
        .set_config(cfg)
        .set_http_middleware(access)
        .build_from_tcp(listener)?;
    Ok(server.start(methods))
}

/// Refuses connections that do not carry the shared key, with status 401.
#[derive(Debug, Clone)]
pub struct AccessLayer {
    bearer: Arc<str>,
}

impl AccessLayer {
    /// Creates the layer for the shared key.
    pub fn new(key: &str) -> Self {
        Self {
            bearer: format!("Bearer {key}").into(),
        }
    }
}

impl<S> Layer<S> for AccessLayer {
    type Service = Access<S>;

    fn layer(&self, inner: S) -> Self::Service {
        Access {
            inner,
            bearer: self.bearer.clone(),
        }
    }
}

/// The service that [`AccessLayer`] makes.
#[derive(Debug, Clone)]
pub struct Access<S> {
    inner: S,
    bearer: Arc<str>,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

impl<S, B> Service<HttpRequest<B>> for Access<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
    S::Error: Into<BoxError> + 'static,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, req: HttpRequest<B>) -> Self::Future {
        if self.allows(&req) {
            let answer = self.inner.call(req);
            return Box::pin(async move { answer.await.map_err(Into::into) });
        }
        Box::pin(async {
            let mut denied = HttpResponse::new(HttpBody::from("the shared key is wrong\n"));
            *denied.status_mut() = http::StatusCode::UNAUTHORIZED;
            Ok(denied)
        })
    }
}

impl<S> Access<S> {
    fn allows<B>(&self, req: &HttpRequest<B>) -> bool {
        let given = req
            .headers()
            .get("authorization")
            .map(|value| value.as_bytes());
        given.is_some_and(|given| same_bytes(given, self.bearer.as_bytes()))
    }
}

/// Compares without telling by its duration where the first difference is.
fn same_bytes(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
