//! The services part: what the system routes to, and how.

use cyc_proto::sidecar::RouteClass;
use cyc_types::{Millis, ModelId, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::{
    problem::Problem,
    route::{self, CHAT_METHOD, CHAT_PATH, Route},
    target::Target,
};

/// Everything about services, targets and objectives; entries and sidecars share it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Limits of retries and ejection that hold for all services.
    #[serde(default)]
    pub policy: Policy,
    /// The services. Invariant: ids and chat names differ.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The targets. Invariant: ids, VMs and addresses differ.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// The service-level objectives. Invariant: one a class at most.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

/// Limits that hold for all services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Retries for each 100 first attempts.
    pub retry_percent: u32,
    /// Hedged attempts for each 100 first attempts.
    pub hedge_percent: u32,
    /// Failures in a row after which a target is ejected.
    pub eject_failures: u32,
    /// How long a target stays ejected.
    pub eject_ms: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retry_percent: 20,
            hedge_percent: 5,
            eject_failures: 5,
            eject_ms: Millis::new(10_000),
        }
    }
}

/// What a service is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that answer chats.
    Engine,
    /// Instances of an HTTP service.
    Plain,
}

/// When a request of a service is tried again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Attempts of one request, the first included. Only attempts that did not run count as
    /// retries of a non-idempotent request.
    pub max_attempts: u32,
    /// Pause before the first retry; it doubles with each further one.
    pub backoff_ms: Millis,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            backoff_ms: Millis::new(20),
        }
    }
}

/// A service that callers name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its id; unique.
    pub id: ServiceId,
    /// What it is made of.
    pub kind: ServiceKind,
    /// The model. Invariant: present for engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The adapter on top of the model; callers then name the adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<ModelId>,
    /// Its routes; an engine service has the chat route alone.
    pub routes: Vec<Route>,
    /// Its retry rules.
    #[serde(default)]
    pub retry: Retry,
}

impl Service {
    /// Creates a plain service without routes.
    pub fn new(id: ServiceId) -> Self {
        Self {
            id,
            kind: ServiceKind::Plain,
            model: None,
            adapter: None,
            routes: Vec::new(),
            retry: Retry::default(),
        }
    }

    /// Creates an engine service with the chat route.
    pub fn new_engine(id: ServiceId, model: ModelId, class: RouteClass) -> Self {
        Self {
            kind: ServiceKind::Engine,
            model: Some(model),
            routes: vec![Route::new_chat(class)],
            ..Self::new(id)
        }
    }

    /// Sets the adapter.
    pub fn with_adapter(mut self, adapter: ModelId) -> Self {
        self.adapter = Some(adapter);
        self
    }

    /// Adds a route.
    pub fn with_route(mut self, route: Route) -> Self {
        self.routes.push(route);
        self
    }

    /// Sets the retry rules.
    pub fn with_retry(mut self, retry: Retry) -> Self {
        self.retry = retry;
        self
    }

    /// Returns the model name that callers use: the adapter if there is one.
    pub fn chat_name(&self) -> Option<&ModelId> {
        self.adapter.as_ref().or(self.model.as_ref())
    }

    /// Returns the route of a request; the query of `path` is left out of the comparison.
    ///
    /// A path that a target could read as another one (see [`route::is_plain`]) has no route.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !route::is_plain(path) {
            return None;
        }
        self.routes
            .iter()
            .filter(|route| route.method == method)
            .filter_map(|route| Some((route.path.matches(path)?, route)))
            .max_by_key(|(fixed, _)| *fixed)
            .map(|(_, route)| route)
    }
}

/// A service-level objective of one route class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The class.
    pub class: RouteClass,
    /// The latency that a request should stay under; for drafting, until the first token.
    pub latency_ms: Millis,
    /// The share of requests that should. Invariant: more than 0 and less than 1.
    pub share: f64,
    /// The window over which the share is taken.
    pub window_ms: Millis,
}

impl Services {
    /// Reads the services part from JSON text.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let services: Self = serde_json::from_str(text)
            .map_err(|error| vec![Problem::from_json("services", &error)])?;
        let problems = crate::check::services(&services);
        if problems.is_empty() {
            Ok(services)
        } else {
            Err(problems)
        }
    }

    /// Returns a service by id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the route of a call of a plain service.
    pub fn route(&self, service: &ServiceId, method: &str, path: &str) -> Option<&Route> {
        let service = self.service(service)?;
        match service.kind {
            ServiceKind::Plain => service.route(method, path),
            ServiceKind::Engine => None,
        }
    }

    /// Returns the engine service and the route for a chat with `model`.
    pub fn chat(&self, model: &str) -> Option<(&Service, &Route)> {
        let service = self.services.iter().find(|service| {
            service.kind == ServiceKind::Engine
                && service
                    .chat_name()
                    .is_some_and(|name| name.as_str() == model)
        })?;
        Some((service, service.route(CHAT_METHOD, CHAT_PATH)?))
    }

    /// Returns a target by id.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == *id)
    }

    /// Returns the targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Target> {
        self.targets
            .iter()
            .filter(move |target| target.services.contains(service))
    }

    /// Returns the objective of a class.
    pub fn objective(&self, class: RouteClass) -> Option<&Objective> {
        self.objectives
            .iter()
            .find(|objective| objective.class == class)
    }
}
