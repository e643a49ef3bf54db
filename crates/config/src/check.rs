//! Validation of a document beyond what its types enforce.

use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
    hash::Hash,
    ops::RangeInclusive,
};

use cyc_store::MAX_VALUE_SIZE;
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

    fn check_range<T: PartialOrd + Display>(
        &mut self,
        path: String,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.add(path, value, allowed);
        }
    }

    fn check_millis(&mut self, path: String, value: Millis, range: RangeInclusive<u64>) {
        self.check_range(path, value.get(), range);
    }
}

/// Reports values that occur more than once in a document.
struct DuplicateCheck<T> {
    /// The path of the first occurrence of each value.
    first_paths: HashMap<T, String>,
}

impl<T: Eq + Hash + Display> DuplicateCheck<T> {
    fn new() -> Self {
        Self {
            first_paths: HashMap::new(),
        }
    }

    fn check(&mut self, problems: &mut Problems, path: String, value: T) {
        match self.first_paths.get(&value) {
            Some(first) => problems.add(path, value, format!("a value that differs from {first}")),
            None => {
                self.first_paths.insert(value, path);
            }
        }
    }
}

/// Validates the services part.
pub(crate) fn services(services: &Services) -> Vec<Problem> {
    let mut problems = Problems::default();
    let policy = &services.policy;
    let field_path = |field: &str| format!("services.policy.{field}");
    problems.check_range(field_path("retry_percent"), policy.retry_percent, PERCENT);
    problems.check_range(field_path("hedge_percent"), policy.hedge_percent, PERCENT);
    problems.check_range(
        field_path("eject_failures"),
        policy.eject_failures,
        EJECT_FAILURES,
    );
    problems.check_millis(field_path("eject_ms"), policy.eject_ms, EJECT_MS);
    let mut ids = DuplicateCheck::new();
    let mut names = DuplicateCheck::new();
    for (i, service) in services.services.iter().enumerate() {
        let path = format!("services.services[{i}]");
        ids.check(&mut problems, format!("{path}.id"), &service.id);
        if let Some(name) = service.chat_name() {
            let field = if service.adapter.is_some() {
                "adapter"
            } else {
                "model"
            };
            names.check(&mut problems, format!("{path}.{field}"), name);
        }
        check_service(&mut problems, &path, service);
    }
    check_targets(&mut problems, services);
    check_objectives(&mut problems, &services.objectives);
    problems.0
}

fn check_service(problems: &mut Problems, path: &str, service: &Service) {
    let field_path = |field: &str| format!("{path}.{field}");
    problems.check_range(
        field_path("retry.max_attempts"),
        service.retry.max_attempts,
        ATTEMPTS,
    );
    problems.check_millis(
        field_path("retry.backoff_ms"),
        service.retry.backoff_ms,
        BACKOFF_MS,
    );
    match (service.kind, &service.model, &service.adapter) {
        (ServiceKind::Engine, None, _) => {
            problems.add(field_path("model"), "missing", "the id of a model")
        }
        (ServiceKind::Plain, Some(model), _) => {
            problems.add(field_path("model"), model, "no model, since kind is plain");
        }
        (ServiceKind::Plain, None, Some(adapter)) => {
            problems.add(
                field_path("adapter"),
                adapter,
                "no adapter, since kind is plain",
            );
        }
        _ => {}
    }
    if service.routes.is_empty() {
        problems.add(field_path("routes"), "[]", "at least one route");
    }
    if service.kind == ServiceKind::Engine && service.routes.len() > 1 {
        problems.add(
            field_path("routes"),
            service.routes.len(),
            "one route, since kind is engine",
        );
    }
    let mut routes = DuplicateCheck::new();
    for (i, route) in service.routes.iter().enumerate() {
        let path = format!("{path}.routes[{i}]");
        routes.check(
            problems,
            path.clone(),
            format!("{} {}", route.method, route.path),
        );
        check_route(problems, &path, service.kind, route);
    }
}

fn check_route(problems: &mut Problems, path: &str, kind: ServiceKind, route: &Route) {
    let field_path = |field: &str| format!("{path}.{field}");
    if !METHODS.contains(&route.method.as_str()) {
        problems.add(field_path("method"), &route.method, METHODS.join(" | "));
    }
    if !route.path.is_valid() {
        let allowed = "`/` and visible ASCII without empty, `.` or `..` segments, `%`, `?`, `#` \
                       or `\\`; `*` as the last character only";
        problems.add(field_path("path"), &route.path, allowed);
    }
    if route.hedge && !route.idempotent {
        problems.add(
            field_path("hedge"),
            true,
            "false, since the route is not idempotent",
        );
    }
    match (kind, route.price) {
        (ServiceKind::Plain, None) => {
            problems.add(field_path("price"), "missing", "a number of tokens")
        }
        (ServiceKind::Engine, Some(price)) => {
            problems.add(
                field_path("price"),
                price,
                "no price, since engine services are billed by usage",
            );
        }
        _ => {}
    }
    let is_chat = route.method == CHAT_METHOD && route.path.as_str() == CHAT_PATH;
    if kind == ServiceKind::Engine && !is_chat {
        let allowed = format!("{CHAT_METHOD} {CHAT_PATH}, since kind is engine");
        problems.add(
            path.into(),
            format!("{} {}", route.method, route.path),
            allowed,
        );
    }
}

