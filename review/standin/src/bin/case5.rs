//! Case 5: an entry that has missed many versions of a large configuration cannot read them any
//! more, and goes on with the old one.

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
    world::{self, DESK, HOST, KEY, Record, TENANT, World},
};

/// Routes that the configuration has grown by: three times the largest `big_config` of the site.
const MORE_ROUTES: usize = 3 * 350;
/// The `config_storm` of the site: a change each 80 ms for 2 s.
const STORM: u32 = 25;
const STORM_GAP_MS: u64 = 80;
/// The freeze of the site.
const FREEZE: Duration = Duration::from_millis(3_500);
/// `contactMs` and `configApplyMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// The key that the last version takes away.
const OLD_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// Ids of the requests that an engine has run.
type Runs = Arc<Mutex<Vec<String>>>;

fn start_engine(id: &'static str, runs: Runs, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let handle = move |req: &Message, out: &mut TcpStream, _: &mut ()| {
        let attempt = req.header("x-cyclamenlead-attempt-id").unwrap_or_default();
        if req.header("x-cyclamenlead-expected-instance") != Some(id) {
            let headers = [("X-Cyclamenlead-Instance-Id", id)];
            return out.write_all(&response("421 Misdirected Request", &headers, ""));
        }
        runs.lock().unwrap().push(attempt.to_string());
        record.line(format!("{id} runs {attempt}"));
        thread::sleep(Duration::from_millis(30));
        let signature = format!("sig.{id}.{attempt}");
        let headers = [
            ("X-Cyclamenlead-Attempt-Id", attempt),
            ("X-Cyclamenlead-Server-Signature", signature.as_str()),
        ];
        out.write_all(&response("200 OK", &headers, "available"))
    };
    http::serve(listener, handle);
    Ok(addr)
}

fn configuration(version: u32, keys: &[&str]) -> Json {
    let timeout = 1500 + version % 7;
    let mut routes = vec![world::route(
        "r-status",
        "/cufi504/",
        "idempotent",
        timeout,
        300,
        2,
        &[(DESK, 1)],
    )];
    routes.extend((0..MORE_ROUTES).map(|number| {
        let name = format!("r-more{number}");
        let prefix = format!("/more{number}/");
        world::route(&name, &prefix, "idempotent", timeout, 300, 2, &[(DESK, 1)])
    }));
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let tenants = format!(
        "[{{\"name\":\"{TENANT}\",\"apiKeys\":[{}],\"priority\":1,\"prepaid\":1000000}}]",
        keys.join(",")
    );
    world::configuration(version, &routes, &tenants)
}

/// Asks for the status of a kit, and returns the answer's status.
fn ask(front: SocketAddr, key: &str, id: &str, record: &Record) -> u16 {
    let token = format!("Bearer {key}");
    let headers = [
        ("Host", HOST),
        ("X-Cyclamenlead-Attempt-Id", id),
        ("X-Cyclamenlead-Deadline-Ms", "3000"),
        ("Authorization", token.as_str()),
    ];
    record.line(format!("client sends {id} with key {key}"));
    let answer = Conn::open(front, Duration::from_secs(4))
        .and_then(|mut conn| conn.call("GET", "/cufi504/fi50/2f", &headers, ""));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("client gets {status} for {id}"));
    status
}

fn case(world: &World) -> io::Result<bool> {
    let record = &world.record;
    let (store, store_addr) = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let runs = Runs::default();
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        let addr = start_engine(id, runs.clone(), record.clone())?;
        world::register(&store, id, DESK, addr, 6);
    }
    let mut version = 3;
    let config = configuration(version, &[KEY, OLD_KEY]);
    record.show(format!(
        "the configuration has {} bytes",
        config.to_string().len()
    ));
    store.put("config", "main", config);
    // "Seeds may be stale or down."
    let down = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let entry = world.start_entry("edge-almaty-a-1", store_addr, &[down])?;
    entry.wait_ready()?;
    world::sleep_ms(4_000);
    if ask(entry.front, OLD_KEY, "00000001", record) != 200 {
        return Err(io::Error::other("a key of the configuration is refused"));
    }

    let thaw_at = Instant::now() + FREEZE;
    if world::has_trouble() {
        entry.process.signal("STOP");
        record.show("the machine freezes");
    }
    world::sleep_ms(300);
    for number in 1..=STORM {
        version += 2;
        let keys: &[&str] = if number < STORM {
            &[KEY, OLD_KEY]
        } else {
            &[KEY]
        };
        store.put("config", "main", configuration(version, keys));
        world::sleep_ms(STORM_GAP_MS);
    }
    let acknowledged_at = Instant::now();
    record.show(format!(
        "the store has accepted {STORM} versions; the last takes a key away"
    ));
    thread::sleep(thaw_at.saturating_duration_since(Instant::now()));
    if world::has_trouble() {
        entry.process.signal("CONT");
        record.show("the machine wakes");
    }
    thread::sleep(CONTACT.max(CONFIG_APPLY) + Duration::from_millis(100));

    // The machine is in touch, and the last version is older than configApplyMs.
    let mut broken = 0;
    let mut refused = 0;
    for number in 0..60 {
        let age = acknowledged_at.elapsed();
        let id = format!("0000a{number:03}");
        match ask(entry.front, OLD_KEY, &id, record) {
            200 if runs.lock().unwrap().contains(&id) => {
                record.line(format!(
                    "CONFIG: {id} was run {age:?} after its key was taken away"
                ));
                broken += 1;
            }
            401 => refused += 1,
            _ => {}
        }
        world::sleep_ms(100);
    }
    record.show(format!(
        "of 60 requests with the withdrawn key {broken} ran, {refused} got 401"
    ));
    if broken == 0 && refused < 54 {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(broken == 0)
}

fn main() {
    world::run(case)
}
