//! Listeners for callers, readiness checks, metrics and other entries.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cadence::CountedExt as _;
use cyc_types::{ErrorKind, Millis, Refusal};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    answer, control,
    intake::OpenConnection,
    port::Protocol,
    proxy::{self, retry_after},
    shutdown::DEREGISTRATION_DELAY,
    state::State,
};

/// Maximum size of a request head until a configuration sets a limit.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Smallest buffer size that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Idle timeout of connections until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis::new(15_000);
/// Idle connections are kept this many times longer than callers may reuse them: a close must not
/// race with a request, even if a newer configuration allows longer reuse.
const IDLE_TIMEOUT_FACTOR: u64 = 3;
/// Time for the request of a caller that is refused because there are too many connections.
const REFUSAL_TIMEOUT: Millis = Millis::new(1_000);
/// Maximum body of such a request that is read.
const REFUSED_BODY_BYTES: usize = 64 * 1024;
/// Base of its `Retry-After`: the platform needs two missed checks to route callers elsewhere.
const RETRY_AFTER_CROWD: Millis = Millis::new(1_000);
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
                match state.open_connection() {
                    Some(open) => {
                        let f = serve_caller(state.clone(), stream, open);
                        tokio::task::spawn_local(f);
                    }
                    None if state.crowd.borrow_mut().start_refusal() => {
                        tokio::task::spawn_local(refuse_caller(state.clone(), stream));
                    }
                    None => drop(stream),
                }
            }
            Err(error) => {
                spdlog::warn!("accept_failed", kv: { error = error.to_string() });
                sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

/// Refuses the request of a caller for whose connection there is no room.
async fn refuse_caller<P: Protocol>(state: Rc<State<P>>, stream: TcpStream) {
    let metrics = state.metrics.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        metrics.incr(cyc_obs::names::OVERLOAD_REFUSALS).ok();
        async move {
            // A body that is not read would reset the connection under the answer.
            let body = Limited::new(req.into_body(), REFUSED_BODY_BYTES).collect();
            timeout(REFUSAL_TIMEOUT.duration(), body).await.ok();
            let refusal = Refusal::new(ErrorKind::Overloaded, "too many connections");
            let refusal = refusal.with_retry_after(retry_after(RETRY_AFTER_CROWD));
            let mut response = answer::response(&refusal);
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            Ok::<_, Infallible>(response)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REFUSAL_TIMEOUT.duration())
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the caller has disconnected.
    timeout(REFUSAL_TIMEOUT.duration(), conn).await.ok();
    state.crowd.borrow_mut().end_refusal();
}

async fn serve_caller<P: Protocol>(
    state: Rc<State<P>>,
    stream: TcpStream,
    open: OpenConnection<P>,
) {
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
    let (id, evicted) = (open.id(), open.evicted());
    let service = {
        let state = state.clone();
        service_fn(move |req: Request<Incoming>| {
            let state = state.clone();
            // Boxed, since an idle connection keeps the place of its next request.
            Box::pin(async move {
                state.crowd.borrow_mut().start_request(id);
                let mut response = proxy::serve(state.clone(), req).await;
                let sheds = state.sheds_connection() || state.crowd.borrow().sheds_connections();
                if state.is_stopping() || sheds {
                    let close = http::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                // One that is still sending a stream would only be closed after it.
                state.crowd.borrow_mut().set_idle(id, state.now());
                Ok::<_, Infallible>(response)
            })
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
        () = evicted.notified() => conn.as_mut().graceful_shutdown(),
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
