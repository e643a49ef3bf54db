//! The checks of a document that its types do not make.

use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
    hash::Hash,
    ops::RangeInclusive,
};

use cyc_store::MAX_VALUE;
use cyc_types::{Millis, ServiceId};

use crate::{
    account::Account,
    document::Document,
    part,
    problem::Problem,
    route::{CHAT_METHOD, CHAT_PATH, Route},
    service::{Objective, Service, ServiceKind, Services},
    target::Target,
};

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
const PERCENT: RangeInclusive<u32> = 0..=100;
const EJECT_FAILURES: RangeInclusive<u32> = 1..=1_000;
const ATTEMPTS: RangeInclusive<u32> = 1..=10;
const SLOTS: RangeInclusive<u32> = 0..=100_000;
const SHARE: RangeInclusive<u32> = 1..=1_000;
const EJECT_MS: RangeInclusive<u64> = 1..=3_600_000;
const BACKOFF_MS: RangeInclusive<u64> = 0..=60_000;
const LATENCY_MS: RangeInclusive<u64> = 1..=3_600_000;
/// From one minute to 90 days.
const WINDOW_MS: RangeInclusive<u64> = 60_000..=7_776_000_000;

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, path: String, value: impl Display, allowed: impl Into<String>) {
        self.0.push(Problem::new(path, value, allowed.into()));
    }

    fn range<T: PartialOrd + Display>(&mut self, path: String, value: T, range: RangeInclusive<T>) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.add(path, value, allowed);
        }
    }

    fn millis(&mut self, path: String, value: Millis, range: RangeInclusive<u64>) {
        self.range(path, value.get(), range);
    }
}

/// Finds values that stand twice in a document.
struct Unique<T> {
    seen: HashMap<T, String>,
}

impl<T: Eq + Hash + Display> Unique<T> {
    fn new() -> Self {
        Self {
            seen: HashMap::new(),
        }
    }

    fn add(&mut self, out: &mut Problems, path: String, value: T) {
        match self.seen.get(&value) {
            Some(first) => out.add(path, value, format!("a value other than that of {first}")),
            None => {
                self.seen.insert(value, path);
            }
        }
    }
}

/// Checks the services part.
pub(crate) fn services(services: &Services) -> Vec<Problem> {
    let mut out = Problems::default();
    let policy = &services.policy;
    let at = |field: &str| format!("services.policy.{field}");
    out.range(at("retry_percent"), policy.retry_percent, PERCENT);
    out.range(at("hedge_percent"), policy.hedge_percent, PERCENT);
    out.range(at("eject_failures"), policy.eject_failures, EJECT_FAILURES);
    out.millis(at("eject_ms"), policy.eject_ms, EJECT_MS);
    let mut ids = Unique::new();
    let mut names = Unique::new();
    for (i, service) in services.services.iter().enumerate() {
        let path = format!("services.services[{i}]");
        ids.add(&mut out, format!("{path}.id"), &service.id);
        if let Some(name) = service.chat_name() {
            let field = if service.adapter.is_some() {
                "adapter"
            } else {
                "model"
            };
            names.add(&mut out, format!("{path}.{field}"), name);
        }
        check_service(&mut out, &path, service);
    }
    check_targets(&mut out, services);
    check_objectives(&mut out, &services.objectives);
    out.0
}

fn check_service(out: &mut Problems, path: &str, service: &Service) {
    let at = |field: &str| format!("{path}.{field}");
    out.range(
        at("retry.max_attempts"),
        service.retry.max_attempts,
        ATTEMPTS,
    );
    out.millis(at("retry.backoff_ms"), service.retry.backoff_ms, BACKOFF_MS);
    match (service.kind, &service.model, &service.adapter) {
        (ServiceKind::Engine, None, _) => out.add(at("model"), "missing", "the id of a model"),
        (ServiceKind::Plain, Some(model), _) => {
            out.add(at("model"), model, "no model, since kind is plain");
        }
        (ServiceKind::Plain, None, Some(adapter)) => {
            out.add(at("adapter"), adapter, "no adapter, since kind is plain");
        }
        _ => {}
    }
    if service.routes.is_empty() {
        out.add(at("routes"), "[]", "at least one route");
    }
    if service.kind == ServiceKind::Engine && service.routes.len() > 1 {
        out.add(
            at("routes"),
            service.routes.len(),
            "one route, since kind is engine",
        );
    }
    let mut routes = Unique::new();
    for (i, route) in service.routes.iter().enumerate() {
        let path = format!("{path}.routes[{i}]");
        routes.add(
            out,
            path.clone(),
            format!("{} {}", route.method, route.path),
        );
        check_route(out, &path, service.kind, route);
    }
}

fn check_route(out: &mut Problems, path: &str, kind: ServiceKind, route: &Route) {
    let at = |field: &str| format!("{path}.{field}");
    if !METHODS.contains(&route.method.as_str()) {
        out.add(at("method"), &route.method, METHODS.join(" | "));
    }
    if !route.path.is_valid() {
        let allowed = "`/` and visible ASCII without empty, `.` or `..` segments, `%`, `?`, `#` \
                       or `\\`; `*` as the last character only";
        out.add(at("path"), &route.path, allowed);
    }
    if route.hedge && !route.idempotent {
        out.add(
            at("hedge"),
            true,
            "false, since the route is not idempotent",
        );
    }
    match (kind, route.price) {
        (ServiceKind::Plain, None) => out.add(at("price"), "missing", "a number of tokens"),
        (ServiceKind::Engine, Some(price)) => {
            out.add(
                at("price"),
                price,
                "no price, since engines bill what they use",
            );
        }
        _ => {}
    }
    let is_chat = route.method == CHAT_METHOD && route.path.as_str() == CHAT_PATH;
    if kind == ServiceKind::Engine && !is_chat {
        let allowed = format!("{CHAT_METHOD} {CHAT_PATH}, since kind is engine");
        out.add(
            path.into(),
            format!("{} {}", route.method, route.path),
            allowed,
        );
    }
}

