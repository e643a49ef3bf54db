//! The front library of cyclamenlead: what other programs embed.
//!
//! # Which part is for what
//!
//! | part | for |
//! | --- | --- |
//! | [`types`] | ids, sizes, the clock, the list of error kinds with the table from kind to answer |
//! | [`config`] | the document of services, routes, targets and client accounts, and its builder |
//! | [`platform`] | the trait [`platform::Platform`] and its HTTP client: the only place where anything lasts |
//! | [`budget`] | prepaid budgets that many processes spend from at once, without going over |
//! | [`ledger`] | receipts, each billed once, and the spend report |
//! | [`claim`] | requests that run at most once |
//! | [`member`] | registration of processes, and fences against those that were replaced |
//! | [`route`] | the choice among targets: load, caches, ejection, fair pools |
//! | [`burn`] | service levels: error budgets and burn rates |
//!
//! The parts that coordinate processes are `budget`, `ledger`, `claim` and `member`. All of them
//! do so by conditional updates of objects in the platform, and none of them trusts a timeout:
//!
//! - To limit what many processes use of something countable, hold grants of it with
//!   [`budget::Keeper`] and [`budget::Purse`]. A process that is cut off spends only its grant.
//! - To record each use once, give receipts to [`ledger::Ledger`].
//! - To run something at most once, claim it with [`claim::Committer`] before it runs.
//! - To know whether this process was replaced, register with [`member::register`] and heed the
//!   fences.
//!
//! # A configuration
//!
//! An operator's program builds the document, prints it and submits it with the command
//! `cyclamen submit`:
//!
//! ```
//! use cyclamenlead::{
//!     config::{Account, ApiKey, Builder, Route, RouteClass, Service, Slots, Target},
//!     types::Tokens,
//! };
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let status = Route::new("GET", "/kits/*", RouteClass::Status, Tokens::new(1))
//!     .with_idempotent(true);
//! let booking = Route::new("POST", "/bookings", RouteClass::Booking, Tokens::new(100));
//! let desk = Service::new("hire-desk".parse()?)
//!     .with_route(status)
//!     .with_route(booking);
//! let place = ("vm-desk-1".parse()?, "almaty-a".parse()?);
//! let addr = "10.20.2.1:7100".parse()?;
//! let target = Target::new("desk-1".parse()?, "hire-desk".parse()?, place, addr)
//!     .with_slots(Slots { status: 32, booking: 8, drafting: 0 });
//! let league = Account::new("school-league".parse()?)
//!     .with_budget("school-league".parse()?)
//!     .with_key(ApiKey::new("a key that callers send", "school-league".parse()?));
//! let built = Builder::new()
//!     .with_service(desk)
//!     .with_target(target)
//!     .with_account(league)
//!     .build();
//! match &built {
//!     Ok(doc) => println!("{}", doc.to_json()),
//!     Err(problems) => problems.iter().for_each(|problem| eprintln!("{problem}")),
//! }
//! # assert!(built.is_ok());
//! # Ok(())
//! # }
//! ```

/// Ids, sizes, the clock and the error kinds.
pub mod types {
    pub use cyc_types::*;
}

/// The operators' document and its builder.
pub mod config {
    pub use cyc_config::*;
    pub use cyc_proto::sidecar::RouteClass;
}

/// The platform's services.
pub mod platform {
    pub use cyc_store::*;
}

/// Budgets held in escrow.
pub mod budget {
    pub use cyc_budget::*;
}

/// Receipts and the spend report.
pub mod ledger {
    pub use cyc_ledger::*;
}

/// Claims of requests that run at most once.
pub mod claim {
    pub use cyc_claim::*;
}

/// Registration of processes, and fences.
pub mod member {
    pub use cyc_member::*;
}

/// The choice among targets.
pub mod route {
    pub use cyc_route::*;
}

/// Service levels.
pub mod burn {
    pub use cyc_burn::*;
}
