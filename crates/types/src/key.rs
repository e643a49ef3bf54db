//! The secret that authenticates the processes of a deployment to each other.

use std::{fmt, str::FromStr};

use smol_str::SmolStr;

use crate::size::ParseValueError;

/// The minimum length of a process key, in characters.
pub const MIN_PROCESS_KEY_CHARS: usize = 16;

/// The shared secret that processes of a deployment send to each other.
///
/// Invariant: at least [`MIN_PROCESS_KEY_CHARS`] characters, all visible ASCII. The `Debug` form
/// and parse errors never contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct ProcessKey(SmolStr);

impl ProcessKey {
    /// Returns the secret in clear text, for the header that authenticates a connection.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ProcessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ProcessKey(..)")
    }
}

impl FromStr for ProcessKey {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_visible && text.len() >= MIN_PROCESS_KEY_CHARS {
            Ok(Self(text.into()))
        } else {
            Err(ParseValueError {
                expected_type: "ProcessKey",
                input: String::from("(hidden)"),
            })
        }
    }
}
