//! Prints the example document of a quiz night router: engines draft quizzes, a plain service hires
//! out kits.

mod shared;

use std::{error::Error, process::ExitCode};

use cyc_config::{Route, Service};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Tokens;
use shared::{DESK_SLOTS, ENGINE_SLOTS, Fleet};

const ZONES: &[&str] = &["almaty-a", "almaty-b", "almaty-c"];
const ACCOUNTS: &[(&str, u32)] = &[
    ("school-league", 4),
    ("city-clubs", 4),
    ("wedding-halls", 2),
    ("club-nurlan", 1),
    ("club-medeu", 1),
    ("club-alatau", 1),
    ("club-turksib", 1),
    ("club-auezov", 1),
    ("club-bostandyk", 1),
    ("club-zhetysu", 1),
];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let writer = Service::new_engine(
        "writer".parse()?,
        "quiz-writer".parse()?,
        RouteClass::Drafting,
    );
    let desk = Service::new("hire-desk".parse()?)
        .with_route(
            Route::new("GET", "/kits/*", RouteClass::Status, Tokens::ZERO)
                .with_idempotent(true)
                .with_hedge(true),
        )
        .with_route(Route::new(
            "POST",
            "/bookings",
            RouteClass::Booking,
            Tokens::new(50),
        ))
        .with_route(Route::new(
            "POST",
            "/deposits",
            RouteClass::Booking,
            Tokens::new(20),
        ));
    let fleets = [
        Fleet {
            name: "writer",
            service: writer.id.clone(),
            count: 12,
            subnet: 1,
            zones: ZONES,
            slots: ENGINE_SLOTS,
            models: vec!["quiz-writer".parse()?],
        },
        Fleet {
            name: "desk",
            service: desk.id.clone(),
            count: 3,
            subnet: 2,
            zones: ZONES,
            slots: DESK_SLOTS,
            models: Vec::new(),
        },
    ];
    Ok(shared::print(shared::build(
        vec![writer, desk],
        &fleets,
        ACCOUNTS,
    )?))
}
