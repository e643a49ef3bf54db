//! The active configuration: routes, services, accounts and limits for callers.

use std::{collections::HashMap, sync::Arc};

use cyc_types::{
    ByteSize, ClientAccountId, ErrorKind, Millis, PerSecond, Revision, ServiceId, Tokens,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

/// Retry and response semantics of the requests of a route.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request must run at most once.
    NonIdempotent,
    /// An event stream that must run at most once.
    Stream,
    /// An event stream that another target may resume after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns true if a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns true if the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the sum over the route.
    pub weight: u32,
}

/// Requests for one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, chosen by operators.
    pub name: SmolStr,
    /// Host in lower case.
    pub host: SmolStr,
    /// Path prefix. Invariant: begins and ends with a slash.
    pub prefix: SmolStr,
    /// Retry and response semantics.
    pub kind: RouteKind,
    /// Maximum time to the end of the response.
    pub timeout: Millis,
    /// Latency objective of the response.
    pub objective: Millis,
    /// Longest pause between two events with which a stream is on time; `None` if pauses do not
    /// matter.
    #[serde(default)]
    pub longest_pause: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that get the requests. Invariant: not empty, and the sum of the weights is above
    /// zero.
    pub splits: Vec<Split>,
    /// Maximum targets that one request is sent to. Invariant: at least 1.
    pub attempts: u32,
    /// No API key is required.
    pub is_public: bool,
}

impl Route {
    /// Selects the service for a request; `random` is a uniform random number.
    pub fn service(&self, random: u32) -> &ServiceId {
        let sum: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut rest = random % sum.max(1);
        for split in &self.splits {
            if rest < split.weight {
                return &split.service;
            }
            rest -= split.weight;
        }
        &self.splits[0].service
    }
}

/// How targets of a service that have just started take requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target is cold after its start.
    pub time: Millis,
    /// Requests a second that a cold target takes from all entries together.
    pub rate: PerSecond,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one target accepts from all entries together.
    pub max_connections: u32,
    /// Requests that one model engine processes concurrently; `None` for plain services.
    pub batch: Option<u32>,
    /// Output tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Tokens that fit in the memory of one model engine.
    #[serde(default)]
    pub memory: Option<Tokens>,
    /// `None` if targets take their usual load from the start.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Id of the account.
    pub id: ClientAccountId,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// Prepaid total; `None` if usage is not limited.
    pub prepaid: Option<Tokens>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head.
    pub header_bytes: ByteSize,
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Idle timeout of a connection.
    pub idle: Millis,
}

/// The parts of a [`Configuration`] in messages between processes.
#[derive(Debug, Serialize, Deserialize)]
struct Parts {
    revision: Revision,
    limits: Limits,
    routes: Vec<Route>,
    services: Vec<(ServiceId, Service)>,
    /// Accounts with their API keys.
    accounts: Vec<(Account, Vec<SmolStr>)>,
}

impl From<Parts> for Configuration {
    fn from(parts: Parts) -> Self {
        let config = Self::new(parts.revision, parts.limits).with_routes(parts.routes);
        let config = parts
            .services
            .into_iter()
            .fold(config, |config, (id, service)| {
                config.with_service(id, service)
            });
        parts
            .accounts
            .into_iter()
            .fold(config, |config, (account, keys)| {
                config.with_account(account, keys)
            })
    }
}

impl From<Configuration> for Parts {
    fn from(config: Configuration) -> Self {
        let mut keys: HashMap<ClientAccountId, Vec<SmolStr>> = HashMap::new();
        for (key, account) in config.keys {
            keys.entry(account.id.clone()).or_default().push(key);
        }
        let mut with_keys = |account: &Arc<Account>| {
            let own = keys.remove(&account.id).unwrap_or_default();
            (Account::clone(account), own)
        };
        let routes = config.routes.values().flatten();
        Self {
            revision: config.revision,
            limits: config.limits,
            routes: routes.map(|route| Route::clone(route)).collect(),
            services: config.services.into_iter().collect(),
            accounts: config.accounts.iter().map(&mut with_keys).collect(),
        }
    }
}

/// One revision of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct Configuration {
    /// Revision number; only increases.
    pub revision: Revision,
    /// Routes by host, longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    keys: HashMap<SmolStr, Arc<Account>>,
    accounts: Vec<Arc<Account>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Creates a configuration without routes, services and accounts.
    pub fn new(revision: Revision, limits: Limits) -> Self {
        Self {
            revision,
            routes: HashMap::new(),
            services: HashMap::new(),
            keys: HashMap::new(),
            accounts: Vec::new(),
            limits,
        }
    }

    /// Adds routes; keeps those of each host ordered by prefix length.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            let of_host = self.routes.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in self.routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    /// Adds a service, or replaces the one with the same id.
    pub fn with_service(mut self, id: ServiceId, service: Service) -> Self {
        self.services.insert(id, service);
        self
    }

    /// Adds a client account with its API keys.
    pub fn with_account(
        mut self,
        account: Account,
        keys: impl IntoIterator<Item = SmolStr>,
    ) -> Self {
        let account = Arc::new(account);
        for key in keys {
            self.keys.insert(key, account.clone());
        }
        self.accounts.push(account);
        self
    }

    /// Returns the route with the longest matching prefix of `path`.
    ///
    /// # Errors
    /// [`ErrorKind::NoSuchRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, ErrorKind> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = SmolStr::new(name.to_ascii_lowercase());
        let of_host = self.routes.get(&name).into_iter().flatten();
        of_host
            .into_iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
            .ok_or(ErrorKind::NoSuchRoute)
    }

    /// Returns the account that owns the API key; `None` if no key is required, that is, on public
    /// routes and without configured accounts.
    ///
    /// # Errors
    /// [`ErrorKind::Unauthenticated`] if the key is missing or unknown.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Account>>, ErrorKind> {
        if route.is_public || self.accounts.is_empty() {
            return Ok(None);
        }
        let account = key.and_then(|key| self.keys.get(key));
        account.map(Some).ok_or(ErrorKind::Unauthenticated)
    }

    /// Returns the configuration of a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// The services whose targets start cold.
    pub fn cold_starts(&self) -> impl Iterator<Item = (&ServiceId, ColdStart)> {
        let services = self.services.iter();
        services.filter_map(|(id, service)| Some((id, service.cold_start?)))
    }

    /// All client accounts, in the order in which they were added.
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }
}
