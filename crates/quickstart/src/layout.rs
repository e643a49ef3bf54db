//! What a deployment consists of, and the settings and the document for it.

use std::net::SocketAddr;

use cyc_config::{
    Account, ApiKey, Builder, Document, EngineState, Objective, Problem, Route, Service, Slots,
    Target,
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{Millis, Tokens, size::ParseValueError};
use strum::IntoEnumIterator as _;

/// The key that the processes share.
pub const PROCESS_KEY: &str = "quickstart-process-key";
/// The model of the writing engines.
pub const MODEL: &str = "writer";
/// The service of the writing engines.
pub const WRITING: &str = "writing";
/// The plain service.
pub const DESK: &str = "hire-desk";
/// The price of a booking.
pub const BOOKING_PRICE: Tokens = Tokens::new(100);
/// The price of a status check.
pub const STATUS_PRICE: Tokens = Tokens::new(1);
/// Latency of all objectives: a slow machine does not miss it.
pub const OBJECTIVE_LATENCY: Millis = Millis::new(60_000);
/// Share of requests within the latency.
pub const OBJECTIVE_SHARE: f64 = 0.9;
/// Window of all objectives.
pub const OBJECTIVE_WINDOW: Millis = Millis::new(24 * 3_600_000);

/// The kinds of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Desk,
}

/// How many processes of each kind there are, and what they are told.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Writing engines.
    pub engines: usize,
    /// Instances of the plain service.
    pub desks: usize,
    /// Entries.
    pub entries: usize,
    /// Client accounts, each with one budget of the same name.
    pub accounts: Vec<&'static str>,
    /// True if entries connect to sidecars without a relay between them, for measurements.
    pub direct: bool,
    /// Arguments of each engine.
    pub engine_args: Vec<String>,
    /// Lines added to the settings of entries, by section.
    pub entry_settings: Vec<(&'static str, String)>,
    /// Lines added to the settings of sidecars, by section.
    pub sidecar_settings: Vec<(&'static str, String)>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            engines: 2,
            desks: 2,
            entries: 2,
            accounts: vec!["league", "club"],
            direct: false,
            engine_args: Vec::new(),
            entry_settings: Vec::new(),
            sidecar_settings: Vec::new(),
        }
    }
}

impl Layout {
    /// The sizes of Dala: a dozen writing engines and three hire-desk engines.
    pub fn new_dala() -> Self {
        Self {
            engines: 12,
            desks: 3,
            ..Self::default()
        }
    }

    /// Connects entries to sidecars without a relay between them.
    pub fn with_direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Adds a line to the settings of every entry.
    pub fn with_entry_setting(mut self, section: &'static str, line: impl Into<String>) -> Self {
        self.entry_settings.push((section, line.into()));
        self
    }

    /// Adds a line to the settings of every sidecar.
    pub fn with_sidecar_setting(mut self, section: &'static str, line: impl Into<String>) -> Self {
        self.sidecar_settings.push((section, line.into()));
        self
    }

    /// Adds an argument to every engine.
    pub fn with_engine_arg(mut self, arg: impl Into<String>) -> Self {
        self.engine_args.push(arg.into());
        self
    }
}

/// Returns the API key of an account's callers.
pub fn api_key(account: &str) -> String {
    format!("key-of-{account}")
}

/// Returns the availability zone of the `n`th process of a kind.
pub fn zone(n: usize) -> String {
    format!("almaty-{}", ["a", "b", "c"][n % 3])
}

/// Writes settings: each line under its section. A later line of a key replaces an earlier one.
pub fn settings_text(lines: &[(&str, String)]) -> String {
    let mut sections: Vec<&str> = Vec::new();
    for (section, _) in lines {
        if !sections.contains(section) {
            sections.push(section);
        }
    }
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("[{section}]\n"));
        let lines = lines.iter().filter(|(name, _)| *name == section);
        let lines: Vec<&String> = lines.map(|(_, line)| line).collect();
        for (n, line) in lines.iter().enumerate() {
            let is_replaced = |later: &&String| key_of(later) == key_of(line);
            if !lines[n + 1..].iter().any(is_replaced) {
                text.push_str(&format!("{line}\n"));
            }
        }
    }
    text
}

fn key_of(line: &str) -> &str {
    line.split('=').next().unwrap_or(line).trim()
}

/// Why a document could not be written.
#[derive(Debug)]
pub enum DocumentError {
    /// A name is not an id.
    Name(ParseValueError),
    /// The document is not valid.
    Invalid(Vec<Problem>),
}

impl From<ParseValueError> for DocumentError {
    fn from(error: ParseValueError) -> Self {
        Self::Name(error)
    }
}

/// Writes the document for a layout whose sidecars listen on the given addresses.
///
/// # Errors
/// See [`DocumentError`].
pub fn document(
    layout: &Layout,
    engines: &[SocketAddr],
    desks: &[SocketAddr],
) -> Result<Document, DocumentError> {
    let writing = Service::new_engine(WRITING.parse()?, MODEL.parse()?, RouteClass::Drafting);
    let status =
        Route::new("GET", "/kits/*", RouteClass::Status, STATUS_PRICE).with_idempotent(true);
    let booking = Route::new("POST", "/bookings", RouteClass::Booking, BOOKING_PRICE);
    let desk = Service::new(DESK.parse()?)
        .with_route(status)
        .with_route(booking);
    let mut builder = Builder::new().with_service(writing).with_service(desk);
    let slots = Slots {
        status: 32,
        booking: 8,
        drafting: 16,
    };
    for (n, addr) in engines.iter().enumerate() {
        let place = (format!("vm-engine-{n}").parse()?, zone(n).parse()?);
        let state = EngineState {
            models: vec![MODEL.parse()?],
            ..EngineState::default()
        };
        let target = Target::new(
            format!("engine-{n}").parse()?,
            WRITING.parse()?,
            place,
            *addr,
        )
        .with_slots(slots)
        .with_engine(state);
        builder = builder.with_target(target);
    }
    for (n, addr) in desks.iter().enumerate() {
        let place = (format!("vm-desk-{n}").parse()?, zone(n).parse()?);
        let target = Target::new(format!("desk-{n}").parse()?, DESK.parse()?, place, *addr)
            .with_slots(slots);
        builder = builder.with_target(target);
    }
    for name in &layout.accounts {
        let account = Account::new(name.parse()?)
            .with_budget(name.parse()?)
            .with_key(ApiKey::new(&api_key(name), name.parse()?));
        builder = builder.with_account(account);
    }
    for class in RouteClass::iter() {
        builder = builder.with_objective(Objective {
            class,
            latency_ms: OBJECTIVE_LATENCY,
            share: OBJECTIVE_SHARE,
            window_ms: OBJECTIVE_WINDOW,
        });
    }
    builder.build().map_err(DocumentError::Invalid)
}
