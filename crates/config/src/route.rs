//! Routes of a service and the matching of request paths.

use std::fmt;

use cyc_proto::sidecar::RouteClass;
use cyc_types::Tokens;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The method of an engine service's only route.
pub const CHAT_METHOD: &str = "POST";
/// The path of an engine service's only route.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// A path pattern: an exact path, or a prefix followed by `*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RoutePath(SmolStr);

impl RoutePath {
    /// Creates a pattern without validating it; [`crate::Document::check`] does.
    pub fn new(pattern: impl Into<SmolStr>) -> Self {
        Self(pattern.into())
    }

    /// Returns the pattern, including a trailing `*`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns true if the pattern is a normalized path without `%`, `?` and `#`, in which `*`
    /// occurs at most as the last character.
    pub fn is_valid(&self) -> bool {
        let literal = self.0.strip_suffix('*').unwrap_or(&self.0);
        is_normalized(literal) && !literal.contains(['*', '%', '?', '#'])
    }

    /// Returns the specificity of the match with `path`, or `None` if it does not match.
    ///
    /// The specificity is the length of the literal part in bytes, plus one for an exact pattern.
    pub fn match_specificity(&self, path: &str) -> Option<usize> {
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

/// Returns true if the path is normalized, so that no target can resolve it to a different path: it
/// starts with `/`, consists of visible ASCII characters and has no empty (except the last), `.` or
/// `..` segment, no backslash and no percent-encoded `.`, `/` or `\`.
pub fn is_normalized(path: &str) -> bool {
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
    let mut normalized = !escaped && visible;
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        normalized &= !matches!(segment, "." | "..") && (last || !segment.is_empty());
    }
    normalized
}

/// Maps a method and a path pattern of a service to a class and the rules for its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, in upper case.
    pub method: SmolStr,
    /// The pattern of the path, relative to the service. Of several matching routes the most
    /// specific is chosen.
    pub path: RoutePath,
    /// The route class, which selects the pool.
    pub class: RouteClass,
    /// True if a request may be executed more than once; default false.
    #[serde(default)]
    pub idempotent: bool,
    /// The price of one call of a plain service. Invariant: absent for engine services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub price: Option<Tokens>,
    /// True if a hedged attempt may start while the first is still running; default false.
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

    /// Sets whether a request may be executed more than once.
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets whether a hedged attempt may start while the first is still running.
    pub fn with_hedge(mut self, hedge: bool) -> Self {
        self.hedge = hedge;
        self
    }
}
