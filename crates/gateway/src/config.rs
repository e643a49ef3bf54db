//! The configuration in force: routes, services, accounts and limits of callers.

use std::{collections::HashMap, sync::Arc};

use cyc_types::{ByteSize, ClientAccountId, ErrorKind, Millis, Revision, ServiceId, Tokens};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

/// What may be done twice with the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another target may continue after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns true if a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns true if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service of a route with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the sum over the route.
    pub weight: u32,
}

/// Requests of one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operators' name of the route.
    pub name: SmolStr,
    /// The host, in lower case.
    pub host: SmolStr,
    /// The start of the path. Invariant: begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time to the end of the answer.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    pub objective: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where requests go. Invariant: not empty, and the sum of the weights is above zero.
    pub splits: Vec<Split>,
    /// Targets that one request may be sent to. Invariant: at least 1.
    pub attempts: u32,
    /// True if no API key is needed.
    pub is_public: bool,
}

impl Route {
    /// Returns the service for a request; `draw` is a uniform random number.
    pub fn service(&self, draw: u32) -> &ServiceId {
        let sum: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut rest = draw % sum.max(1);
        for split in &self.splits {
            if rest < split.weight {
                return &split.service;
            }
            rest -= split.weight;
        }
        &self.splits[0].service
    }
}

/// What is configured of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Connections that one target accepts from all entries together.
    pub max_connections: u32,
    /// Requests that one model engine processes at a time; `None` for plain services.
    pub batch: Option<u32>,
    /// Output tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The account.
    pub id: ClientAccountId,
    /// Goes before the priority of the route.
    pub priority: Option<u8>,
    /// All that the account may use; `None` if nothing is counted.
    pub prepaid: Option<Tokens>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request.
    pub header_bytes: ByteSize,
    /// The largest body of a request.
    pub body_bytes: ByteSize,
    /// How long a connection may be idle.
    pub idle: Millis,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// The version. It only grows.
    pub revision: Revision,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    keys: HashMap<SmolStr, Arc<Account>>,
    accounts: Vec<Arc<Account>>,
    /// What callers may send.
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

    /// Adds routes.
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

    /// Adds a service.
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

    /// Returns the route with the longest prefix of `path`.
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

    /// Returns the account that holds `key`; `None` where no key is needed.
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

    /// Returns what is configured of a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }
}
