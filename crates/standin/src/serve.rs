//! Serves a stand-in on a socket, in the caller's process or as a program.

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

/// Default listen address of a program: a free port on the loopback address.
pub const DEFAULT_LISTEN: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// A stand-in served in this process until this value is dropped.
///
/// Dropping the server closes the listener; open connections continue until they end. Use
/// [`crate::relay::TcpRelay`] to close those.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on a free port on the loopback address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(DEFAULT_LISTEN).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // Runs until the task is aborted.
            let _ = axum::serve(with_tcp_nodelay(listener), router).await;
        });
        Ok(Self { addr, task })
    }

    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Prints `listening on ADDR` on stdout and serves `router` at `addr` until SIGTERM or SIGINT.
///
/// # Errors
/// If the address cannot be bound or the signals cannot be received.
pub async fn run(addr: SocketAddr, router: Router) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(addr).await?;
    println!("listening on {}", listener.local_addr()?);
    // No graceful shutdown: connections under the fault `hang` would never finish.
    tokio::select! {
        served = async { axum::serve(with_tcp_nodelay(listener), router).await } => served,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

/// Sets `TCP_NODELAY`, so that small chunks of a stream are sent immediately, as engines do.
fn with_tcp_nodelay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|stream| {
        // A failure only delays answers.
        let _ = stream.set_nodelay(true);
    })
}

/// Converts the outcome of a program into its exit code; an error is printed on stderr.
pub fn exit_code(outcome: io::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// A response whose connection is aborted instead of sending the body.
pub(crate) fn aborted_response() -> Response {
    let error = Err::<Bytes, _>(io::Error::from(io::ErrorKind::BrokenPipe));
    let body = Body::from_stream(futures::stream::iter([error]));
    Response::new(body)
}
