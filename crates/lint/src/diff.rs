//! Differences of a document from the one in force.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
};

use serde::Serialize;
use serde_json::Value;

/// Fields that name the members of a list, in the order in which they are tried.
const NAME_FIELDS: [&str; 4] = ["name", "id", "class", "service"];
/// Fields whose values are secret, or digests of secrets: only how many change is shown.
const KEY_FIELDS: [&str; 2] = ["apiKeys", "keys"];
/// Maximum length of a shown value.
const MAX_VALUE_BYTES: usize = 100;

/// One changed value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the value, with the names of members, as in `routes[r-1].timeoutMs`.
    pub path: String,
    /// The value in force; `None` if there is none.
    pub old: Option<String>,
    /// The new value; `None` if there is none.
    pub new: Option<String>,
    /// Who notices the change, and how.
    pub notice: &'static str,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".into());
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            shown(&self.old),
            shown(&self.new)
        )?;
        match self.notice.is_empty() {
            true => Ok(()),
            false => write!(f, "; {}", self.notice),
        }
    }
}

/// Compares a document with the one in force.
pub fn diff(old: &Value, new: &Value) -> Vec<Difference> {
    let mut all = Vec::new();
    compare("", old, new, &mut all);
    all
}

fn compare(path: &str, old: &Value, new: &Value, all: &mut Vec<Difference>) {
    if old == new {
        return;
    }
    if let Some(field) = KEY_FIELDS.iter().find(|field| path.ends_with(*field)) {
        return compare_keys(path, field, old, new, all);
    }
    let members = |value: &Value| -> Option<BTreeMap<String, Value>> {
        match value {
            Value::Object(fields) => Some(
                fields
                    .iter()
                    .map(|(name, value)| (join(path, name), value.clone()))
                    .collect(),
            ),
            Value::Array(items) => named_members(path, items),
            _ => None,
        }
    };
    let is_same_kind = old.is_object() == new.is_object() && old.is_array() == new.is_array();
    match (members(old), members(new)) {
        (Some(old), Some(new)) if is_same_kind => {
            for (path, old) in &old {
                match new.get(path) {
                    Some(new) => compare(path, old, new, all),
                    None => all.push(difference(path, Some(old), None)),
                }
            }
            let added = new.iter().filter(|(path, _)| !old.contains_key(*path));
            all.extend(added.map(|(path, new)| difference(path, None, Some(new))));
        }
        _ => all.push(difference(path, Some(old), Some(new))),
    }
}

/// Members of a list by their names; `None` if they have none, or not one each.
fn named_members(path: &str, items: &[Value]) -> Option<BTreeMap<String, Value>> {
    let mut named = BTreeMap::new();
    for item in items {
        let names = NAME_FIELDS.iter().filter_map(|field| item.get(field));
        let name = names.filter_map(Value::as_str).next()?;
        named.insert(format!("{path}[{name}]"), item.clone());
    }
    (named.len() == items.len()).then_some(named)
}

fn compare_keys(path: &str, field: &str, old: &Value, new: &Value, all: &mut Vec<Difference>) {
    let texts = |value: &Value| -> HashSet<String> {
        let items = value.as_array().into_iter().flatten();
        items.map(ToString::to_string).collect()
    };
    let (old, new) = (texts(old), texts(new));
    let removed = old.difference(&new).count();
    let added = new.difference(&old).count();
    if removed > 0 {
        all.push(Difference {
            path: path.into(),
            old: Some(format!("{removed} {field}")),
            new: None,
            notice: "callers that use one of these keys get 401",
        });
    }
    if added > 0 {
        all.push(Difference {
            path: path.into(),
            old: None,
            new: Some(format!("{added} {field}")),
            notice: "callers with these keys are admitted",
        });
    }
}

fn join(path: &str, name: &str) -> String {
    match path.is_empty() {
        true => name.to_string(),
        false => format!("{path}.{name}"),
    }
}

fn difference(path: &str, old: Option<&Value>, new: Option<&Value>) -> Difference {
    Difference {
        path: path.to_string(),
        old: old.map(shown),
        new: new.map(shown),
        notice: notice(path, old, new),
    }
}

/// The value as JSON without keys, cut to [`MAX_VALUE_BYTES`].
fn shown(value: &Value) -> String {
    let mut text = without_keys(value).to_string();
    let mut end = text.len().min(MAX_VALUE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    if end < text.len() {
        text.truncate(end);
        text.push_str("...");
    }
    text
}

fn without_keys(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let kept = fields.iter().map(|(name, value)| {
                let is_secret = KEY_FIELDS.contains(&name.as_str());
                let count = value.as_array().map_or(0, Vec::len);
                let value = match is_secret {
                    true => Value::from(count),
                    false => without_keys(value),
                };
                (name.clone(), value)
            });
            Value::Object(kept.collect())
        }
        Value::Array(items) => Value::Array(items.iter().map(without_keys).collect()),
        other => other.clone(),
    }
}

/// Who notices a change, by the section of the document and the field.
fn notice(path: &str, old: Option<&Value>, new: Option<&Value>) -> &'static str {
    let is_member = path.ends_with(']');
    let section = path.split(['[', '.']).next().unwrap_or_default();
    let field = path.rsplit(['.', ']']).next().unwrap_or_default();
    let number = |value: Option<&Value>| value.and_then(Value::as_f64);
    let is_less = number(new) < number(old);
    let (is_added, is_removed) = (old.is_none() && is_member, new.is_none() && is_member);
    match (section, field) {
        ("routes", _) if is_added => "callers of its paths reach it",
        ("routes", _) if is_removed => "callers of its paths get 404, or another route",
        ("routes", "timeoutMs") if is_less => "its slowest callers are cut off earlier",
        ("routes", "attempts") if is_less => "its callers see more failures of single targets",
        ("routes", "public") => "its callers need a key, or no longer need one",
        ("routes", "routeKind") => "its requests are repeated by other rules",
        ("routes", "host" | "pathPrefix") => "callers of the old path no longer reach it",
        ("routes", _) => "its callers",
        ("tenants" | "accounts", _) if is_added => "its callers are admitted",
        ("tenants" | "accounts", _) if is_removed => "its callers get 401",
        ("tenants", "prepaid") if is_less => "its callers get 402 earlier",
        ("tenants", "prepaid") => "its callers get 402 later",
        ("tenants", "priority") => "its callers, when targets are busy",
        ("limits", _) if is_less => "callers over the new limit are refused",
        ("limits", _) => "callers over the old limit are admitted",
        ("services", _) if is_removed => "callers of its routes",
        ("services", _) => "callers of its routes, by load or speed",
        _ => "",
    }
}
