//! Serving a stand-in on a socket, in the caller's process or as a program.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    process::ExitCode,
};

use axum::{
    Router,
    body::Body,
    response::Response,
    serve::{Listener, ListenerExt as _},
};
use bytes::Bytes;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
};

/// Where a program listens by default: a free port of the loopback address.
pub const DEFAULT_LISTEN: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// A stand-in that is served in this process until it is dropped.
///
/// Dropping it frees the port; connections that are open already are served to their end. Use
/// [`crate::relay::TcpRelay`] to break those.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on a free port of the loopback address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(DEFAULT_LISTEN).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // Serving ends only with the task.
            let _ = axum::serve(without_delay(listener), router).await;
        });
        Ok(Self { addr, task })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `router` at `addr` until SIGTERM or SIGINT, after one line on stdout with the address.
///
/// # Errors
/// If the address cannot be bound or the signals cannot be received.
pub async fn run(addr: SocketAddr, router: Router) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(addr).await?;
    println!("listening on {}", listener.local_addr()?);
    // No drain: a stand-in with the fault `hang` has connections that never end.
    tokio::select! {
        served = async { axum::serve(without_delay(listener), router).await } => served,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

/// Sends small pieces of a stream at once, as engines do.
fn without_delay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|stream| {
        // Without it answers are only later.
        let _ = stream.set_nodelay(true);
    })
}

/// Prints the error of a program on stderr and returns the code to exit with.
pub fn exit_code(outcome: io::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Returns an answer whose connection is broken in place of its body.
pub(crate) fn broken_answer() -> Response {
    let broken = Err::<Bytes, _>(io::Error::from(io::ErrorKind::BrokenPipe));
    let body = Body::from_stream(futures::stream::iter([broken]));
    Response::new(body)
}
