//! The services part of a document: services, targets, objectives and their shared policy.

use cyc_proto::sidecar::RouteClass;
use cyc_types::{Millis, ModelId, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::{
    problem::Problem,
    route::{self, CHAT_METHOD, CHAT_PATH, Route},
    target::Target,
};

/// The services part of a document, which entries also send to sidecars.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Limits on retries, hedging and ejection for all services.
    #[serde(default)]
    pub policy: Policy,
    /// The services. Invariant: ids and chat names are unique.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The targets. Invariant: ids, VMs and addresses are unique.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// The service-level objectives. Invariant: at most one per class.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

/// Limits on retries, hedging and ejection for all services. Validated, but not applied: entries
/// use constant limits for hedging and ejection, and only [`Retry::max_attempts`] for retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Retry budget: retries allowed per 100 first attempts.
    pub retry_percent: u32,
    /// Hedged attempts allowed per 100 first attempts.
    pub hedge_percent: u32,
    /// Consecutive failures after which a target is ejected.
    pub eject_failures: u32,
    /// Duration of an ejection.
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

/// The kind of targets that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that serve chat completions.
    Engine,
    /// Instances of an HTTP service.
    Plain,
}

/// Retry rules of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Maximum number of attempts of one request that a target ran or may have run; attempts that
    /// no target ran are not counted. A non-idempotent request is retried only after an attempt
    /// that no target ran.
    pub max_attempts: u32,
    /// Validated, but not applied: entries send a retry without a delay.
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

/// A service that callers address by its id or, for chats, by its model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique id.
    pub id: ServiceId,
    /// The kind of its targets.
    pub kind: ServiceKind,
    /// The model. Invariant: present for engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The adapter on top of the model. If set, callers use the name of the adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<ModelId>,
    /// Routes, at least one; an engine service has only the chat route.
    pub routes: Vec<Route>,
    /// Retry rules.
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

    /// Returns the model name that callers use: the adapter if set, otherwise the model.
    pub fn chat_name(&self) -> Option<&ModelId> {
        self.adapter.as_ref().or(self.model.as_ref())
    }

    /// Returns the most specific route that matches a request, without regard to the query of
    /// `path`.
    ///
    /// A path that is not normalized (see [`route::is_normalized`]) matches no route.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !route::is_normalized(path) {
            return None;
        }
        self.routes
            .iter()
            .filter(|route| route.method == method)
            .filter_map(|route| Some((route.path.match_specificity(path)?, route)))
            .max_by_key(|(specificity, _)| *specificity)
            .map(|(_, route)| route)
    }
}

/// A service-level objective of one route class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The route class; unique.
    pub class: RouteClass,
    /// Latency threshold of a request; for drafting, of its first token.
    pub latency_ms: Millis,
    /// Required fraction of requests below the threshold. Invariant: more than 0 and less than 1.
    pub share: f64,
    /// The window over which the fraction is computed.
    pub window_ms: Millis,
}

impl Services {
    /// Parses and validates the services part from JSON text.
    ///
    /// # Errors
    /// All problems of the services part, or one if the text does not parse.
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

    /// Returns the route for a call of a plain service; `None` for engine services.
    pub fn route(&self, service: &ServiceId, method: &str, path: &str) -> Option<&Route> {
        let service = self.service(service)?;
        match service.kind {
            ServiceKind::Plain => service.route(method, path),
            ServiceKind::Engine => None,
        }
    }

    /// Returns the engine service whose chat name is `model`, and its chat route.
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

    /// Returns the targets that serve a service.
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
