//! Case 1: an extra response that a faulty engine sends late is taken for the answer to the next
//! request, which is then answered 503 though it runs.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    http::{self, Conn, Message, response},
    store::Store,
    world::{self, DESK, HOST, KEY, Record, World},
};

/// Length of the load.
const LOAD: Duration = Duration::from_secs(48);
/// The disruption lasts this long, and comes again.
const GARBLED: Duration = Duration::from_secs(5);
/// Time from one disruption to the next.
const PERIOD: Duration = Duration::from_secs(8);
/// Clients that each send one booking after the other.
const CLIENTS: usize = 4;
/// Pause of a client between bookings: together about 16 bookings a second.
const PAUSE_MS: u64 = 190;
/// One in this many answers of a faulty engine has an extra response: 0.03 of them.
const EXTRA_EVERY: u64 = 33;

/// When each request id began to run at an engine.
type Runs = Arc<Mutex<HashMap<String, u64>>>;

/// An engine of the booking service.
#[derive(Clone)]
struct Engine {
    id: &'static str,
    is_faulty: bool,
    runs: Runs,
    answers: Arc<Mutex<u64>>,
    since: Instant,
    record: Record,
}

/// What an engine remembers of a connection: the request that gets an extra response.
#[derive(Default)]
struct Connection {
    extra_for: Option<String>,
}

impl Engine {
    fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        http::serve(listener, move |req, out, conn| self.handle(req, out, conn));
        Ok(addr)
    }

    fn is_garbled(&self) -> bool {
        let since = self.since.elapsed().as_millis();
        since % PERIOD.as_millis() < GARBLED.as_millis()
    }

    fn handle(&self, req: &Message, out: &mut TcpStream, conn: &mut Connection) -> io::Result<()> {
        if req.path() == "/healthz" {
            return out.write_all(&response(
                "200 OK",
                &[("X-Cyclamenlead-Instance-Id", self.id)],
                "",
            ));
        }
        let id = req
            .header("x-cyclamenlead-attempt-id")
            .unwrap_or_default()
            .to_string();
        if req.header("x-cyclamenlead-expected-instance") != Some(self.id) {
            let headers = [("X-Cyclamenlead-Instance-Id", self.id)];
            return out.write_all(&response("421 Misdirected Request", &headers, ""));
        }
        // The extra response to the request before comes where the next response is expected.
        if let Some(old) = conn.extra_for.take() {
            let headers = [
                ("X-Cyclamenlead-Attempt-Id", old.as_str()),
                ("X-Cyclamenlead-Not-Executed", "1"),
            ];
            out.write_all(&response("503 Service Unavailable", &headers, ""))?;
            self.record.line(format!(
                "{} extra response for {old} while {id} is due",
                self.id
            ));
        }
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.record.line(format!("{} runs {id}", self.id));
        thread::sleep(Duration::from_millis(60));
        let signature = format!("sig.{}.{id}", self.id);
        let headers = [
            ("X-Cyclamenlead-Attempt-Id", id.as_str()),
            ("X-Cyclamenlead-Server-Signature", signature.as_str()),
        ];
        let body = format!("booked {id}");
        out.write_all(&response("200 OK", &headers, &body))?;
        if self.is_faulty && world::has_trouble() && self.is_garbled() {
            let mut answers = self.answers.lock().unwrap();
            *answers += 1;
            if *answers % EXTRA_EVERY == 0 {
                conn.extra_for = Some(id);
            }
        }
        Ok(())
    }
}

/// Sends bookings one after the other, and returns how each attempt was answered.
fn book(front: SocketAddr, client: usize, record: &Record) -> Vec<(String, u16)> {
    let until = Instant::now() + LOAD;
    let mut conn: Option<Conn> = None;
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("{:08x}{:08x}", client + 1, answers.len() + 1);
        let token = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("X-Cyclamenlead-Attempt-Id", id.as_str()),
            ("X-Cyclamenlead-Deadline-Ms", "3000"),
            ("Authorization", token.as_str()),
        ];
        record.line(format!("client {client} sends {id}"));
        let called = conn
            .take()
            .map_or_else(|| Conn::open(front, Duration::from_secs(4)), Ok);
        let called = called.and_then(|mut open| {
            let answer = open.call("POST", "/puxa403/2f", &headers, "one kit")?;
            Ok((open, answer))
        });
        let status = match called {
            Ok((open, answer)) => {
                conn = Some(open);
                record.line(format!(
                    "client gets {} for {id}: {}",
                    answer.status(),
                    answer.text()
                ));
                answer.status()
            }
            Err(error) => {
                record.line(format!("client gets no answer for {id}: {error}"));
                0
            }
        };
        answers.push((id, status));
        world::sleep_ms(PAUSE_MS);
    }
    answers
}

fn case(world: &World) -> io::Result<bool> {
    let record = &world.record;
    let (store, store_addr) = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let runs = Runs::default();
    // A share of 0.6 of three engines, rounded down.
    for (id, is_faulty) in [
        ("i-7f3a91c2", true),
        ("i-02d9e6b4", false),
        ("i-55c0aa17", false),
    ] {
        let engine = Engine {
            id,
            is_faulty,
            runs: runs.clone(),
            answers: Arc::default(),
            since: Instant::now(),
            record: record.clone(),
        };
        world::register(&store, id, DESK, engine.start()?, 6);
    }
    let route = world::route(
        "r-book",
        "/puxa403/",
        "non_idempotent",
        1500,
        300,
        1,
        &[(DESK, 1)],
    );
    store.put(
        "config",
        "main",
        world::configuration(3, &[route], &world::tenant(1_000_000)),
    );
    let (_relay, relay_addr) = world.start_relay("side-almaty-a-1", store_addr)?;
    let entry = world.start_entry("edge-almaty-a-1", store_addr, &[relay_addr])?;
    entry.wait_ready()?;

    let front = entry.front;
    let clients = (0..CLIENTS).map(|client| {
        let record = record.clone();
        thread::spawn(move || book(front, client, &record))
    });
    let clients: Vec<_> = clients.collect();
    let answers: Vec<(String, u16)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    // "Has run, or runs later".
    world::sleep_ms(2_000);

    let runs = runs.lock().unwrap();
    let ran = |id: &String| runs.get(id).copied().unwrap_or_default();
    let promised = answers
        .iter()
        .filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503));
    let broken: Vec<&String> = promised
        .map(|(id, _)| id)
        .filter(|id| ran(id) > 0)
        .collect();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let twice = runs.values().filter(|count| **count > 1).count();
    record.show(format!(
        "{} bookings, {served} answered 200, {} of those answered 408, 421, 429 or 503 have run, \
         {twice} ran twice",
        answers.len(),
        broken.len(),
    ));
    for id in &broken {
        record.line(format!(
            "REFUSED: {id} was answered with a promise and has run"
        ));
    }
    if served * 10 < answers.len() * 9 {
        return Err(io::Error::other("fewer than 9 in 10 bookings were served"));
    }
    Ok(broken.is_empty())
}

fn main() {
    world::run(case)
}
