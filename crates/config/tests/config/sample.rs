//! A small valid document.

use cyc_config::{
    Account, ApiKey, Builder, Document, EngineState, Objective, Route, Service, Slots, Target,
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{Millis, Tokens};

/// Parses a valid id of any type.
pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid id")
}

/// Returns an account with one budget of the same name and the key `key of <name>`.
pub fn account(name: &str) -> Account {
    Account::new(id(name))
        .with_budget(id(name))
        .with_key(ApiKey::new(&format!("key of {name}"), id(name)))
}

/// Returns a document with one engine service, one plain service and a target of each.
pub fn document() -> Document {
    let slots = Slots {
        status: 4,
        booking: 2,
        drafting: 8,
    };
    let vm_and_zone = |vm: &str| (id(vm), id("almaty-a"));
    let hire = Service::new(id("hire-desk"))
        .with_route(
            Route::new("GET", "/kits/*", RouteClass::Status, Tokens::ZERO)
                .with_idempotent(true)
                .with_hedge(true),
        )
        .with_route(Route::new(
            "POST",
            "/kits/*",
            RouteClass::Status,
            Tokens::new(1),
        ))
        .with_route(Route::new(
            "POST",
            "/kits/book",
            RouteClass::Booking,
            Tokens::new(5),
        ));
    let writer = Service::new_engine(id("writer"), id("quiz-7b"), RouteClass::Drafting)
        .with_adapter(id("quiz-kk"));
    let engine = EngineState {
        models: vec![id("quiz-7b"), id("quiz-kk")],
        ..Default::default()
    };
    let target = |name: &str, service: &str, addr: &str| {
        Target::new(id(name), id(service), vm_and_zone(name), id(addr)).with_slots(slots)
    };
    Builder::new()
        .with_service(writer)
        .with_service(hire)
        .with_target(target("writer-1", "writer", "127.0.0.1:7001").with_engine(engine))
        .with_target(target("desk-1", "hire-desk", "127.0.0.1:7002"))
        .with_objective(Objective {
            class: RouteClass::Status,
            latency_ms: Millis::new(200),
            share: 0.99,
            window_ms: Millis::new(3_600_000),
        })
        .with_account(account("league"))
        .with_account(account("clubs"))
        .build()
        .expect("valid document")
}
