//! Values of the command line; every error names the field and the value.

use std::{fmt, net::SocketAddr, path::Path, str::FromStr};

use cyc_settings::table::Allowed;
use cyc_types::ProcessKey;

use crate::output::{Exit, Output};

/// A value that is not allowed.
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

/// Reads a value of any type.
///
/// # Errors
/// If `value` does not parse.
pub fn value<T: FromStr>(field: &'static str, value: &str, allowed: &str) -> Result<T, Error> {
    value.parse().map_err(|_| Error {
        field,
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    })
}

/// Reads an id.
///
/// # Errors
/// If `text` is not one.
pub fn id<T: FromStr>(field: &'static str, text: &str) -> Result<T, Error> {
    value(field, text, &Allowed::Id.to_string())
}

/// Reads the address of the platform.
///
/// # Errors
/// If `text` is not an IP number and a port.
pub fn platform(text: &str) -> Result<SocketAddr, Error> {
    value("--platform", text, &Allowed::Addr.to_string())
}

/// Reads the key that all processes share. An error never shows the key.
///
/// # Errors
/// If the file cannot be read or holds no key.
pub fn key_file(path: &Path) -> Result<ProcessKey, Error> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.trim().parse().map_err(|_| Error {
        field: "--key-file",
        value: path.display().to_string(),
        allowed: format!("a readable file with {}", Allowed::Secret),
    })
}
