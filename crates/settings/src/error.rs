//! Errors of a settings file.

use std::fmt;

use smol_str::SmolStr;

/// The kinds of errors in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// The file cannot be read.
    Unreadable,
    /// A line is not valid INI.
    Syntax,
    /// The daemon has no such section.
    UnknownSection,
    /// The section has no such key.
    UnknownKey,
    /// The section occurs more than once.
    DuplicateSection,
    /// The key occurs more than once in its section.
    DuplicateKey,
    /// A required key is missing.
    MissingKey,
    /// The value is not allowed.
    BadValue,
}

impl fmt::Display for SettingsErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "cannot be read",
            Self::Syntax => "is not valid INI",
            Self::UnknownSection => "unknown section",
            Self::UnknownKey => "unknown key",
            Self::DuplicateSection => "duplicate section",
            Self::DuplicateKey => "duplicate key",
            Self::MissingKey => "missing key",
            Self::BadValue => "bad value",
        })
    }
}

/// One error of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The name of the file, as passed to the parser.
    pub file: SmolStr,
    /// The kind of error.
    pub kind: SettingsErrorKind,
    /// The section; empty for keys outside a section and for errors of the whole file.
    pub section: SmolStr,
    /// The key, unless the error concerns a section or the whole file.
    pub key: Option<SmolStr>,
    /// The value, if one was given; the line number for [`SettingsErrorKind::Syntax`]. `None` for
    /// secrets.
    pub value: Option<SmolStr>,
    /// The values that are allowed.
    pub allowed: SmolStr,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.kind)?;
        if !matches!(
            self.kind,
            SettingsErrorKind::Unreadable | SettingsErrorKind::Syntax
        ) {
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
