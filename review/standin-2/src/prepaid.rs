//! An entry is stopped and started again while the store loses answers of writes; afterwards each
//! tenant uses what is left of its prepaid tokens.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Outcome, RUNS, engine::Engine, http, process::Entry, record::Record, store::Store};

/// Tenants with traffic.
const TENANTS: usize = 4;
/// Tokens that each tenant has paid for.
const PREPAID: u64 = 200_000;
const INPUT: u64 = 715;
const MAX_OUTPUT: u64 = 300;
/// Output tokens of an event.
const STRIDE: u64 = 4;
/// Stops and starts of the entry.
const ROUNDS: usize = 7;
/// Traffic before each stop.
const TRAFFIC: Duration = Duration::from_millis(2_000);
/// Pause of each tenant between two requests.
const GAP: Duration = Duration::from_millis(100);
/// The bound `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// From SIGTERM until the store begins to lose answers, which it does for 4.5 s.
const LOSS_AFTER: Duration = Duration::from_millis(5_000);
const LOSS_TIME: Duration = Duration::from_millis(4_500);
/// From the end of the process until the platform starts it again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Share of the writes whose answers are lost.
const LOSS_SHARE: f64 = 0.35;

static NUMBER: AtomicU64 = AtomicU64::new(0);
/// Events that the clients of each tenant got.
static EVENTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

fn configuration() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|index| {
            format!(
                "{{\"name\":\"tenant{index}\",\"apiKeys\":[\"key{index}\"],\"priority\":1,\
                 \"prepaid\":{PREPAID}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"chat\",\"host\":\"fitters.example\",\
         \"pathPrefix\":\"/chat/\",\"routeKind\":\"streaming\",\"timeoutMs\":15000,\"sloMs\":600,\
         \"priority\":1,\"service\":\"bell-assist\",\"attempts\":1,\"public\":false,\
         \"sticky\":true,\"canResume\":false,\"gapTargetMs\":500}}],\
         \"services\":[{{\"name\":\"bell-assist\",\"healthPath\":\"/healthz\",\"maxConns\":480,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":96,\"kvCapacity\":195428,\
         \"stride\":{STRIDE},\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// Sends one request of a tenant and returns the status.
fn send(front: SocketAddr, tenant: usize, path: &str, record: &Record) -> u16 {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = format!("a{number}");
    let key = format!("Bearer key{tenant}");
    let counts = format!("{INPUT},{MAX_OUTPUT}");
    let parts = format!("aa{tenant}:172,bb{number}:543");
    let headers = [
        ("Host", "fitters.example"),
        ("X-Cyclamenlead-Attempt-Id", id.as_str()),
        ("X-Cyclamenlead-Model", "m"),
        ("X-Cyclamenlead-Token-Counts", counts.as_str()),
        ("X-Cyclamenlead-Prefix-Hash", parts.as_str()),
        ("X-Cyclamenlead-Deadline-Ms", "15000"),
        ("Authorization", key.as_str()),
    ];
    let limit = Duration::from_secs(16);
    let got = http::call(front, "POST", path, &headers, b"{}", limit);
    let events = match got.status {
        200 => String::from_utf8_lossy(&got.body).matches("data: ").count() as u64,
        _ => 0,
    };
    record.line(&format!(
        "client tenant{tenant} {id}: {} with {events} events{}",
        got.status,
        if got.is_whole { "" } else { ", broken off" }
    ));
    *EVENTS
        .lock()
        .unwrap()
        .entry(format!("tenant{tenant}"))
        .or_default() += events;
    got.status
}

pub fn run(program: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let seed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| since.as_nanos() as u64);
    record.line(&format!("seed {seed}"));
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start(record.clone(), seed).map_err(text)?;
    let engine = Engine::start("i-1", record.clone()).map_err(text)?;
    store.put("config", "main", &configuration());
    store.put(
        "servers",
        "i-1",
        &engine.registration("bell-assist", 1_700_000_000_000),
    );
    let mut entry =
        Entry::new("edge-1", program, folder, store.addr, record.clone()).map_err(text)?;
    entry.start().map_err(text)?;
    for _ in 0..ROUNDS {
        if !entry.wait_ready(Duration::from_secs(10)) {
            return Err("the entry is not ready".into());
        }
        thread::sleep(Duration::from_millis(700));
        let front = entry.front;
        thread::scope(|scope| {
            let until = Instant::now() + TRAFFIC;
            for tenant in 0..TENANTS {
                scope.spawn(move || {
                    while Instant::now() < until {
                        send(front, tenant, "/chat/short", record);
                        thread::sleep(GAP);
                    }
                });
            }
        });
        // A stream that lasts 12 s keeps the entry until the end of its grace time.
        let long = record.clone();
        let stream = thread::spawn(move || send(front, 0, "/chat/long", &long));
        thread::sleep(Duration::from_millis(700));
        entry.terminate()?;
        let lossy = store.clone();
        let loss = thread::spawn(move || {
            if has_trouble {
                thread::sleep(LOSS_AFTER);
                lossy.lose_answers(LOSS_SHARE);
                thread::sleep(LOSS_TIME);
                lossy.lose_answers(0.0);
            }
        });
        entry.wait_end(GRACE);
        stream.join().ok();
        thread::sleep(RESTART_TIME);
        entry.start().map_err(text)?;
        loss.join().ok();
    }
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err("the entry is not ready".into());
    }
    thread::sleep(Duration::from_millis(1_500));
    let front = entry.front;
    // Each tenant asks until nothing is left.
    let until = Instant::now() + Duration::from_secs(25);
    thread::scope(|scope| {
        for tenant in 0..TENANTS {
            scope.spawn(move || {
                let mut refused = 0;
                while refused < 12 && Instant::now() < until {
                    match send(front, tenant, "/chat/short", record) {
                        200 => refused = 0,
                        _ => {
                            refused += 1;
                            thread::sleep(Duration::from_millis(250));
                        }
                    }
                }
            });
        }
    });
    drop(entry);
    judge(record)
}

/// Compares what the tenants got with what they paid for.
fn judge(record: &Record) -> Outcome {
    let mut inputs: BTreeMap<String, u64> = BTreeMap::new();
    for (_, tenant, counts) in RUNS.lock().unwrap().iter() {
        let input = counts
            .split(',')
            .next()
            .and_then(|input| input.parse().ok());
        *inputs.entry(tenant.clone()).or_default() += input.unwrap_or(0);
    }
    let events = EVENTS.lock().unwrap();
    let mut is_kept = true;
    let mut are_used_up = inputs.len() == TENANTS;
    for (tenant, input) in &inputs {
        let output = events.get(tenant).copied().unwrap_or(0) * STRIDE;
        let used = input + output;
        let is_over = used > PREPAID;
        is_kept &= !is_over;
        are_used_up &= used >= PREPAID / 10 * 9;
        record.show(&format!(
            "{tenant}: {input} input tokens, {output} output tokens delivered, {used} of {PREPAID} \
             prepaid{}",
            if is_over { ": MORE THAN PREPAID" } else { "" }
        ));
    }
    match is_kept && !are_used_up {
        true => Err("the tenants did not use up what they paid for".into()),
        false => Ok(is_kept),
    }
}
