//! Checks of one document.

use std::collections::HashMap;

use cyc_types::Tokens;
use smol_str::SmolStr;

use crate::{
    finding::{Finding, Rule},
    plan::{Match, Plan, RoutePlan},
};

/// Attempts that a retry budget of 100 % bears: a first one and one retry.
const FULL_BUDGET_PERCENT: u32 = 100;

/// Finds everything in a document that cannot have the effect that it seems to have.
pub fn check(plan: &Plan) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(plan, &mut findings);
    check_matches(plan, &mut findings);
    check_services(plan, &mut findings);
    check_keys(plan, &mut findings);
    check_limits(plan, &mut findings);
    findings
}

/// Reports later parts of the same name: entries use only one of them.
fn check_names(plan: &Plan, findings: &mut Vec<Finding>) {
    let routes = plan.routes.iter().filter(|route| route.has_name);
    let names = [
        routes.map(|route| (&route.name, &route.path)).collect(),
        collect_names(plan.services.iter().map(|s| (&s.name, &s.path))),
        collect_names(plan.accounts.iter().map(|a| (&a.name, &a.path))),
    ];
    for of_kind in names {
        let mut first: HashMap<&SmolStr, &String> = HashMap::new();
        for (name, path) in of_kind {
            if let Some(first) = first.get(name) {
                let message = format!("`{name}` is also the name of {first}");
                findings.push(Finding::new(path, Rule::DuplicateName, message));
            } else {
                first.insert(name, path);
            }
        }
    }
}

type Named<'a> = (&'a SmolStr, &'a String);

fn collect_names<'a>(names: impl Iterator<Item = Named<'a>>) -> Vec<Named<'a>> {
    names.collect()
}

/// Reports routes that no request reaches: the most specific route gets a request, the first one
/// among equals.
fn check_matches(plan: &Plan, findings: &mut Vec<Finding>) {
    let mut by_match: HashMap<(&SmolStr, &SmolStr, bool), &RoutePlan> = HashMap::new();
    for route in &plan.routes {
        let Match {
            scope,
            path,
            is_exact,
            ..
        } = &route.matches;
        if let Some(why) = impossible_match(&route.matches) {
            let message = format!("never matches: {why}");
            findings.push(Finding::new(&route.path, Rule::RouteNeverMatches, message));
            continue;
        }
        match by_match.get(&(scope, path, *is_exact)) {
            Some(first) => {
                let message = format!(
                    "never matches: {} `{}` comes first with the same {scope} {path}",
                    first.path, first.name
                );
                findings.push(Finding::new(&route.path, Rule::RouteNeverMatches, message));
            }
            None => {
                by_match.insert((scope, path, *is_exact), route);
            }
        }
    }
}

/// Why no request can have the host or the path.
fn impossible_match(matches: &Match) -> Option<&'static str> {
    let is_host_part = |c: char| c.is_ascii_graphic() && !"/:?#@".contains(c);
    match &matches.host {
        Some(host) if host.is_empty() => return Some("the host is empty"),
        Some(host) if !host.chars().all(is_host_part) => {
            return Some("the host of a request is compared without port, user or path");
        }
        _ => {}
    }
    if !matches.path.starts_with('/') {
        return Some("paths of requests begin with `/`");
    }
    let is_path_part = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
    (!matches.path.chars().all(is_path_part))
        .then_some("paths of requests are compared without query, and have no such characters")
}

