//! Case 4: a registration of another writer that cannot be read hides all later changes of the list
//! of engines, so that an engine that drains keeps getting requests.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    http::{self, Conn, Message, response},
    json::Json,
    store::Store,
    world::{self, DESK, HOST, KEY, Record, World},
};

const CLIENTS: usize = 4;
const PAUSE_MS: u64 = 190;
/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the engine that drains goes on serving after the store has accepted its report: `drainMs`
/// and a little longer.
const SERVES_ON: Duration = Duration::from_secs(7);
const LEAVING: &str = "i-7f3a91c2";

/// Times of the engine that leaves.
#[derive(Default)]
struct Leaving {
    /// When the store had accepted that it drains.
    accepted_at: Option<Instant>,
    has_ended: bool,
    /// Requests that reached it more than `drainMs` after that.
    late: Vec<String>,
}

/// An engine of the booking service.
#[derive(Clone)]
struct Engine {
    id: &'static str,
    leaving: Arc<Mutex<Leaving>>,
    record: Record,
}

impl Engine {
    fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        http::serve(listener, move |req, out, _: &mut ()| self.handle(req, out));
        Ok(addr)
    }

    fn check_running(&self) -> io::Result<()> {
        match self.id == LEAVING && self.leaving.lock().unwrap().has_ended {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    fn handle(&self, req: &Message, out: &mut TcpStream) -> io::Result<()> {
        self.check_running()?;
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
        let mut drains_for = None;
        if self.id == LEAVING {
            let mut leaving = self.leaving.lock().unwrap();
            drains_for = leaving.accepted_at.map(|at| at.elapsed());
            if drains_for.is_some_and(|time| time > DRAIN) {
                leaving.late.push(id.clone());
            }
        }
        let drains = drains_for.map_or(String::new(), |time| format!(", draining for {time:?}"));
        self.record.line(format!("{} runs {id}{drains}", self.id));
        thread::sleep(Duration::from_millis(60));
        self.check_running()?;
        let signature = format!("sig.{}.{id}", self.id);
        let mut headers = vec![
            ("X-Cyclamenlead-Attempt-Id", id.as_str()),
            ("X-Cyclamenlead-Server-Signature", signature.as_str()),
        ];
        if drains_for.is_some() {
            headers.push(("Connection", "close"));
        }
        out.write_all(&response("200 OK", &headers, "booked"))?;
        match drains_for {
            Some(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            None => Ok(()),
        }
    }
}

fn registration(addr: &str, state: &str) -> Json {
    Json::obj([
        ("service", Json::str(DESK)),
        ("address", Json::Raw(addr.into())),
        ("zone", Json::str("almaty-a")),
        ("version", Json::str("v1")),
        ("slots", Json::num(6)),
        ("state", Json::str(state)),
        ("coldLeftMs", Json::num(0)),
        ("seqNo", Json::num(1)),
        ("born", Json::num(1_796_000_000_000_u64)),
    ])
}

/// Sends bookings one after the other until told to stop; returns the statuses.
fn book(front: SocketAddr, client: usize, record: &Record, is_over: &Mutex<bool>) -> Vec<u16> {
    let mut statuses = Vec::new();
    let mut conn: Option<Conn> = None;
    while !*is_over.lock().unwrap() {
        let id = format!("{:08x}{:08x}", client + 1, statuses.len() + 1);
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
        statuses.push(match called {
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
        });
        world::sleep_ms(PAUSE_MS);
    }
    statuses
}

fn case(world: &World) -> io::Result<bool> {
    let record = &world.record;
    let (store, store_addr) = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let leaving: Arc<Mutex<Leaving>> = Arc::default();
    let mut addrs = Vec::new();
    for id in [LEAVING, "i-02d9e6b4", "i-55c0aa17"] {
        let engine = Engine {
            id,
            leaving: leaving.clone(),
            record: record.clone(),
        };
        let addr = format!("\"{}\"", engine.start()?);
        store.put("servers", id, registration(&addr, "ready"));
        addrs.push(addr);
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

    let is_over: Arc<Mutex<bool>> = Arc::default();
    let front = entry.front;
    let clients = (0..CLIENTS).map(|client| {
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || book(front, client, &record, &is_over))
    });
    let clients: Vec<_> = clients.collect();
    world::sleep_ms(5_000);
    if world::has_trouble() {
        // Two bytes that are no text, as a store of JSON values shows them; or a number that no
        // machine type holds.
        let addr = match std::env::var("FORM").as_deref() {
            Ok("number") => "1e400",
            _ => r#""\udcff\udcfe""#,
        };
        store.put("servers", "i-4c11d0ff", registration(addr, "ready"));
        record.show("another writer puts a registration that cannot be read");
    }
    world::sleep_ms(4_000);
    // The engine leaves as planned: it drains, goes on for drainMs and longer, and exits.
    store.put("servers", LEAVING, registration(&addrs[0], "draining"));
    leaving.lock().unwrap().accepted_at = Some(Instant::now());
    record.show(format!("the store accepts that {LEAVING} drains"));
    thread::sleep(SERVES_ON);
    leaving.lock().unwrap().has_ended = true;
    record.show(format!("{LEAVING} exits"));
    world::sleep_ms(4_000);
    *is_over.lock().unwrap() = true;
    let statuses: Vec<u16> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let count = |status: u16| statuses.iter().filter(|s| **s == status).count();
    record.show(format!(
        "{} bookings: {} answered 200, {} answered 502, {} without an answer",
        statuses.len(),
        count(200),
        count(502),
        count(0)
    ));

    // Not part of the verdict: an entry that starts while the registration is there.
    let new = world.start_entry("edge-almaty-b-1", store_addr, &[relay_addr])?;
    let is_ready = new.wait_ready().is_ok();
    record.show(format!(
        "an entry that starts now is ready within 10 s: {is_ready}"
    ));

    let leaving = leaving.lock().unwrap();
    let late = leaving.late.len();
    record.show(format!(
        "{late} requests reached {LEAVING} more than {DRAIN:?} after that"
    ));
    for id in &leaving.late {
        record.line(format!("DRAIN: {id}"));
    }
    if count(200) * 10 < statuses.len() * 8 {
        return Err(io::Error::other("fewer than 8 in 10 bookings were served"));
    }
    Ok(late == 0)
}

fn main() {
    world::run(case)
}
