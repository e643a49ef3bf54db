//! Routes of a service and how a request finds its route.

use std::fmt;

use cyc_proto::sidecar::RouteClass;
use cyc_types::Tokens;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The method of the one route of an engine service.
pub const CHAT_METHOD: &str = "POST";
/// The path of the one route of an engine service.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// A path, or a prefix of paths that ends in `*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RoutePath(SmolStr);

impl RoutePath {
    /// Wraps a pattern; [`crate::Document::check`] says whether it is valid.
    pub fn new(pattern: impl Into<SmolStr>) -> Self {
        Self(pattern.into())
    }

    /// Returns the pattern.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns true if the pattern is a plain path, or one with `*` as its last character.
    pub fn is_valid(&self) -> bool {
        let fixed = self.0.strip_suffix('*').unwrap_or(&self.0);
        is_plain(fixed) && !fixed.contains(['*', '%', '?', '#'])
    }

    /// Returns how many characters of `path` the pattern fixes, or `None` if it does not match.
    ///
    /// An exact pattern counts one more than a prefix of the same length.
    pub fn matches(&self, path: &str) -> Option<usize> {
        match self.0.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix).then_some(prefix.len()),
            None => (path == self.0).then_some(self.0.len() + 1),
        }
    }
}

impl fmt::Display for RoutePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns true if a target cannot read the path as another one: it starts with `/` and has no
/// empty, `.` or `..` segment, no backslash and no escaped `.`, `/` or `\`.
pub fn is_plain(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let lower = path.to_ascii_lowercase();
    let escaped = ["%2e", "%2f", "%5c"]
        .iter()
        .any(|code| lower.contains(code));
    let visible = path
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'\\');
    let mut segments = rest.split('/').peekable();
    let mut plain = !escaped && visible;
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        plain &= !matches!(segment, "." | "..") && (last || !segment.is_empty());
    }
    plain
}

/// One kind of request that a service takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, in capitals.
    pub method: SmolStr,
    /// The path below the service. Among several that match, the longest wins.
    pub path: RoutePath,
    /// The class, which chooses the pool.
    pub class: RouteClass,
    /// True if a request may run more than once; false if left out.
    #[serde(default)]
    pub idempotent: bool,
    /// The price of one call of a plain service. Invariant: absent for engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub price: Option<Tokens>,
    /// True if a second attempt may start before the first has failed.
    /// Invariant: false unless `idempotent`.
    #[serde(default)]
    pub hedge: bool,
}

impl Route {
    /// Creates a non-idempotent route of a plain service.
    pub fn new(
        method: impl Into<SmolStr>,
        path: impl Into<SmolStr>,
        class: RouteClass,
        price: Tokens,
    ) -> Self {
        Self {
            method: method.into(),
            path: RoutePath::new(path),
            class,
            idempotent: false,
            price: Some(price),
            hedge: false,
        }
    }

    /// Creates the idempotent chat route of an engine service.
    pub fn new_chat(class: RouteClass) -> Self {
        Self {
            method: CHAT_METHOD.into(),
            path: RoutePath::new(CHAT_PATH),
            class,
            idempotent: true,
            price: None,
            hedge: false,
        }
    }

    /// Says whether a request may run more than once.
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Says whether a second attempt may start before the first has failed.
    pub fn with_hedge(mut self, hedge: bool) -> Self {
        self.hedge = hedge;
        self
    }
}
