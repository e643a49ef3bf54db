//! The composition of a deployment, with its settings files and its configuration document.

use std::net::SocketAddr;

use cyc_config::{
    Account, ApiKey, Builder, Document, EngineState, Objective, Problem, Route, Service, Slots,
    Target,
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{Millis, Tokens, size::ParseValueError};
use strum::IntoEnumIterator as _;

/// Process key shared by all processes of the deployment.
pub const PROCESS_KEY: &str = "quickstart-process-key";
/// Model that every engine holds.
pub const MODEL: &str = "writer";
/// Engine service that serves [`MODEL`].
pub const WRITING_SERVICE: &str = "writing";
/// Id of the plain service.
pub const HIRE_DESK_SERVICE: &str = "hire-desk";
/// Price of one booking.
pub const BOOKING_PRICE: Tokens = Tokens::new(100);
/// Price of one status check.
pub const STATUS_PRICE: Tokens = Tokens::new(1);
/// Latency bound of all objectives, long enough to be met on a slow machine.
pub const OBJECTIVE_LATENCY: Millis = Millis::new(60_000);
/// Share of requests that must be answered within [`OBJECTIVE_LATENCY`].
pub const OBJECTIVE_SHARE: f64 = 0.9;
/// Time window of all objectives.
pub const OBJECTIVE_WINDOW: Millis = Millis::new(24 * 3_600_000);

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// An instance of the plain service.
    Service,
}

/// The number of processes of each kind, with their settings and arguments.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Number of model engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    pub service_instances: usize,
    /// Number of entries.
    pub entries: usize,
    /// Client accounts; each has one budget of the same name.
    pub accounts: Vec<&'static str>,
    /// Whether entries connect to sidecars without a relay between them, as measurements need.
    pub bypass_relays: bool,
    /// Whether status checks are hedged.
    pub hedge: bool,
    /// Models and adapters that the engines hold besides [`MODEL`], each with a service of its own.
    /// An adapter is written as `model:adapter`.
    pub extra_models: Vec<&'static str>,
    /// Command-line arguments of every engine.
    pub engine_args: Vec<String>,
    /// Additional settings of every entry, as pairs of section and line.
    pub entry_settings: Vec<(&'static str, String)>,
    /// Additional settings of every sidecar, as pairs of section and line.
    pub sidecar_settings: Vec<(&'static str, String)>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            engines: 2,
            service_instances: 2,
            entries: 2,
            accounts: vec!["league", "club"],
            bypass_relays: false,
            hedge: false,
            extra_models: Vec::new(),
            engine_args: Vec::new(),
            entry_settings: Vec::new(),
            sidecar_settings: Vec::new(),
        }
    }
}

impl Layout {
    /// Creates the layout of Dala: 12 engines and 3 instances of the plain service.
    pub fn new_dala() -> Self {
        Self {
            engines: 12,
            service_instances: 3,
            ..Self::default()
        }
    }

    /// Connects entries to sidecars without a relay between them.
    pub fn without_relays(mut self) -> Self {
        self.bypass_relays = true;
        self
    }

    /// Hedges status checks.
    pub fn with_hedge(mut self) -> Self {
        self.hedge = true;
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

    /// Adds a command-line argument to every engine.
    pub fn with_engine_arg(mut self, arg: impl Into<String>) -> Self {
        self.engine_args.push(arg.into());
        self
    }
}

/// API key of the callers of an account.
pub fn api_key(account: &str) -> String {
    format!("key-of-{account}")
}

/// Availability zone of the `n`th process of a kind.
pub fn zone(n: usize) -> String {
    format!("almaty-{}", ["a", "b", "c"][n % 3])
}

/// Formats a settings file with each line under its section. Of several lines with the same key in
/// a section, the last is kept.
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
            let is_replaced = |later: &&String| setting_key(later) == setting_key(line);
            if !lines[n + 1..].iter().any(is_replaced) {
                text.push_str(&format!("{line}\n"));
            }
        }
    }
    text
}

fn setting_key(line: &str) -> &str {
    line.split('=').next().unwrap_or(line).trim()
}

/// Error from building the configuration document.
#[derive(Debug)]
pub enum DocumentError {
    /// A name is not a valid id.
    Name(ParseValueError),
    /// The document did not pass validation.
    Invalid(Vec<Problem>),
}

impl From<ParseValueError> for DocumentError {
    fn from(error: ParseValueError) -> Self {
        Self::Name(error)
    }
}

/// Builds the configuration document of a layout whose sidecars listen on the given addresses.
///
/// # Errors
/// See [`DocumentError`].
pub fn document(
    layout: &Layout,
    engines: &[SocketAddr],
    service_instances: &[SocketAddr],
) -> Result<Document, DocumentError> {
    let writing = Service::new_engine(
        WRITING_SERVICE.parse()?,
        MODEL.parse()?,
        RouteClass::Drafting,
    );
    let status = Route::new("GET", "/kits/*", RouteClass::Status, STATUS_PRICE)
        .with_idempotent(true)
        .with_hedge(layout.hedge);
    let booking = Route::new("POST", "/bookings", RouteClass::Booking, BOOKING_PRICE);
    let hire_desk = Service::new(HIRE_DESK_SERVICE.parse()?)
        .with_route(status)
        .with_route(booking);
    let mut builder = Builder::new().with_service(writing).with_service(hire_desk);
    let mut models = vec![MODEL.parse()?];
    let mut services = vec![WRITING_SERVICE.parse()?];
    for name in &layout.extra_models {
        let service = extra_service(name)?;
        models.extend(service.chat_name().cloned());
        services.push(service.id.clone());
        builder = builder.with_service(service);
    }
    let slots = Slots {
        status: 32,
        booking: 8,
        drafting: 16,
    };
    for (n, addr) in engines.iter().enumerate() {
        let place = (format!("vm-engine-{n}").parse()?, zone(n).parse()?);
        let state = EngineState {
            models: models.clone(),
            ..EngineState::default()
        };
        let mut target = Target::new(
            format!("engine-{n}").parse()?,
            WRITING_SERVICE.parse()?,
            place,
            *addr,
        )
        .with_slots(slots)
        .with_engine(state);
        target.services = services.clone();
        builder = builder.with_target(target);
    }
    for (n, addr) in service_instances.iter().enumerate() {
        let place = (format!("vm-desk-{n}").parse()?, zone(n).parse()?);
        let target = Target::new(
            format!("desk-{n}").parse()?,
            HIRE_DESK_SERVICE.parse()?,
            place,
            *addr,
        )
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

/// Builds the service of a model, or of an adapter written as `model:adapter`.
fn extra_service(name: &str) -> Result<Service, ParseValueError> {
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    let id = format!("{WRITING_SERVICE}-{}", adapter.unwrap_or(model)).parse()?;
    let service = Service::new_engine(id, model.parse()?, RouteClass::Drafting);
    Ok(match adapter {
        Some(adapter) => service.with_adapter(adapter.parse()?),
        None => service,
    })
}
