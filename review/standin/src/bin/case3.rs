//! Case 3: a route is split over two services whose events hold different numbers of tokens; the
//! entry bills all of them by the first one.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use review_standin::{
    client::Client,
    engine::{Engine, Runs},
    json::Json,
    store::Store,
    world::{self, DESK, ENGINES, World},
};

const PREPAID: u64 = 60_000;
const PATH: &str = "/lohu930/2f";
/// Tokens in an event of the service that takes half of the route later.
const NEW_STRIDE: u64 = 6;

/// The configuration with a second service of model engines.
fn configuration(version: u32, services: &[(&str, u32)]) -> Json {
    let route = world::route(
        "r-2yhvz3p",
        "/lohu930/",
        "streaming",
        8000,
        1200,
        1,
        services,
    );
    let mut config = world::configuration(version, &[route], &world::tenant(PREPAID));
    let Json::Obj(fields) = &mut config else {
        unreachable!()
    };
    let Some(Json::Arr(services)) = fields.get_mut("services") else {
        unreachable!()
    };
    let mut new = services[0].clone();
    if let Json::Obj(new) = &mut new {
        new.insert("name".into(), Json::str(DESK));
        if let Some(Json::Obj(engine)) = new.get_mut("engine") {
            engine.insert("stride".into(), Json::num(NEW_STRIDE));
        }
    }
    services[1] = new;
    config
}

fn case(world: &World) -> io::Result<bool> {
    let record = &world.record;
    let (store, store_addr) = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let runs = Runs::default();
    for (id, service, stride) in [
        ("i-7f3a91c2", ENGINES, 3),
        ("i-02d9e6b4", ENGINES, 3),
        ("i-55c0aa17", DESK, NEW_STRIDE),
        ("i-9b21f6e0", DESK, NEW_STRIDE),
    ] {
        let engine = Engine {
            id,
            stride,
            event_ms: 5,
            runs: runs.clone(),
            record: record.clone(),
        };
        world::register(&store, id, service, engine.start()?, 128);
    }
    store.put("config", "main", configuration(3, &[(ENGINES, 1)]));
    let (_relay, relay_addr) = world.start_relay("side-almaty-a-1", store_addr)?;
    let entry = world.start_entry("edge-almaty-a-1", store_addr, &[relay_addr])?;
    entry.wait_ready()?;
    world::sleep_ms(3_000);
    if world::has_trouble() {
        record.show("the operator splits the route");
        store.put(
            "config",
            "main",
            configuration(5, &[(ENGINES, 50), (DESK, 50)]),
        );
        world::sleep_ms(3_000);
    }

    let client = Client::new(record.clone());
    let until = Instant::now() + Duration::from_secs(60);
    for (size, refusals) in [((100, 240), 5), ((30, 12), 12)] {
        let is_done = |refused| refused >= refusals || Instant::now() >= until;
        client.load(
            &[entry.front],
            6,
            Duration::from_millis(60),
            size,
            PATH,
            is_done,
        )?;
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
