//! A TCP relay between two processes that can simulate network partitions. For tests only.

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

/// Buffer size for one direction of a connection.
const BUFFER_BYTES: usize = 16 * 1_024;

/// A direction of data flow through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target address.
    ToTarget,
    /// From the target address to the connecting side.
    FromTarget,
}

#[derive(Debug, Clone, Copy, Default)]
struct RelayState {
    /// If set, new connections are closed as soon as they are accepted.
    refuse_new: bool,
    /// Incremented by each cut and reset; connections of an earlier generation are closed.
    generation: u64,
    hold_to_target: bool,
    hold_from_target: bool,
}

impl RelayState {
    const fn is_held(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.hold_to_target,
            Direction::FromTarget => self.hold_from_target,
        }
    }
}

/// A relay from a free loopback port to a fixed target address, active until dropped.
#[derive(Debug)]
pub struct TcpRelay {
    addr: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `target` that forwards all data.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let (state, rx) = watch::channel(RelayState::default());
        let task = tokio::spawn(accept_connections(listener, target, rx));
        Ok(Self { addr, state, task })
    }

    /// The address to connect to instead of the target address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections and, until [`TcpRelay::heal`], each new one after accepting it.
    pub fn cut(&self) {
        self.state.send_modify(|state| {
            state.refuse_new = true;
            state.generation += 1;
        });
    }

    /// Closes all current connections; new ones are forwarded.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Holds back all further data in `direction`; connections stay open.
    ///
    /// As in a network partition, the data is delivered after [`TcpRelay::heal`], unless the
    /// connection is closed before.
    pub fn hold(&self, direction: Direction) {
        self.state.send_modify(|state| match direction {
            Direction::ToTarget => state.hold_to_target = true,
            Direction::FromTarget => state.hold_from_target = true,
        });
    }

    /// Holds back all further data in both directions.
    pub fn black_hole(&self) {
        self.hold(Direction::ToTarget);
        self.hold(Direction::FromTarget);
    }

    /// Resumes forwarding, starting with the data held back, and accepts new connections.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            state.refuse_new = false;
            state.hold_to_target = false;
            state.hold_from_target = false;
        });
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<RelayState>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if state.borrow().refuse_new {
            continue;
        }
        tokio::spawn(relay_connection(client, target, state.clone()));
    }
}

/// Relays a connection until it ends or the relay is cut, reset or dropped.
async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<RelayState>,
) {
    let generation = state.borrow().generation;
    let mut generation_changed = state.clone();
    tokio::select! {
        _ = generation_changed.wait_for(|state| state.generation != generation) => {}
        _ = forward(client, target, state) => {}
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<RelayState>,
) -> io::Result<()> {
    wait_until_released(&mut state, Direction::ToTarget).await?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let to_target = forward_direction(client_rx, server_tx, state.clone(), Direction::ToTarget);
    let from_target = forward_direction(server_rx, client_tx, state, Direction::FromTarget);
    tokio::try_join!(to_target, from_target).map(drop)
}

async fn forward_direction(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<RelayState>,
    direction: Direction,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await?;
        wait_until_released(&mut state, direction).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..read]).await?;
    }
}

async fn wait_until_released(
    state: &mut watch::Receiver<RelayState>,
    direction: Direction,
) -> io::Result<()> {
    let released = state.wait_for(|state| !state.is_held(direction)).await;
    released
        .map(drop)
        .map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))
}
