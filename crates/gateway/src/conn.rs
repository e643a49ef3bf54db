//! Connection pool of one target. Connections are opened on demand, kept while idle, and used for
//! one request at a time.
//!
//! A connection that is given up during a request is reset: what has not left this VM yet must not
//! arrive later, when the target has perhaps left.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use cyc_types::Millis;
use futures::FutureExt as _;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::Instant,
};

/// Timeout of opening a connection: a few round trips between availability zones, and less than the
/// first retransmission of the SYN.
pub const CONNECT_TIMEOUT: Millis = Millis::new(400);
/// TCP user timeout: a connection fails if sent bytes stay unacknowledged for this long.
pub const UNACKNOWLEDGED_TIMEOUT: Millis = Millis::new(1_500);
/// Idle time after which TCP keepalive probes a connection.
const KEEPALIVE_AFTER: Millis = Millis::new(1_000);
/// Maximum idle time of a reusable connection; a target may announce a shorter limit.
const DEFAULT_IDLE_LIMIT: Millis = Millis::new(4_000);
/// Safety margin below the target's own idle limit, so that no request is sent while the target
/// closes the connection.
const IDLE_MARGIN: Millis = Millis::new(400);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The stream of a connection. Resets it on drop if a request is unfinished.
#[derive(Debug)]
struct TargetStream {
    stream: TcpStream,
    is_unfinished: Rc<Cell<bool>>,
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        if self.is_unfinished.get() {
            // Without it the bytes of the request are sent on after the close.
            let set = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            if let Err(error) = set {
                spdlog::warn!("connection_not_reset", kv: { error = error.to_string() });
            }
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An open connection; closed on drop, or reset if a request is unfinished.
#[derive(Debug)]
pub struct Conn {
    /// Sends the next request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// No request was sent on the connection before.
    is_fresh: bool,
    /// A request was sent and its response is not read to the end.
    is_unfinished: Rc<Cell<bool>>,
    task: JoinHandle<()>,
    _guard: OpenGuard,
}

impl Conn {
    /// Records that a request is sent on the connection. Returns true if it is the first one, so that
    /// no answer to another request can arrive.
    pub fn start_request(&mut self) -> bool {
        self.is_unfinished.set(true);
        std::mem::replace(&mut self.is_fresh, false)
    }

    /// Records that the response was read to the end.
    pub fn finish_request(&self) {
        self.is_unfinished.set(false);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a connection that is open or being opened, until dropped.
#[derive(Debug)]
struct OpenGuard(Rc<Cell<u32>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Instant,
}

/// Connections to one target.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    open: Rc<Cell<u32>>,
    /// Connections are not kept any more.
    is_closed: Cell<bool>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: RefCell::new(Vec::new()),
            open: Rc::new(Cell::new(0)),
            is_closed: Cell::new(false),
        }
    }

    /// Returns true if a request can be sent with at most `limit` connections open.
    pub fn has_room(&self, limit: u32) -> bool {
        self.open.get() < limit || !self.idle.borrow().is_empty()
    }

    /// Takes the most recently used idle connection.
    pub fn take_idle(&self) -> Option<Conn> {
        let now = Instant::now();
        loop {
            let mut idle = self.idle.borrow_mut().pop()?;
            let is_ready = matches!(idle.conn.sender.ready().now_or_never(), Some(Ok(())));
            if idle.until > now && is_ready {
                return Some(idle.conn);
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The socket error; nothing was sent.
    pub async fn connect(&self) -> io::Result<Conn> {
        let guard = OpenGuard::new(&self.open);
        let timeout = CONNECT_TIMEOUT.duration();
        let stream = tokio::time::timeout(timeout, connect(self.addr)).await??;
        let is_unfinished = Rc::new(Cell::new(false));
        let stream = TargetStream {
            stream,
            is_unfinished: is_unfinished.clone(),
        };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The request on the connection fails with the same error.
            conn.await.ok();
        });
        Ok(Conn {
            sender,
            is_fresh: true,
            is_unfinished,
            task,
            _guard: guard,
        })
    }

    /// Closes the idle connections, and those in use after their response.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Returns a connection to the pool once its response was read to the end.
    pub fn put_idle(&self, conn: Conn, keep_alive: Option<Millis>) {
        conn.finish_request();
        if conn.sender.is_closed() || self.is_closed.get() {
            return;
        }
        let limit = keep_alive.map_or(DEFAULT_IDLE_LIMIT, |limit| {
            limit.saturating_sub(IDLE_MARGIN)
        });
        let until = Instant::now() + limit.min(DEFAULT_IDLE_LIMIT).duration();
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
        idle.push(Idle { conn, until });
    }
}

/// Opens a TCP connection that detects an unresponsive peer.
///
/// # Errors
/// The socket error.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(addr).await?;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER.duration())
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    let options = SockRef::from(&stream);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT.duration()))?;
    Ok(stream)
}
