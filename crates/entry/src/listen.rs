//! The HTTP server for callers, with limits on connections, headers and the time to send them.

use std::{io, sync::Arc, time::Duration};

use axum::{
    Router,
    extract::{Request, State},
    middleware::{self, Next},
    response::Response,
};
use http::{HeaderValue, Version, header::CONNECTION};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};

use crate::app::App;

/// Time limit for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// How long no connection must arrive before the port is closed.
const CLOSE_QUIET_PERIOD: Duration = Duration::from_millis(20);
/// Maximum number of connections still accepted while the port closes.
const MAX_LATE_CONNECTIONS: usize = 1_024;
/// Pause after an error of `accept`, for example when too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `router` until `stop` becomes true, then finishes the open requests.
///
/// # Errors
/// An I/O error if the listener cannot be used.
pub async fn run(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    // HTTP/1 only: to detect the HTTP version, the builder would wait for the first bytes without a
    // time limit, outside the header timeout.
    let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS);
    let connection_slots = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    let serve = |stream: TcpStream, slot: Option<OwnedSemaphorePermit>| {
        set_nodelay(&stream);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _slot = slot;
            // A connection error affects only the requests on that connection.
            watched.await.ok();
        });
    };
    loop {
        let slot = tokio::select! {
            slot = connection_slots.clone().acquire_owned() => slot.map_err(io::Error::other)?,
            () = wait_for_stop(&mut stop) => break,
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream, Some(slot)),
                Err(error) => {
                    spdlog::warn!("accept_failed", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = wait_for_stop(&mut stop) => break,
        }
    }
    // Accept connections that were made just before the stop, so that their requests are refused
    // with an answer instead of a connection reset.
    for _ in 0..MAX_LATE_CONNECTIONS {
        match tokio::time::timeout(CLOSE_QUIET_PERIOD, listener.accept()).await {
            Ok(Ok((stream, _))) => serve(stream, None),
            Ok(Err(_)) | Err(_) => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

/// Adds `Connection: close` to HTTP/1 answers while `app` is draining, so that no caller sends its
/// next request on a connection that is about to be closed.
pub fn close_while_draining(router: Router, app: Arc<App>) -> Router {
    router.layer(middleware::from_fn_with_state(app, close_connection))
}

async fn close_connection(State(app): State<Arc<App>>, req: Request, next: Next) -> Response {
    let is_http1 = req.version() <= Version::HTTP_11;
    let mut answer = next.run(req).await;
    if is_http1 && app.is_draining() {
        let headers = answer.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Answers are streamed in small pieces, which Nagle's algorithm would delay.
fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_failed", kv: { error = error.to_string() });
    }
}

/// Waits until `stop` is true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    stop.wait_for(|stop| *stop).await.ok();
}
