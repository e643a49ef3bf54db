//! A client of the model engines, and what its tenant has consumed.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    http::Conn,
    world::{HOST, KEY, Record},
};

/// Sends generation requests and counts what they consume: the input of each request that was
/// answered with success, once, and the output tokens that were delivered with it.
#[derive(Clone)]
pub struct Client {
    pub record: Record,
    sent: Arc<AtomicU64>,
    consumed: Arc<AtomicU64>,
}

impl Client {
    pub fn new(record: Record) -> Client {
        Client {
            record,
            sent: Arc::default(),
            consumed: Arc::default(),
        }
    }

    /// Tokens consumed so far.
    pub fn consumed(&self) -> u64 {
        self.consumed.load(Ordering::SeqCst)
    }

    /// Sends one request and returns its status; 0 if there is no whole answer.
    pub fn generate(&self, front: SocketAddr, path: &str, input: u64, output: u64) -> u16 {
        let id = format!("{:016x}", self.sent.fetch_add(1, Ordering::SeqCst) + 1);
        let token = format!("Bearer {KEY}");
        let counts = format!("{input},{output}");
        let prefix = format!("5c1e07a2:{},{id}:{}", input / 2, input - input / 2);
        let headers = [
            ("Host", HOST),
            ("X-Cyclamenlead-Attempt-Id", id.as_str()),
            ("X-Cyclamenlead-Model", "m"),
            ("X-Cyclamenlead-Token-Counts", counts.as_str()),
            ("X-Cyclamenlead-Prefix-Hash", prefix.as_str()),
            ("X-Cyclamenlead-Deadline-Ms", "8000"),
            ("Authorization", token.as_str()),
        ];
        self.record
            .line(format!("client sends {id} to {front}: {counts} tokens"));
        let answer = Conn::open(front, Duration::from_secs(9))
            .and_then(|mut conn| conn.call("POST", path, &headers, "a prompt"));
        match answer {
            Ok(answer) if answer.status() == 200 => {
                let delivered = answer.text().matches("tok").count() as u64;
                self.consumed.fetch_add(input + delivered, Ordering::SeqCst);
                self.record.line(format!(
                    "client gets 200 for {id}: {delivered} output tokens"
                ));
                200
            }
            Ok(answer) => {
                let text = answer.text();
                self.record
                    .line(format!("client gets {} for {id}: {text}", answer.status()));
                answer.status()
            }
            Err(error) => {
                self.record
                    .line(format!("client gets no answer for {id}: {error}"));
                0
            }
        }
    }

    /// Sends requests of one size from several threads until `until` returns true, with a pause.
    pub fn load(
        &self,
        fronts: &[SocketAddr],
        threads: usize,
        pause: Duration,
        size: (u64, u64),
        path: &str,
        until: impl Fn(u64) -> bool + Sync,
    ) -> io::Result<()> {
        std::thread::scope(|scope| {
            for index in 0..threads {
                let front = fronts[index % fronts.len()];
                let until = &until;
                scope.spawn(move || {
                    let mut refused = 0;
                    while !until(refused) {
                        match self.generate(front, path, size.0, size.1) {
                            200 => refused = 0,
                            _ => refused += 1,
                        }
                        std::thread::sleep(pause);
                    }
                });
            }
        });
        Ok(())
    }
}