fn check_targets(problems: &mut Problems, services: &Services) {
    let by_id: HashMap<&ServiceId, &Service> = services
        .services
        .iter()
        .map(|service| (&service.id, service))
        .collect();
    let mut ids = DuplicateCheck::new();
    let mut vms = DuplicateCheck::new();
    let mut addrs = DuplicateCheck::new();
    for (i, target) in services.targets.iter().enumerate() {
        let path = format!("services.targets[{i}]");
        ids.check(problems, format!("{path}.id"), &target.id);
        vms.check(problems, format!("{path}.vm"), &target.vm);
        addrs.check(problems, format!("{path}.addr"), target.addr);
        check_target(problems, &path, target, &by_id);
    }
}

fn check_target(
    problems: &mut Problems,
    path: &str,
    target: &Target,
    by_id: &HashMap<&ServiceId, &Service>,
) {
    let field_path = |field: &str| format!("{path}.{field}");
    if target.addr.port() == 0 {
        problems.add(field_path("addr"), target.addr, "a port from 1 to 65535");
    }
    if target.services.is_empty() {
        problems.add(field_path("services"), "[]", "at least one service");
    }
    let mut kinds = HashSet::new();
    let mut service_ids = DuplicateCheck::new();
    for (i, id) in target.services.iter().enumerate() {
        let path = format!("{path}.services[{i}]");
        service_ids.check(problems, path.clone(), id);
        let Some(service) = by_id.get(id) else {
            problems.add(path, id, "the id of a service in the document");
            continue;
        };
        kinds.insert(service.kind);
        check_engine_models(problems, &path, target, service);
        for (n, route) in service.routes.iter().enumerate() {
            if target.slots.of(route.class) == 0 {
                let allowed = format!("at least 1, since route {n} of {id} has this class");
                problems.add(field_path(&format!("slots.{}", route.class)), 0, allowed);
            }
        }
    }
    if kinds.len() > 1 {
        problems.add(
            field_path("services"),
            target.services.len(),
            "services of one kind",
        );
    }
    if target.engine.is_some() && kinds.contains(&ServiceKind::Plain) {
        problems.add(
            field_path("engine"),
            "present",
            "no engine state, since its service is plain",
        );
    }
    if target.engine.is_none() && kinds.contains(&ServiceKind::Engine) {
        problems.add(
            field_path("engine"),
            "missing",
            "the desired state of the engine",
        );
    }
    problems.check_range(field_path("slots.status"), target.slots.status, SLOTS);
    problems.check_range(field_path("slots.booking"), target.slots.booking, SLOTS);
    problems.check_range(field_path("slots.drafting"), target.slots.drafting, SLOTS);
}

/// Checks that an engine loads the model and the adapter of each of its services.
fn check_engine_models(problems: &mut Problems, path: &str, target: &Target, service: &Service) {
    let Some(engine) = &target.engine else {
        return;
    };
    for model in service.model.iter().chain(&service.adapter) {
        if !engine.models.contains(model) {
            let allowed = format!("a service whose model {model} is among engine.models");
            problems.add(path.into(), &service.id, allowed);
        }
    }
}

fn check_objectives(problems: &mut Problems, objectives: &[Objective]) {
    let mut classes = DuplicateCheck::new();
    for (i, objective) in objectives.iter().enumerate() {
        let field_path = |field: &str| format!("services.objectives[{i}].{field}");
        classes.check(problems, field_path("class"), objective.class);
        problems.check_millis(field_path("latency_ms"), objective.latency_ms, LATENCY_MS);
        problems.check_millis(field_path("window_ms"), objective.window_ms, WINDOW_MS);
        let valid = objective.share > 0.0 && objective.share < 1.0;
        if !valid {
            problems.add(
                field_path("share"),
                objective.share,
                "more than 0 and less than 1",
            );
        }
    }
}

/// Validates the client accounts.
pub(crate) fn accounts(accounts: &[Account]) -> Vec<Problem> {
    let mut problems = Problems::default();
    let mut ids = DuplicateCheck::new();
    let mut keys = DuplicateCheck::new();
    let mut budgets = DuplicateCheck::new();
    for (i, account) in accounts.iter().enumerate() {
        let path = format!("accounts[{i}]");
        ids.check(&mut problems, format!("{path}.id"), &account.id);
        problems.check_range(format!("{path}.share"), account.share, SHARE);
        if account.budgets.is_empty() {
            problems.add(format!("{path}.budgets"), "[]", "at least one budget");
        }
        for (n, budget) in account.budgets.iter().enumerate() {
            budgets.check(&mut problems, format!("{path}.budgets[{n}]"), budget);
        }
        for (n, key) in account.keys.iter().enumerate() {
            let path = format!("{path}.keys[{n}]");
            keys.check(&mut problems, format!("{path}.sha256"), key.sha256);
            if !account.budgets.contains(&key.budget) {
                problems.add(
                    format!("{path}.budget"),
                    &key.budget,
                    "a budget of the same account",
                );
            }
        }
    }
    problems.0
}

/// Checks that each part fits into one platform object of at most [`MAX_VALUE_SIZE`] bytes.
pub(crate) fn part_sizes(doc: &Document) -> Vec<Problem> {
    let mut problems = Problems::default();
    for part in part::split(doc) {
        if part.body.len() as u64 > MAX_VALUE_SIZE.get() {
            let value = format!("{} bytes", part.body.len());
            let allowed = format!("a part of at most {MAX_VALUE_SIZE} bytes");
            problems.add(format!("part {}", part.name), value, allowed);
        }
    }
    problems.0
}
