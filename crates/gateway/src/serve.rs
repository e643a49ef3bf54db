//! Listeners for callers, readiness checks, metrics and other entries.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cyc_types::Millis;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until},
};

use crate::{control, port::Protocol, proxy, shutdown::DEREGISTRATION_DELAY, state::State};

/// Maximum size of a request head until a configuration sets a limit.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Smallest buffer size that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Idle timeout of connections until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis::new(15_000);
/// Idle connections are kept this many times longer than callers may reuse them: a close must not
/// race with a request, even if a newer configuration allows longer reuse.
const IDLE_TIMEOUT_FACTOR: u64 = 3;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Millis = Millis::new(20);

/// Opens a listener.
///
/// # Errors
/// The socket error.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves callers; never returns.
pub async fn serve_callers<P: Protocol>(state: Rc<State<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                state.record_connection();
                let state = state.clone();
                tokio::task::spawn_local(serve_caller(state, stream));
            }
            Err(error) => {
                spdlog::warn!("accept_failed", kv: { error = error.to_string() });
                sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn serve_caller<P: Protocol>(state: Rc<State<P>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_failed", kv: { error = error.to_string() });
        return;
    }
    let limits = state.config.borrow().as_ref().map(|config| config.limits);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| {
        limits.header_bytes.get() as usize
    });
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle);
    let idle = Millis::new(idle.get() * IDLE_TIMEOUT_FACTOR);
    let service = {
        let state = state.clone();
        service_fn(move |req: Request<Incoming>| {
            let state = state.clone();
            async move {
                let mut response = proxy::serve(state.clone(), req).await;
                if state.is_stopping() || state.sheds_connection() {
                    let close = http::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        })
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.duration())
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let mut stopping = state.stopping.subscribe();
    let shutdown = async {
        // An error means that the process is ending.
        stopping.wait_for(Option::is_some).await.ok();
        sleep_until(Instant::now() + DEREGISTRATION_DELAY.duration()).await;
    };
    tokio::pin!(shutdown);
    tokio::select! {
        // On an error the caller has disconnected or sent invalid HTTP; requests have their own log
        // line.
        _ = conn.as_mut() => return,
        () = &mut shutdown => conn.as_mut().graceful_shutdown(),
    }
    conn.await.ok();
}

/// Serves readiness checks: responds 200 on every path while the platform may route callers here.
pub async fn serve_ready<P: Protocol>(state: Rc<State<P>>, listener: TcpListener) {
    serve_plain(listener, async move |_| {
        let mut response = Response::new(Full::default());
        if !state.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}

/// Serves the metrics in text format.
pub async fn serve_metrics<P: Protocol>(state: Rc<State<P>>, listener: TcpListener) {
    serve_text(listener, move || state.metrics.render()).await;
}

/// Serves a text on every path; never returns.
pub async fn serve_text(listener: TcpListener, render: impl Fn() -> String + 'static) {
    serve_plain(listener, async move |_| {
        Response::new(Full::new(render().into()))
    })
    .await;
}

/// Serves calls of other entries.
pub async fn serve_peers<P: Protocol>(state: Rc<State<P>>, listener: TcpListener) {
    serve_plain(listener, async move |req| {
        control::handle_peer_call(&state, req).await
    })
    .await;
}

/// Serves requests of processes of the system with `handler`; never returns.
pub async fn serve_plain(
    listener: TcpListener,
    handler: impl AsyncFn(Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let handler = Rc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept_failed", kv: { error = error.to_string() });
                sleep(ACCEPT_RETRY_DELAY.duration()).await;
                continue;
            }
        };
        let handler = handler.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler(req).await) }
        });
        tokio::task::spawn_local(async move {
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT.duration())
                .serve_connection(TokioIo::new(stream), service);
            // The client has disconnected and retries on its own.
            conn.await.ok();
        });
    }
}
