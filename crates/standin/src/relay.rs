//! A TCP relay between two processes that can be cut and healed. For tests only.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Bytes that one direction of a connection forwards at a time.
const BUFFER_BYTES: usize = 16 * 1_024;

/// A direction of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the target address.
    ToTarget,
    /// From the target address to the side that connected.
    FromTarget,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mode {
    /// New connections are closed at once.
    refusing: bool,
    /// How often the relay was cut; connections of an earlier cut are closed.
    cuts: u64,
    hold_to_target: bool,
    hold_from_target: bool,
}

impl Mode {
    const fn holds(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.hold_to_target,
            Direction::FromTarget => self.hold_from_target,
        }
    }
}

/// A relay on a free loopback port to a fixed target address, until it is dropped.
#[derive(Debug)]
pub struct TcpRelay {
    addr: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `target` that forwards everything.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let (mode, rx) = watch::channel(Mode::default());
        let task = tokio::spawn(accept(listener, target, rx));
        Ok(Self { addr, mode, task })
    }

    /// Returns the address to connect to in place of the target's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections, and each new one as soon as it is made.
    pub fn cut(&self) {
        self.mode.send_modify(|mode| {
            mode.refusing = true;
            mode.cuts += 1;
        });
    }

    /// Closes all connections that exist now; new ones are forwarded.
    pub fn reset(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
    }

    /// Holds back what flows in `direction` from now on: connections stay open and silent.
    ///
    /// As in a partition of a network the bytes arrive late, after [`TcpRelay::heal`], unless the
    /// connection is closed before.
    pub fn hold(&self, direction: Direction) {
        self.mode.send_modify(|mode| match direction {
            Direction::ToTarget => mode.hold_to_target = true,
            Direction::FromTarget => mode.hold_from_target = true,
        });
    }

    /// Holds back both directions.
    pub fn black_hole(&self) {
        self.hold(Direction::ToTarget);
        self.hold(Direction::FromTarget);
    }

    /// Forwards again, first what was held back.
    pub fn heal(&self) {
        self.mode.send_modify(|mode| {
            mode.refusing = false;
            mode.hold_to_target = false;
            mode.hold_from_target = false;
        });
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if mode.borrow().refusing {
            continue;
        }
        tokio::spawn(serve(client, target, mode.clone()));
    }
}

/// Relays one connection until it ends, is cut or the relay is dropped.
async fn serve(client: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let cuts = mode.borrow().cuts;
    let mut cut = mode.clone();
    tokio::select! {
        _ = cut.wait_for(|mode| mode.cuts != cuts) => {}
        _ = forward(client, target, mode) => {}
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    wait_until_open(&mut mode, Direction::ToTarget).await?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let to_target = pump(client_rx, server_tx, mode.clone(), Direction::ToTarget);
    let from_target = pump(server_rx, client_tx, mode, Direction::FromTarget);
    tokio::try_join!(to_target, from_target).map(drop)
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await?;
        wait_until_open(&mut mode, direction).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..read]).await?;
    }
}

async fn wait_until_open(mode: &mut watch::Receiver<Mode>, direction: Direction) -> io::Result<()> {
    let open = mode.wait_for(|mode| !mode.holds(direction)).await;
    open.map(drop)
        .map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))
}
