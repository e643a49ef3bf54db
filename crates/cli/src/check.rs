//! `cyclamen check`: checks settings and documents without a platform.

use std::path::{Path, PathBuf};

use cyc_config::Document;
use cyc_settings::{EntrySettings, SidecarSettings};
use serde_json::json;

use crate::output::{Exit, Output};

/// Checks each file as settings or a document, by the extension of its name.
pub fn run(paths: &[PathBuf], as_json: bool) -> Output {
    if paths.is_empty() {
        return Output::error(Exit::Usage, "check: name at least one file");
    }
    let faults: Vec<String> = paths.iter().flat_map(|path| faults_of(path)).collect();
    let exit = if faults.is_empty() {
        Exit::Ok
    } else {
        Exit::Usage
    };
    if as_json {
        return Output::new(
            exit,
            json!({ "files": paths.len(), "faults": faults }).to_string(),
        );
    }
    match exit {
        Exit::Ok => Output::new(exit, format!("{} files are valid", paths.len())),
        _ => Output::error(exit, faults.join("\n")),
    }
}

fn faults_of(path: &Path) -> Vec<String> {
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("ini") => settings_faults(path),
        Some("json") => read_document(path).err().unwrap_or_default(),
        _ => vec![format!(
            "{}: allowed: names that end in .ini or .json",
            path.display()
        )],
    }
}

/// Checks a settings file. It is a sidecar's if it has a section `[target]`, else an entry's.
fn settings_faults(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let is_sidecar = text.lines().any(|line| line.trim() == "[target]");
    let errors = if is_sidecar {
        SidecarSettings::load(path).err()
    } else {
        EntrySettings::load(path).err()
    };
    errors
        .unwrap_or_default()
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Reads and checks a document. Errors name the file.
///
/// # Errors
/// All faults found in the file, one text each.
pub fn read_document(path: &Path) -> Result<Document, Vec<String>> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{name}: cannot be read: {error}")])?;
    Document::parse(&text).map_err(|problems| {
        problems
            .iter()
            .map(|problem| format!("{name}: {problem}"))
            .collect()
    })
}