fn check_services(plan: &Plan, findings: &mut Vec<Finding>) {
    for split in plan.routes.iter().flat_map(|route| &route.splits) {
        let is_known = plan.services.iter().any(|s| s.name == split.service);
        if !is_known {
            let message = format!("the document has no service `{}`", split.service);
            findings.push(Finding::new(&split.path, Rule::UnknownService, message));
        }
        if split.weight == 0 {
            let message = format!("`{}` gets no requests: its weight is 0", split.service);
            findings.push(Finding::new(&split.path, Rule::SplitWithoutWeight, message));
        }
    }
    for service in &plan.services {
        if service.targets == Some(0) {
            let message = format!("`{}` has no targets", service.name);
            findings.push(Finding::new(
                &service.path,
                Rule::ServiceWithoutTargets,
                message,
            ));
        }
        let mut splits = plan.routes.iter().flat_map(|route| &route.splits);
        if !splits.any(|split| split.service == service.name) {
            let message = format!("no route uses `{}`", service.name);
            findings.push(Finding::new(
                &service.path,
                Rule::ServiceWithoutRoutes,
                message,
            ));
        }
    }
}

/// Reports keys that lead to another account, without printing them.
fn check_keys(plan: &Plan, findings: &mut Vec<Finding>) {
    // An entry keeps the last account of a key.
    let mut owner: HashMap<&SmolStr, (&String, &SmolStr)> = HashMap::new();
    for account in &plan.accounts {
        for (path, key) in &account.keys {
            if let Some((earlier, name)) = owner.insert(key, (path, &account.name)) {
                let message = format!(
                    "this key of `{name}` leads to `{}` instead, which has it at {path}",
                    account.name
                );
                findings.push(Finding::new(earlier, Rule::KeyOfNoAccount, message));
            }
            if key.is_empty() {
                let message = format!("a key of `{}` is empty", account.name);
                findings.push(Finding::new(path, Rule::KeyOfNoAccount, message));
            }
        }
    }
    if owner.is_empty() && !plan.accounts.is_empty() {
        for route in plan.routes.iter().filter(|route| !route.is_public) {
            let message = format!("`{}` needs a key, and no account has one", route.name);
            findings.push(Finding::new(&route.path, Rule::NoKeys, message));
        }
    }
}

fn check_limits(plan: &Plan, findings: &mut Vec<Finding>) {
    for route in &plan.routes {
        if let (Some((field, timeout)), Some(objective)) = (route.timeout, route.objective)
            && timeout < objective
        {
            let message = format!(
                "a timeout of {timeout} ms is under the objective of {objective} ms: late answers \
                 are cut off instead"
            );
            findings.push(Finding::new(
                format!("{}.{field}", route.path),
                Rule::TimeoutUnderObjective,
                message,
            ));
        }
    }
    let routes = plan
        .routes
        .iter()
        .map(|route| (&route.path, route.attempts));
    let services = plan.services.iter().map(|s| (&s.path, s.attempts));
    for (path, attempts) in routes.chain(services) {
        if let Some((field, attempts)) = attempts
            && let Some(message) = attempts_fault(attempts, plan.retry_percent)
        {
            let path = format!("{path}.{field}");
            findings.push(Finding::new(path, Rule::AttemptsOverBudget, message));
        }
    }
    let largest = plan.services.iter().filter_map(|s| s.largest_request);
    let largest = largest.max().unwrap_or(Tokens::ZERO);
    for account in &plan.accounts {
        if let Some((field, prepaid)) = account.prepaid
            && prepaid < largest
        {
            let message = format!(
                "{prepaid} tokens do not cover the largest request, {largest} tokens: `{}` gets 402 \
                 for it",
                account.name
            );
            findings.push(Finding::new(
                format!("{}.{field}", account.path),
                Rule::PrepaidUnderRequest,
                message,
            ));
        }
    }
}

fn attempts_fault(attempts: u32, retry_percent: Option<u32>) -> Option<String> {
    if attempts == 0 {
        return Some("0 attempts count as 1".into());
    }
    match retry_percent? {
        0 if attempts > 1 => Some(format!(
            "{attempts} attempts, and the retry budget allows no retry"
        )),
        percent if percent < FULL_BUDGET_PERCENT && attempts > 5 => Some(format!(
            "{attempts} attempts: with a budget of {percent} retries for 100 requests, {} requests \
             in 100 use it up",
            percent.div_ceil(attempts - 1)
        )),
        _ => None,
    }
}
