//! Case 2: an entry that is cut off from the platform returns tokens with a write whose answer does
//! not reach it, takes them back after the cut, and they are spent a second time.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use review_standin::{
    client::Client,
    engine::{Engine, Runs},
    json::Json,
    proxy::Links,
    store::Store,
    world::{self, ENGINES, TENANT, World},
};

const PREPAID: u64 = 600_000;
const PATH: &str = "/pufi791/2f";
/// How long the busy time lasts before the tenant calms down.
const BUSY: Duration = Duration::from_secs(6);
/// Length of the cut of one entry from the platform and the side machines.
const CUT: Duration = Duration::from_secs(38);
/// Time from the end of the busy time to the cut. The entry returns what it no longer needs after
/// about three seconds.
const CALM: Duration = Duration::from_millis(2_300);
/// How long the tenant then stays calm.
const STILL_CALM: Duration = Duration::from_millis(3_000);

/// The entries of the case; the machine whose link is to be cut is the one that returns tokens.
const ENTRIES: [&str; 2] = ["edge-almaty-a-1", "edge-almaty-b-1"];

fn drawn(record: &Json) -> u64 {
    record.get("drawn").and_then(Json::u64).unwrap_or_default()
}

/// The entry that wrote `after` over `before`.
fn writer(before: &Json, after: &Json) -> Option<usize> {
    let holder =
        |record: &Json, name: &str| record.get("holders").and_then(|all| all.get(name)).cloned();
    ENTRIES
        .iter()
        .position(|name| holder(before, name) != holder(after, name))
}

fn case(world: &World) -> io::Result<bool> {
    let record = &world.record;
    let (store, store_addr) = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let runs = Runs::default();
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        let engine = Engine {
            id,
            stride: 3,
            event_ms: 2,
            runs: runs.clone(),
            record: record.clone(),
        };
        world::register(&store, id, ENGINES, engine.start()?, 128);
    }
    let route = world::route(
        "r-draft",
        "/pufi791/",
        "streaming",
        8000,
        1200,
        1,
        &[(ENGINES, 1)],
    );
    store.put(
        "config",
        "main",
        world::configuration(3, &[route], &world::tenant(PREPAID)),
    );
    let (_relay, relay_addr) = world.start_relay("side-almaty-a-1", store_addr)?;
    let links: Vec<Links> = ENTRIES.iter().map(|_| Links::default()).collect();
    let mut entries = Vec::new();
    for (name, links) in ENTRIES.iter().zip(&links) {
        let (store, relay) = (links.proxy(store_addr)?, links.proxy(relay_addr)?);
        entries.push(world.start_entry(name, store, &[relay])?);
    }
    for entry in &entries {
        entry.wait_ready()?;
    }
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    world::sleep_ms(3_000);

    // The entry that last wrote the tenant's record, as the operator could see it in the store.
    let last_writer: Arc<Mutex<Option<usize>>> = Arc::default();
    {
        let (last_writer, record) = (last_writer.clone(), record.clone());
        store.set_hook(move |kind, name, before, after| {
            if kind == "prepaid-shares" && name == TENANT {
                record.line(format!("store writes {after}"));
                let entry = before.and_then(|before| writer(before, after));
                if entry.is_some() {
                    *last_writer.lock().unwrap() = entry;
                }
                let returned = before.map_or(0, drawn).saturating_sub(drawn(after));
                if let Some(entry) = entry.filter(|_| returned > 0) {
                    record.show(format!("{} returns {returned} tokens", ENTRIES[entry]));
                }
            }
            true
        });
    }

    let client = Client::new(record.clone());
    let until = Instant::now() + BUSY;
    let pause = Duration::from_millis(150);
    client.load(&fronts, 4, pause, (400, 30), PATH, |_| {
        Instant::now() >= until
    })?;
    record.show(format!(
        "after the busy time: {} tokens consumed",
        client.consumed()
    ));

    // The machine that last wrote under a condition is cut off.
    std::thread::sleep(CALM);
    let mut cut = None;
    if world::has_trouble() {
        let writer = last_writer
            .lock()
            .unwrap()
            .ok_or_else(|| io::Error::other("no record"))?;
        links[writer].cut();
        record.show(format!(
            "{} is cut off from the platform, one way",
            ENTRIES[writer]
        ));
        cut = Some(writer);
    }
    let until = Instant::now() + CUT;
    std::thread::sleep(STILL_CALM);
    // The tenant goes on at the entry that still reaches the store.
    let other = cut.map_or(fronts.clone(), |cut| vec![fronts[1 - cut]]);
    let pause = Duration::from_millis(250);
    client.load(&other, 2, pause, (250, 30), PATH, |_| {
        Instant::now() >= until
    })?;
    if let Some(cut) = cut {
        links[cut].heal();
        record.show(format!("{} reaches the platform again", ENTRIES[cut]));
    }
    world::sleep_ms(8_000);

    // The tenant uses up what it has paid for: with large requests, then with small ones.
    let until = Instant::now() + Duration::from_secs(30);
    for (size, refusals) in [((1_400, 30), 5), ((90, 9), 12)] {
        let is_done = |refused| refused >= refusals || Instant::now() >= until;
        client.load(&fronts, 8, Duration::from_millis(60), size, PATH, is_done)?;
    }
    let consumed = client.consumed();
    record.show(format!("{consumed} of {PREPAID} prepaid tokens consumed"));
    if consumed < PREPAID * 4 / 5 {
        return Err(io::Error::other(
            "the tenant did not come near its prepaid total",
        ));
    }
    Ok(consumed <= PREPAID)
}

fn main() {
    world::run(case)
}
