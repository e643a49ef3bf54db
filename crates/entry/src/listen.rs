//! The HTTP server for callers: bounded connections, and a header timeout against slow callers.

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

/// How long a caller may take to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// How long the port must be quiet before it is closed.
const LATE_WAIT: Duration = Duration::from_millis(20);
/// The most connections that are still accepted while the port closes.
const MAX_LATE: usize = 1_024;
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `router` until `stop` turns true; then finishes the open requests.
///
/// # Errors
/// An I/O error if the listener cannot be used.
pub async fn run(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    // Only so does the timeout count from the first moment: to look for another version, the
    // builder would wait for the first bytes without any limit.
    let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS);
    let slots = Arc::new(Semaphore::new(max_connections));
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
            // A caller that breaks its connection ends only its own requests.
            watched.await.ok();
        });
    };
    loop {
        let slot = tokio::select! {
            slot = slots.clone().acquire_owned() => slot.map_err(io::Error::other)?,
            () = stopped(&mut stop) => break,
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream, Some(slot)),
                Err(error) => {
                    spdlog::warn!("accept_failed", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stopped(&mut stop) => break,
        }
    }
    // Callers whose connection was made just before are refused with an answer, not with a reset.
    for _ in 0..MAX_LATE {
        match tokio::time::timeout(LATE_WAIT, listener.accept()).await {
            Ok(Ok((stream, _))) => serve(stream, None),
            Ok(Err(_)) | Err(_) => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

/// Asks callers to close their connections while `app` is draining, so that none sends its next
/// request on a connection that is about to be closed.
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

/// Answers are streams of small pieces, which must not wait for each other.
fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_failed", kv: { error = error.to_string() });
    }
}

/// Waits until the process stops listening, or is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    stop.wait_for(|stop| *stop).await.ok();
}
