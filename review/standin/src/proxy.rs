//! A TCP proxy that stands for the links of one machine, and can cut them.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(10);

/// The links through one or more proxies, which are cut and healed together. A cut is one way: what
/// the machine sends on open connections still arrives, and nothing comes back to it.
#[derive(Clone, Default)]
pub struct Links {
    is_cut: Arc<AtomicBool>,
    /// Number of cuts so far; a connection of before a cut does not outlive it.
    cuts: Arc<AtomicU64>,
}

impl Links {
    /// From now on nothing reaches the machine, without a reset.
    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// Forwards connections to `target`, and returns the address of the proxy.
    pub fn proxy(&self, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let links = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || links.forward(client, target));
            }
        });
        Ok(addr)
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) {
        let opened_at = self.cuts.load(Ordering::SeqCst);
        while self.is_cut() {
            // The answer to the opening packet is lost; the machine gives up in the meantime.
            thread::sleep(POLL);
        }
        if self.cuts.load(Ordering::SeqCst) != opened_at || opened_at_end(&client) {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let links = self.clone();
        let back = thread::spawn(move || links.copy(server2, client2, opened_at, false));
        self.copy(client, server, opened_at, true);
        back.join().ok();
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, opened_at: u64, is_sent: bool) {
        let mut buf = [0; 64 * 1024];
        from.set_read_timeout(Some(POLL)).ok();
        loop {
            let is_whole = self.cuts.load(Ordering::SeqCst) == opened_at;
            if !is_whole && !self.is_cut() {
                // The connection lacks what was lost during the cut.
                break;
            }
            match from.read(&mut buf) {
                // A close from the other side is lost too.
                Ok(0) if !is_sent && self.is_cut() => thread::sleep(POLL),
                Ok(0) => break,
                Ok(n) => {
                    let passes = is_sent || self.cuts.load(Ordering::SeqCst) == opened_at;
                    if passes && to.write_all(&buf[..n]).is_err() {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
                Err(_) => break,
            }
        }
        to.shutdown(Shutdown::Both).ok();
        from.shutdown(Shutdown::Both).ok();
    }
}

/// Returns true if the client has closed the connection.
fn opened_at_end(client: &TcpStream) -> bool {
    client.set_nonblocking(true).ok();
    let is_closed = matches!(client.peek(&mut [0]), Ok(0));
    client.set_nonblocking(false).ok();
    is_closed
}
