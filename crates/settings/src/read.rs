//! Parses INI text and validates it against the table of settings.

use std::{collections::BTreeMap, path::Path, str::FromStr};

use ini::{Ini, ParseOption};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    error::{SettingsError, SettingsErrorKind},
    table::{self, Allowed, Daemon, Presence, Setting},
};

/// Reads the file at `path`; returns its name for error messages and its text.
pub(crate) fn read_file(path: &Path) -> Result<(SmolStr, String), Vec<SettingsError>> {
    let name = format_smolstr!("{}", path.display());
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(error) => Err(vec![SettingsError {
            file: name,
            kind: SettingsErrorKind::Unreadable,
            section: SmolStr::default(),
            key: None,
            value: None,
            allowed: format_smolstr!("a readable file of UTF-8 text ({error})"),
        }]),
    }
}

/// The values of one file, including defaults.
///
/// Invariant: each value is allowed by the table.
#[derive(Debug)]
pub(crate) struct Values {
    file: SmolStr,
    values: BTreeMap<(&'static str, &'static str), SmolStr>,
}

impl Values {
    /// Parses `text` and validates it against the settings of `daemon`.
    pub(crate) fn parse(
        daemon: Daemon,
        file: &str,
        text: &str,
    ) -> Result<Self, Vec<SettingsError>> {
        let options = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            vec![SettingsError {
                file: file.into(),
                kind: SettingsErrorKind::Syntax,
                section: SmolStr::default(),
                key: None,
                value: Some(format_smolstr!("line {}", error.line)),
                allowed: format_smolstr!("`[section]` and `key = value` lines ({})", error.msg),
            }]
        })?;
        let mut validator = Validator::new(daemon, file);
        validator.check_sections(&ini);
        validator.fill_defaults();
        validator.finish()
    }

    /// Returns the value of a key, if it is set or has a default.
    pub(crate) fn optional<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<T>, Vec<SettingsError>> {
        match self.values.get(&(section, key)) {
            None => Ok(None),
            Some(value) => match value.parse() {
                Ok(parsed) => Ok(Some(parsed)),
                Err(_) => Err(vec![self.bad_value(
                    section,
                    key,
                    "a value of the expected type",
                )]),
            },
        }
    }

    /// Returns the value of a key that is required or has a default.
    pub(crate) fn get<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<T, Vec<SettingsError>> {
        self.optional(section, key)?
            .ok_or_else(|| vec![self.bad_value(section, key, "a value")])
    }

    /// Returns the elements of a comma-separated list; empty elements are skipped.
    pub(crate) fn list<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Vec<T>, Vec<SettingsError>> {
        let text: SmolStr = self.get(section, key)?;
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| {
                part.parse()
                    .map_err(|_| vec![self.bad_value(section, key, "a comma-separated list")])
            })
            .collect()
    }

    /// Creates an error for a value that the table allows but that does not parse or contradicts
    /// another key.
    pub(crate) fn bad_value(
        &self,
        section: &'static str,
        key: &'static str,
        allowed: impl Into<SmolStr>,
    ) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            kind: SettingsErrorKind::BadValue,
            section: section.into(),
            key: Some(key.into()),
            value: self.values.get(&(section, key)).cloned(),
            allowed: allowed.into(),
        }
    }
}

/// Validates one file against the table and collects all errors.
struct Validator {
    daemon: Daemon,
    values: Values,
    seen_sections: Vec<SmolStr>,
    errors: Vec<SettingsError>,
    /// Keys that occurred, including those with a bad value.
    seen_keys: Vec<(&'static str, &'static str)>,
}

impl Validator {
    fn new(daemon: Daemon, file: &str) -> Self {
        Self {
            daemon,
            values: Values {
                file: file.into(),
                values: BTreeMap::new(),
            },
            seen_sections: Vec::new(),
            errors: Vec::new(),
            seen_keys: Vec::new(),
        }
    }

    fn push_error(
        &mut self,
        kind: SettingsErrorKind,
        section: &str,
        key_and_value: Option<(&str, Option<&str>)>,
        allowed: impl Into<SmolStr>,
    ) {
        self.errors.push(SettingsError {
            file: self.values.file.clone(),
            kind,
            section: section.into(),
            key: key_and_value.map(|(key, _)| key.into()),
            value: key_and_value
                .and_then(|(_, value)| value)
                .map(SmolStr::from),
            allowed: allowed.into(),
        });
    }

    fn check_sections(&mut self, ini: &Ini) {
        for (section, properties) in ini.iter() {
            if section.is_none() && properties.is_empty() {
                continue;
            }
            let section = section.unwrap_or_default();
            let known: Vec<&'static Setting> = table::settings_of(self.daemon)
                .filter(|setting| setting.section == section)
                .collect();
            if known.is_empty() {
                let allowed = format_smolstr!("sections {}", section_names(self.daemon));
                self.push_error(SettingsErrorKind::UnknownSection, section, None, allowed);
                continue;
            }
            if self.seen_sections.iter().any(|name| name == section) {
                let allowed = "each section once";
                self.push_error(SettingsErrorKind::DuplicateSection, section, None, allowed);
            }
            self.seen_sections.push(section.into());
            for (key, value) in properties.iter() {
                self.check_key(&known, section, key, value);
            }
        }
    }

    fn check_key(&mut self, known: &[&'static Setting], section: &str, key: &str, value: &str) {
        let Some(setting) = known.iter().find(|setting| setting.key == key) else {
            let names: Vec<_> = known.iter().map(|setting| setting.key).collect();
            let allowed = format_smolstr!("keys {}", names.join(", "));
            return self.push_error(
                SettingsErrorKind::UnknownKey,
                section,
                Some((key, Some(value))),
                allowed,
            );
        };
        let value = value.trim();
        let shown = match setting.allowed {
            Allowed::Secret => None,
            _ => Some(value),
        };
        let id = (setting.section, setting.key);
        if self.seen_keys.contains(&id) {
            let allowed = "each key once";
            return self.push_error(
                SettingsErrorKind::DuplicateKey,
                section,
                Some((key, shown)),
                allowed,
            );
        }
        self.seen_keys.push(id);
        if setting.allowed.accepts(value) {
            self.values.values.insert(id, value.into());
        } else {
            let allowed = format_smolstr!("{}", setting.allowed);
            self.push_error(
                SettingsErrorKind::BadValue,
                section,
                Some((key, shown)),
                allowed,
            );
        }
    }

    /// Adds the defaults of missing keys, and errors for missing keys that are required.
    fn fill_defaults(&mut self) {
        for setting in table::settings_of(self.daemon) {
            let id = (setting.section, setting.key);
            if self.seen_keys.contains(&id) {
                continue;
            }
            match setting.presence {
                Presence::Optional => {}
                Presence::Default(value) => {
                    self.values.values.insert(id, value.into());
                }
                Presence::Required => {
                    let allowed = format_smolstr!("{}", setting.allowed);
                    let key_and_value = Some((setting.key, None));
                    self.push_error(
                        SettingsErrorKind::MissingKey,
                        setting.section,
                        key_and_value,
                        allowed,
                    );
                }
            }
        }
    }

    fn finish(self) -> Result<Values, Vec<SettingsError>> {
        if self.errors.is_empty() {
            Ok(self.values)
        } else {
            Err(self.errors)
        }
    }
}

fn section_names(daemon: Daemon) -> String {
    let mut names: Vec<_> = table::settings_of(daemon)
        .map(|setting| setting.section)
        .collect();
    names.dedup();
    names.sort_unstable();
    names.dedup();
    names.join(", ")
}
