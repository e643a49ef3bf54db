//! What is wrong with a settings file.

use std::fmt;

use smol_str::SmolStr;

/// The kinds of faults in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The file cannot be read.
    Unreadable,
    /// A line is not INI.
    Syntax,
    /// The daemon has no such section.
    UnknownSection,
    /// The section has no such key.
    UnknownKey,
    /// The section stands twice.
    DuplicateSection,
    /// The key stands twice in its section.
    DuplicateKey,
    /// A key without a default is missing.
    MissingKey,
    /// The value is not allowed.
    BadValue,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "cannot be read",
            Self::Syntax => "is not INI",
            Self::UnknownSection => "unknown section",
            Self::UnknownKey => "unknown key",
            Self::DuplicateSection => "duplicate section",
            Self::DuplicateKey => "duplicate key",
            Self::MissingKey => "missing key",
            Self::BadValue => "bad value",
        })
    }
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file, as it was named to the reader.
    pub file: SmolStr,
    /// The fault.
    pub fault: Fault,
    /// The section; empty for keys outside a section.
    pub section: SmolStr,
    /// The key, where one is at fault.
    pub key: Option<SmolStr>,
    /// The value, where one was given. The value of a secret is left out.
    pub value: Option<SmolStr>,
    /// What is allowed instead.
    pub allowed: SmolStr,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.fault)?;
        if !matches!(self.fault, Fault::Unreadable | Fault::Syntax) {
            write!(f, ": [{}]", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        if let Some(value) = &self.value {
            write!(f, " = `{value}`")?;
        }
        write!(f, "; allowed: {}", self.allowed)
    }
}

impl std::error::Error for SettingsError {}
