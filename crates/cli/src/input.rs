//! Parsing of values from the command line. Errors name the field and the value.

use std::{fmt, net::SocketAddr, path::Path, str::FromStr};

use cyc_settings::table::Allowed;
use cyc_types::ProcessKey;

use crate::output::{Exit, Output};

/// An invalid value of a flag or argument.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    field: &'static str,
    value: String,
    allowed: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            allowed,
        } = self;
        write!(f, "{field}: `{value}` is not allowed; allowed: {allowed}")
    }
}

impl std::error::Error for Error {}

impl From<Error> for Output {
    fn from(error: Error) -> Self {
        Self::error(Exit::Usage, error.to_string())
    }
}

/// Parses a value; `allowed` describes the valid ones in the error.
///
/// # Errors
/// If `value` is not valid for `T`.
pub fn parse<T: FromStr>(field: &'static str, value: &str, allowed: &str) -> Result<T, Error> {
    value.parse().map_err(|_| Error {
        field,
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    })
}

/// Parses an id.
///
/// # Errors
/// If `text` is not a valid id.
pub fn parse_id<T: FromStr>(field: &'static str, text: &str) -> Result<T, Error> {
    parse(field, text, &Allowed::Id.to_string())
}

/// Parses the address of the platform.
///
/// # Errors
/// If `text` is not an IP address with a port.
pub fn parse_platform(text: &str) -> Result<SocketAddr, Error> {
    parse("--platform", text, &Allowed::Addr.to_string())
}

/// Reads the key that all processes share. Errors never contain the key.
///
/// # Errors
/// If the file cannot be read or has no valid key.
pub fn read_key(path: &Path) -> Result<ProcessKey, Error> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.trim().parse().map_err(|_| Error {
        field: "--key-file",
        value: path.display().to_string(),
        allowed: format!("a readable file with {}", Allowed::Secret),
    })
}