fn check_targets(out: &mut Problems, services: &Services) {
    let by_id: HashMap<&ServiceId, &Service> = services
        .services
        .iter()
        .map(|service| (&service.id, service))
        .collect();
    let mut ids = Unique::new();
    let mut vms = Unique::new();
    let mut addrs = Unique::new();
    for (i, target) in services.targets.iter().enumerate() {
        let path = format!("services.targets[{i}]");
        ids.add(out, format!("{path}.id"), &target.id);
        vms.add(out, format!("{path}.vm"), &target.vm);
        addrs.add(out, format!("{path}.addr"), target.addr);
        check_target(out, &path, target, &by_id);
    }
}

fn check_target(
    out: &mut Problems,
    path: &str,
    target: &Target,
    by_id: &HashMap<&ServiceId, &Service>,
) {
    let at = |field: &str| format!("{path}.{field}");
    if target.addr.port() == 0 {
        out.add(at("addr"), target.addr, "a port from 1 to 65535");
    }
    if target.services.is_empty() {
        out.add(at("services"), "[]", "at least one service");
    }
    let mut kinds = HashSet::new();
    let mut unique = Unique::new();
    for (i, id) in target.services.iter().enumerate() {
        let path = format!("{path}.services[{i}]");
        unique.add(out, path.clone(), id);
        let Some(service) = by_id.get(id) else {
            out.add(path, id, "the id of a service of the document");
            continue;
        };
        kinds.insert(service.kind);
        check_loaded(out, &path, target, service);
        for (n, route) in service.routes.iter().enumerate() {
            if target.slots.of(route.class) == 0 {
                let allowed = format!("at least 1, since route {n} of {id} has this class");
                out.add(at(&format!("slots.{}", route.class)), 0, allowed);
            }
        }
    }
    if kinds.len() > 1 {
        out.add(
            at("services"),
            target.services.len(),
            "services of one kind",
        );
    }
    if target.engine.is_some() && kinds.contains(&ServiceKind::Plain) {
        out.add(
            at("engine"),
            "given",
            "no engine state, since its service is plain",
        );
    }
    if target.engine.is_none() && kinds.contains(&ServiceKind::Engine) {
        out.add(at("engine"), "missing", "the desired state of the engine");
    }
    out.range(at("slots.status"), target.slots.status, SLOTS);
    out.range(at("slots.booking"), target.slots.booking, SLOTS);
    out.range(at("slots.drafting"), target.slots.drafting, SLOTS);
}

/// An engine has to hold the model and the adapter of each of its services.
fn check_loaded(out: &mut Problems, path: &str, target: &Target, service: &Service) {
    let Some(engine) = &target.engine else {
        return;
    };
    for model in service.model.iter().chain(&service.adapter) {
        if !engine.models.contains(model) {
            let allowed = format!("a service whose model {model} is among engine.models");
            out.add(path.into(), &service.id, allowed);
        }
    }
}

fn check_objectives(out: &mut Problems, objectives: &[Objective]) {
    let mut classes = Unique::new();
    for (i, objective) in objectives.iter().enumerate() {
        let at = |field: &str| format!("services.objectives[{i}].{field}");
        classes.add(out, at("class"), objective.class);
        out.millis(at("latency_ms"), objective.latency_ms, LATENCY_MS);
        out.millis(at("window_ms"), objective.window_ms, WINDOW_MS);
        let valid = objective.share > 0.0 && objective.share < 1.0;
        if !valid {
            out.add(at("share"), objective.share, "more than 0 and less than 1");
        }
    }
}

/// Checks the client accounts.
pub(crate) fn accounts(accounts: &[Account]) -> Vec<Problem> {
    let mut out = Problems::default();
    let mut ids = Unique::new();
    let mut keys = Unique::new();
    let mut budgets = Unique::new();
    for (i, account) in accounts.iter().enumerate() {
        let path = format!("accounts[{i}]");
        ids.add(&mut out, format!("{path}.id"), &account.id);
        out.range(format!("{path}.share"), account.share, SHARE);
        if account.budgets.is_empty() {
            out.add(format!("{path}.budgets"), "[]", "at least one budget");
        }
        for (n, budget) in account.budgets.iter().enumerate() {
            budgets.add(&mut out, format!("{path}.budgets[{n}]"), budget);
        }
        for (n, key) in account.keys.iter().enumerate() {
            let path = format!("{path}.keys[{n}]");
            keys.add(&mut out, format!("{path}.sha256"), key.sha256);
            if !account.budgets.contains(&key.budget) {
                out.add(
                    format!("{path}.budget"),
                    &key.budget,
                    "a budget of the same account",
                );
            }
        }
    }
    out.0
}

/// Checks that each part fits into one object of the platform.
pub(crate) fn sizes(doc: &Document) -> Vec<Problem> {
    let mut out = Problems::default();
    for part in part::parts(doc) {
        if part.body.len() as u64 > MAX_VALUE.get() {
            let value = format!("{} bytes", part.body.len());
            let allowed = format!("a part of at most {MAX_VALUE} bytes");
            out.add(format!("part {}", part.name), value, allowed);
        }
    }
    out.0
}
