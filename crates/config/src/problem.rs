//! What is wrong with a document.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The most bytes of a value that a problem repeats.
const MAX_SHOWN_BYTES: usize = 80;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where it is, for example `accounts[2].keys[0].budget`; for text that is not a document,
    /// its line and column.
    pub path: SmolStr,
    /// The value that was given, cut to a line.
    pub value: SmolStr,
    /// What is allowed.
    pub allowed: SmolStr,
}

impl Problem {
    /// Names a fault.
    pub fn new(
        path: impl Into<SmolStr>,
        value: impl fmt::Display,
        allowed: impl Into<SmolStr>,
    ) -> Self {
        let text = value.to_string();
        let mut end = text.len().min(MAX_SHOWN_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Self {
            path: path.into(),
            value: text[..end].into(),
            allowed: allowed.into(),
        }
    }

    /// Says why JSON text is not of the wanted form.
    pub fn from_json(name: &str, error: &serde_json::Error) -> Self {
        let path = format!("{name} line {} column {}", error.line(), error.column());
        Self {
            path: path.into(),
            value: error.to_string().into(),
            allowed: "JSON of the documented form, without unknown fields".into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: `{}`; allowed: {}",
            self.path, self.value, self.allowed
        )
    }
}

impl std::error::Error for Problem {}
