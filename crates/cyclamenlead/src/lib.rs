//! The public library of cyclamenlead, for programs that embed its parts. It re-exports other crates
//! and has no code of its own.
//!
//! # Parts
//!
//! | part | purpose |
//! | --- | --- |
//! | [`types`] | ids, sizes, the clock, the error kinds and the responses that they map to |
//! | [`config`] | the document of services, routes, targets and client accounts, and its builder |
//! | [`platform`] | the trait [`platform::Platform`] and its HTTP client: the only durable storage |
//! | [`budget`] | prepaid budgets that many processes spend from concurrently without overspending |
//! | [`ledger`] | receipts, each billed exactly once, and the spend report |
//! | [`claim`] | at-most-once execution of requests |
//! | [`member`] | registration of processes, and fencing of processes that were replaced |
//! | [`route`] | the choice of a target: load, prefix caches, ejection, fair pools |
//! | [`burn`] | service levels: error budgets and burn rates |
//!
//! `budget`, `ledger`, `claim` and `member` coordinate processes. They do so by conditional updates
//! of objects in the platform, and none of them relies on a timeout for correctness:
//!
//! - To limit how much of a countable resource many processes use together, hold grants with
//!   [`budget::BudgetController`] and [`budget::WalletHandle`]. A partitioned process can spend only
//!   its grant.
//! - To record each use exactly once, pass receipts to [`ledger::Ledger`].
//! - To run a request at most once, claim it with [`claim::Committer`] before running it.
//! - To find out whether this process was replaced, register with [`member::register`] and obey the
//!   fences.
//!
//! # Example: a configuration
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
//! let location = ("vm-desk-1".parse()?, "almaty-a".parse()?);
//! let addr = "10.20.2.1:7100".parse()?;
//! let target = Target::new("desk-1".parse()?, "hire-desk".parse()?, location, addr)
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

/// The configuration document that operators submit, and its builder.
pub mod config {
    pub use cyc_config::*;
    pub use cyc_proto::sidecar::RouteClass;
}

/// The trait of the platform's services and its HTTP client.
pub mod platform {
    pub use cyc_store::*;
}

/// Prepaid budgets, spent from by grants.
pub mod budget {
    pub use cyc_budget::*;
}

/// Receipts and the spend report.
pub mod ledger {
    pub use cyc_ledger::*;
}

/// Claims for at-most-once execution of requests.
pub mod claim {
    pub use cyc_claim::*;
}

/// Registration and fencing of processes.
pub mod member {
    pub use cyc_member::*;
}

/// The choice of a target for a request.
pub mod route {
    pub use cyc_route::*;
}

/// Service levels: objectives, error budgets and burn rates.
pub mod burn {
    pub use cyc_burn::*;
}
