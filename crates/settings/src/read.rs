//! Reads INI text against the table.

use std::{collections::BTreeMap, path::Path, str::FromStr};

use ini::{Ini, ParseOption};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    error::{Fault, SettingsError},
    table::{self, Allowed, Daemon, Need, Setting},
};

/// Reads the file at `path`.
pub(crate) fn file(path: &Path) -> Result<(SmolStr, String), Vec<SettingsError>> {
    let name = format_smolstr!("{}", path.display());
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(error) => Err(vec![SettingsError {
            file: name,
            fault: Fault::Unreadable,
            section: SmolStr::default(),
            key: None,
            value: None,
            allowed: format_smolstr!("a readable file in UTF-8 ({error})"),
        }]),
    }
}

/// The values of one file, defaults included.
///
/// Invariant: each value is one that the table allows.
#[derive(Debug)]
pub(crate) struct Values {
    file: SmolStr,
    values: BTreeMap<(&'static str, &'static str), SmolStr>,
}

impl Values {
    /// Checks `text` against the settings of `daemon`.
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
                fault: Fault::Syntax,
                section: SmolStr::default(),
                key: None,
                value: Some(format_smolstr!("line {}", error.line)),
                allowed: format_smolstr!("`[section]` and `key = value` lines ({})", error.msg),
            }]
        })?;
        let mut check = Check::new(daemon, file);
        check.sections(&ini);
        check.missing();
        check.finish()
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
                Err(_) => Err(vec![self.bad(section, key, "another value")]),
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
            .ok_or_else(|| vec![self.bad(section, key, "a value")])
    }

    /// Returns a list of values with commas between them.
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
                    .map_err(|_| vec![self.bad(section, key, "a list")])
            })
            .collect()
    }

    /// Names a bad value, for checks that involve two keys.
    pub(crate) fn bad(
        &self,
        section: &'static str,
        key: &'static str,
        allowed: impl Into<SmolStr>,
    ) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            fault: Fault::BadValue,
            section: section.into(),
            key: Some(key.into()),
            value: self.values.get(&(section, key)).cloned(),
            allowed: allowed.into(),
        }
    }
}

struct Check {
    daemon: Daemon,
    values: Values,
    sections: Vec<SmolStr>,
    errors: Vec<SettingsError>,
    /// Keys that were given, also with a bad value.
    seen: Vec<(&'static str, &'static str)>,
}

impl Check {
    fn new(daemon: Daemon, file: &str) -> Self {
        Self {
            daemon,
            values: Values {
                file: file.into(),
                values: BTreeMap::new(),
            },
            sections: Vec::new(),
            errors: Vec::new(),
            seen: Vec::new(),
        }
    }

    fn error(
        &mut self,
        fault: Fault,
        section: &str,
        entry: Option<(&str, Option<&str>)>,
        allowed: impl Into<SmolStr>,
    ) {
        self.errors.push(SettingsError {
            file: self.values.file.clone(),
            fault,
            section: section.into(),
            key: entry.map(|(key, _)| key.into()),
            value: entry.and_then(|(_, value)| value).map(SmolStr::from),
            allowed: allowed.into(),
        });
    }

    fn sections(&mut self, ini: &Ini) {
        for (section, properties) in ini.iter() {
            if section.is_none() && properties.is_empty() {
                continue;
            }
            let section = section.unwrap_or_default();
            let known: Vec<&'static Setting> = table::of(self.daemon)
                .filter(|setting| setting.section == section)
                .collect();
            if known.is_empty() {
                let allowed = format_smolstr!("sections {}", section_names(self.daemon));
                self.error(Fault::UnknownSection, section, None, allowed);
                continue;
            }
            if self.sections.iter().any(|name| name == section) {
                let allowed = "each section once";
                self.error(Fault::DuplicateSection, section, None, allowed);
            }
            self.sections.push(section.into());
            for (key, value) in properties.iter() {
                self.entry(&known, section, key, value);
            }
        }
    }

    fn entry(&mut self, known: &[&'static Setting], section: &str, key: &str, value: &str) {
        let Some(setting) = known.iter().find(|setting| setting.key == key) else {
            let names: Vec<_> = known.iter().map(|setting| setting.key).collect();
            let allowed = format_smolstr!("keys {}", names.join(", "));
            return self.error(
                Fault::UnknownKey,
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
        if self.seen.contains(&id) {
            let allowed = "each key once";
            return self.error(Fault::DuplicateKey, section, Some((key, shown)), allowed);
        }
        self.seen.push(id);
        if setting.allowed.accepts(value) {
            self.values.values.insert(id, value.into());
        } else {
            let allowed = format_smolstr!("{}", setting.allowed);
            self.error(Fault::BadValue, section, Some((key, shown)), allowed);
        }
    }

    fn missing(&mut self) {
        for setting in table::of(self.daemon) {
            let id = (setting.section, setting.key);
            if self.seen.contains(&id) {
                continue;
            }
            match setting.need {
                Need::Optional => {}
                Need::Default(value) => {
                    self.values.values.insert(id, value.into());
                }
                Need::Required => {
                    let allowed = format_smolstr!("{}", setting.allowed);
                    let entry = Some((setting.key, None));
                    self.error(Fault::MissingKey, setting.section, entry, allowed);
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
    let mut names: Vec<_> = table::of(daemon).map(|setting| setting.section).collect();
    names.dedup();
    names.sort_unstable();
    names.dedup();
    names.join(", ")
}
