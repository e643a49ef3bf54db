//! Validation errors of a document.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum length of the value that a problem quotes; longer values are truncated.
const MAX_VALUE_BYTES: usize = 80;

/// One invalid value of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The path of the value, for example `accounts[2].keys[0].budget`; line and column if the
    /// text does not parse.
    pub path: SmolStr,
    /// The invalid value, truncated to 80 bytes; the parser's message if the text does not parse.
    pub value: SmolStr,
    /// The values that are allowed.
    pub allowed: SmolStr,
}

impl Problem {
    /// Creates a problem; `value` is truncated to 80 bytes.
    pub fn new(
        path: impl Into<SmolStr>,
        value: impl fmt::Display,
        allowed: impl Into<SmolStr>,
    ) -> Self {
        let text = value.to_string();
        let mut end = text.len().min(MAX_VALUE_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Self {
            path: path.into(),
            value: text[..end].into(),
            allowed: allowed.into(),
        }
    }

    /// Creates a problem from a JSON parse error; `name` names the text.
    pub fn from_json(name: &str, error: &serde_json::Error) -> Self {
        let path = format!("{name} line {} column {}", error.line(), error.column());
        Self {
            path: path.into(),
            value: error.to_string().into(),
            allowed: "JSON in the documented format, without unknown fields".into(),
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
