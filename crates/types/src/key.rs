//! The key that all processes of a deployment share.

use std::{fmt, str::FromStr};

use smol_str::SmolStr;

use crate::size::ParseValueError;

/// The shortest process key, in characters.
pub const MIN_PROCESS_KEY_CHARS: usize = 16;

/// The key that all processes share.
///
/// Invariant: visible ASCII, at least [`MIN_PROCESS_KEY_CHARS`] of them. `Debug` hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct ProcessKey(SmolStr);

impl ProcessKey {
    /// Returns the key, for the header of a connection.
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
                wanted: "ProcessKey",
                given: String::from("(hidden)"),
            })
        }
    }
}
