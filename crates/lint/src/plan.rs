//! What the checks need of a document, whatever its format. Each part has its path in the document.

use cyc_types::{Millis, Tokens};
use smol_str::SmolStr;

/// The requests that a route matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Match {
    /// Routes in different scopes never compete: the host, or the service and the method.
    pub scope: SmolStr,
    /// The host, if requests are matched by it.
    pub host: Option<SmolStr>,
    /// The beginning of the path, or the whole path.
    pub path: SmolStr,
    /// Only the whole path matches.
    pub is_exact: bool,
}

/// A service of a route, with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct SplitPlan {
    /// Path in the document.
    pub path: String,
    /// Name of the service.
    pub service: SmolStr,
    /// Weight as the entries use it.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePlan {
    /// Path in the document.
    pub path: String,
    /// Name for messages; unique if `has_name`.
    pub name: SmolStr,
    /// The name identifies the route.
    pub has_name: bool,
    /// Its requests.
    pub matches: Match,
    /// Field and value of the timeout, if there is one.
    pub timeout: Option<(&'static str, Millis)>,
    /// Objective of the answer, if there is one.
    pub objective: Option<Millis>,
    /// Field and number of the attempts, if the route has them.
    pub attempts: Option<(&'static str, u32)>,
    /// No API key is needed.
    pub is_public: bool,
    /// Services that get the requests.
    pub splits: Vec<SplitPlan>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    /// Path in the document.
    pub path: String,
    /// Name.
    pub name: SmolStr,
    /// Targets, if the document has them.
    pub targets: Option<usize>,
    /// Field and number of the attempts, if the service has them.
    pub attempts: Option<(&'static str, u32)>,
    /// Tokens of the largest request that a target of the service can hold, if it is known.
    pub largest_request: Option<Tokens>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountPlan {
    /// Path in the document.
    pub path: String,
    /// Name.
    pub name: SmolStr,
    /// Its keys, or their digests, with their paths.
    pub keys: Vec<(String, SmolStr)>,
    /// Field and value of the prepaid total, if there is one.
    pub prepaid: Option<(&'static str, Tokens)>,
}

/// A document.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Routes, in the order of the document.
    pub routes: Vec<RoutePlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
    /// Retries that the retry budget allows for each 100 first attempts, if the document says it.
    pub retry_percent: Option<u32>,
}
