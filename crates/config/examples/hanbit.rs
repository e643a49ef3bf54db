//! Prints the example document of a fitting assistant: engines write guides and check faults, a
//! plain service books visits.

mod shared;

use std::{error::Error, process::ExitCode};

use cyc_config::{Route, Service};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Tokens;
use shared::{DESK_SLOTS, ENGINE_SLOTS, Fleet};

const ZONES: &[&str] = &["central-a", "central-b", "central-c"];
const ACCOUNTS: &[(&str, u32)] = &[
    ("head-office", 4),
    ("branch-seoul", 4),
    ("branch-daejeon", 2),
    ("branch-cheongju", 1),
    ("branch-sejong", 1),
    ("branch-cheonan", 1),
    ("branch-asan", 1),
    ("branch-gongju", 1),
    ("branch-jecheon", 1),
    ("branch-chungju", 1),
];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let guide = Service::new_engine(
        "guide".parse()?,
        "fitting-guide".parse()?,
        RouteClass::Drafting,
    );
    let check = Service::new_engine("check".parse()?, "fault-check".parse()?, RouteClass::Status);
    let desk = Service::new("branch-desk".parse()?)
        .with_route(
            Route::new("GET", "/quotes/*", RouteClass::Status, Tokens::ZERO)
                .with_idempotent(true)
                .with_hedge(true),
        )
        .with_route(Route::new(
            "POST",
            "/visits",
            RouteClass::Booking,
            Tokens::new(80),
        ))
        .with_route(Route::new(
            "POST",
            "/parts-orders",
            RouteClass::Booking,
            Tokens::new(120),
        ));
    let fleets = [
        Fleet {
            name: "guide",
            service: guide.id.clone(),
            count: 14,
            subnet: 1,
            zones: ZONES,
            slots: ENGINE_SLOTS,
            models: vec!["fitting-guide".parse()?],
        },
        Fleet {
            name: "check",
            service: check.id.clone(),
            count: 6,
            subnet: 2,
            zones: ZONES,
            slots: ENGINE_SLOTS,
            models: vec!["fault-check".parse()?],
        },
        Fleet {
            name: "desk",
            service: desk.id.clone(),
            count: 3,
            subnet: 3,
            zones: ZONES,
            slots: DESK_SLOTS,
            models: Vec::new(),
        },
    ];
    Ok(shared::print(shared::build(
        vec![guide, check, desk],
        &fleets,
        ACCOUNTS,
    )?))
}
