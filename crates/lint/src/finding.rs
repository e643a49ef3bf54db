//! What the checks find.

use std::fmt;

use serde::Serialize;
use strum::Display;

/// The rule that a part of a document breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// A value that the decoder or the document's own validation refuses.
    InvalidValue,
    /// A route that no request reaches, because other routes match all of its requests.
    RouteNeverMatches,
    /// A service that the document does not have.
    UnknownService,
    /// A part of a split that gets no requests.
    SplitWithoutWeight,
    /// A service that no target serves.
    ServiceWithoutTargets,
    /// A service that no route uses.
    ServiceWithoutRoutes,
    /// An API key that does not lead to its account.
    KeyOfNoAccount,
    /// Two accounts, services or routes of one name.
    DuplicateName,
    /// Routes that need a key while no account has one.
    NoKeys,
    /// A timeout under the objective.
    TimeoutUnderObjective,
    /// More attempts than the retry budget allows, or none.
    AttemptsOverBudget,
    /// A prepaid total that does not cover the largest request.
    PrepaidUnderRequest,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Path of the value, as in `routes[0].timeoutMs`.
    pub path: String,
    /// Line of the value in the text, from 1; 0 if it is not known.
    pub line: usize,
    /// The broken rule.
    pub rule: Rule,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Creates a finding whose line is not known yet.
    pub fn new(path: impl Into<String>, rule: Rule, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: 0,
            rule,
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}: {} ({})",
            self.line, self.path, self.message, self.rule
        )
    }
}
