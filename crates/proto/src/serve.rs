//! The RPC server of a process: WebSocket only, and only for clients that present the shared key.

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

/// Largest message in either direction. Leaves room for a body of a few megabytes.
const MAX_MESSAGE_BYTES: u32 = 8 << 20;
/// Maximum number of connections of one process.
const MAX_CONNECTIONS: u32 = 4_096;
/// Maximum number of subscriptions on one connection.
const MAX_SUBSCRIPTIONS: u32 = 8_192;
/// Messages buffered for each connection before senders have to wait.
const MESSAGE_BUFFER: u32 = 4_096;

/// Binds the address of a process. This fails while a previous process holds the address, so that
/// success proves that the previous process has ended.
///
/// # Errors
/// An I/O error if the address cannot be bound.
pub async fn bind(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    tokio::net::TcpListener::bind(addr).await?.into_std()
}

/// Serves `methods` on a bound listener. The returned handle stops the server.
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
    let auth = ServiceBuilder::new().layer(AuthLayer::new(key.expose()));
    let server = Server::builder()
        .set_config(cfg)
        .set_http_middleware(auth)
        .build_from_tcp(listener)?;
    Ok(server.start(methods))
}

/// Middleware that rejects connections without the shared key, with status 401.
#[derive(Debug, Clone)]
pub struct AuthLayer {
    bearer: Arc<str>,
}

impl AuthLayer {
    /// Creates the layer for the shared key `key`.
    pub fn new(key: &str) -> Self {
        Self {
            bearer: format!("Bearer {key}").into(),
        }
    }
}

impl<S> Layer<S> for AuthLayer {
    type Service = AuthService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        AuthService {
            inner,
            bearer: self.bearer.clone(),
        }
    }
}

/// The service created by [`AuthLayer`].
#[derive(Debug, Clone)]
pub struct AuthService<S> {
    inner: S,
    bearer: Arc<str>,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

impl<S, B> Service<HttpRequest<B>> for AuthService<S>
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
        if self.is_authorized(&req) {
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

impl<S> AuthService<S> {
    fn is_authorized<B>(&self, req: &HttpRequest<B>) -> bool {
        let given = req
            .headers()
            .get("authorization")
            .map(|value| value.as_bytes());
        given.is_some_and(|given| constant_time_eq(given, self.bearer.as_bytes()))
    }
}

/// Compares in constant time for equal lengths, so that the duration does not reveal the first
/// difference.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
