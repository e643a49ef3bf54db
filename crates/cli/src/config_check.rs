//! `cyclamen config check`: checks a configuration before its rollout.

use std::path::Path;

use cyc_config::Document;
use cyc_lint::{
    AccountPlan, Finding, Match, Plan, RoutePlan, Rule, ServicePlan, SplitPlan,
    check::check,
    diff::{Difference, diff},
    line::line_of,
};
use cyc_platform::{documents::plan_configuration, settings};
use serde_json::{Value, json};
use strum::{Display, EnumString};

use crate::output::{Exit, Output};

/// What `cyclamen config` does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ConfigAction {
    /// Checks a configuration.
    Check,
}

/// The format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object.
    Json,
}

/// The format of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Kind {
    /// The document of this project.
    Project,
    /// The document of the users' platform.
    Platform,
}

struct Loaded {
    text: String,
    value: Value,
    kind: Kind,
}

/// What a configuration is checked with.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The configuration in force.
    pub against: Option<&'a Path>,
    /// Settings of an entry on the users' platform, which have the retry budget.
    pub settings: Option<&'a Path>,
    /// The format of the output.
    pub format: Format,
}

/// Checks a configuration, and compares it with the one in force if there is one.
pub fn run(file: &Path, options: Options<'_>) -> Output {
    let format = options.format;
    let loaded = load(file).and_then(|new| {
        let old = options.against.map(load).transpose()?;
        let retry_percent = options.settings.map(load_retry_percent).transpose()?;
        Ok((new, old, retry_percent))
    });
    let (new, old, retry_percent) = match loaded {
        Ok(loaded) => loaded,
        Err(why) => return unreadable(&why, format),
    };
    if let Some(old) = &old
        && old.kind != new.kind
    {
        let why = format!(
            "a {} document cannot be compared with a {} one",
            new.kind, old.kind
        );
        return unreadable(&why, format);
    }
    let findings = find(&new, retry_percent);
    let differences = old.map(|old| diff(&old.value, &new.value));
    let exit = match findings.is_empty() {
        true => Exit::Ok,
        false => Exit::Refused,
    };
    match format {
        Format::Json => {
            let report = json!({
                "file": file.display().to_string(),
                "kind": new.kind.to_string(),
                "findings": findings,
                "differences": differences,
            });
            Output::new(exit, report.to_string())
        }
        Format::Text => Output::new(exit, text_report(file, &findings, differences.as_deref())),
    }
}

fn unreadable(why: &str, format: Format) -> Output {
    match format {
        Format::Json => Output::new(Exit::Usage, json!({ "unreadable": why }).to_string()),
        Format::Text => Output::error(Exit::Usage, why),
    }
}

fn text_report(file: &Path, findings: &[Finding], differences: Option<&[Difference]>) -> String {
    let name = file.display();
    let mut lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{name}: {finding}"))
        .collect();
    lines.push(format!("{name}: {} findings", findings.len()));
    if let Some(differences) = differences {
        lines.push(format!("{} values change", differences.len()));
        lines.extend(differences.iter().map(ToString::to_string));
    }
    lines.join("\n")
}

fn load(file: &Path) -> Result<Loaded, String> {
    let name = file.display();
    let bytes = std::fs::read(file).map_err(|error| format!("{name}: cannot be read: {error}"))?;
    let text = String::from_utf8(bytes).map_err(|error| format!("{name}: {error}"))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| format!("{name}: {error}"))?;
    let has = |field: &str| value.get(field).is_some();
    let kind = match value.get("services") {
        Some(Value::Object(_)) => Kind::Project,
        Some(Value::Array(_)) => Kind::Platform,
        _ if has("routes") || has("tenants") => Kind::Platform,
        _ if has("accounts") => Kind::Project,
        _ => {
            return Err(format!(
                "{name}: neither a document of this project nor of the platform"
            ));
        }
    };
    Ok(Loaded { text, value, kind })
}

/// Retries that the settings of an entry allow for each 100 first attempts.
fn load_retry_percent(file: &Path) -> Result<u32, String> {
    let settings = settings::load(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok((settings.entry.retry_budget.ratio * 100.0) as u32)
}

/// All findings with their lines, in the order of the text.
fn find(loaded: &Loaded, retry_percent: Option<u32>) -> Vec<Finding> {
    let planned = match loaded.kind {
        Kind::Platform => plan_configuration(&loaded.value),
        Kind::Project => plan_document(&loaded.text),
    };
    let mut findings = match planned {
        Ok(plan) => check(&Plan {
            retry_percent: plan.retry_percent.or(retry_percent),
            ..plan
        }),
        Err(findings) => findings,
    };
    for finding in &mut findings {
        if finding.line == 0 {
            finding.line = line_of(&loaded.text, &finding.path);
        }
    }
    findings.sort_by_key(|finding| finding.line);
    findings
}

/// Translates a document of this project for the checks.
///
/// # Errors
/// What the document's own validation refuses, also when it is submitted.
fn plan_document(text: &str) -> Result<Plan, Vec<Finding>> {
    let doc: Document = serde_json::from_str(text).map_err(|error| {
        let mut finding = Finding::new("", Rule::InvalidValue, error.to_string());
        finding.line = error.line();
        vec![finding]
    })?;
    doc.check().map_err(|problems| {
        let findings = problems.into_iter().map(|problem| {
            let message = format!("`{}`; allowed: {}", problem.value, problem.allowed);
            Finding::new(problem.path, Rule::InvalidValue, message)
        });
        findings.collect::<Vec<_>>()
    })?;
    let mut plan = Plan {
        retry_percent: Some(doc.services.policy.retry_percent),
        ..Plan::default()
    };
    for (index, service) in doc.services.services.iter().enumerate() {
        let path = format!("services.services[{index}]");
        for (index, route) in service.routes.iter().enumerate() {
            let path = format!("{path}.routes[{index}]");
            let pattern = route.path.as_str();
            let prefix = pattern.strip_suffix('*');
            plan.routes.push(RoutePlan {
                name: format!("{} {pattern}", route.method).into(),
                has_name: false,
                matches: Match {
                    scope: format!("{} {}", service.id, route.method).into(),
                    host: None,
                    path: prefix.unwrap_or(pattern).into(),
                    is_exact: prefix.is_none(),
                },
                timeout: None,
                objective: None,
                attempts: None,
                is_public: false,
                splits: vec![SplitPlan {
                    path: path.clone(),
                    service: service.id.as_str().into(),
                    weight: 1,
                }],
                path,
            });
        }
        plan.services.push(ServicePlan {
            name: service.id.as_str().into(),
            targets: Some(doc.services.targets_of(&service.id).count()),
            attempts: Some(("retry.max_attempts", service.retry.max_attempts)),
            largest_request: None,
            path,
        });
    }
    for (index, account) in doc.accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        let keys = account.keys.iter().enumerate().map(|(index, key)| {
            let digest = json!(key.sha256).to_string();
            (format!("{path}.keys[{index}]"), digest.into())
        });
        plan.accounts.push(AccountPlan {
            keys: keys.collect(),
            name: account.id.as_str().into(),
            prepaid: None,
            path,
        });
    }
    Ok(plan)
}
