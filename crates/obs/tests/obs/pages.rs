//! Tests that the operators' page lists exactly the metrics and log events of the sources.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

use googletest::prelude::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operating_page() -> io::Result<String> {
    fs::read_to_string(root().join("docs/OPERATING.md"))
}

/// Returns the first cell of each table row in the section under `heading`.
fn first_cells(page: &str, heading: &str) -> Vec<String> {
    page.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.starts_with('#'))
        .filter_map(|line| line.strip_prefix("| `")?.split(" | ").next())
        .map(|cell| format!("`{cell}"))
        .collect()
}

/// Returns the code spans of a table cell.
fn code_spans(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

fn add_sources(dir: &Path, sources: &mut Vec<(PathBuf, String)>) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            add_sources(&path, sources)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path)?;
            sources.push((path, text));
        }
    }
    Ok(())
}

/// Returns the path and text of all files in the `src` directories of the crates.
fn sources() -> io::Result<Vec<(PathBuf, String)>> {
    let mut sources = Vec::new();
    for entry in fs::read_dir(root().join("crates"))? {
        add_sources(&entry?.path().join("src"), &mut sources)?;
    }
    Ok(sources)
}

/// Returns the event names in calls of the logging macros.
fn log_events(source: &str) -> BTreeSet<String> {
    let calls = source.split("spdlog::").skip(1);
    let names = calls.filter_map(|call| {
        let (level, rest) = call.split_once("!(")?;
        let is_level = level.bytes().all(|byte| byte.is_ascii_lowercase());
        let text = rest.trim_start().strip_prefix('"').filter(|_| is_level)?;
        let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
        Some(text.split(|c| !is_name(c)).next()?.to_owned())
    });
    names.collect()
}

#[gtest]
fn every_metric_is_on_the_page_and_no_other() -> Result<()> {
    let names = fs::read_to_string(root().join("crates/obs/src/names.rs"))?;
    let names: BTreeSet<String> = names
        .lines()
        .filter_map(|line| line.strip_prefix("pub const ")?.split('"').nth(1))
        .map(str::to_owned)
        .collect();
    expect_that!(names.len(), ge(16));
    let cells = first_cells(&operating_page()?, "## Metrics");
    let listed: BTreeSet<String> = cells
        .iter()
        .filter_map(|cell| code_spans(cell).next()?.split('<').next())
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&names));
    Ok(())
}

#[gtest]
fn metrics_are_named_in_one_module() -> Result<()> {
    for (path, text) in sources()? {
        // The comparison with the page reads `names.rs` only and would miss a literal name.
        for call in [
            ".count(\"",
            ".incr(\"",
            ".gauge(\"",
            ".time(\"",
            ".time_duration(\"",
        ] {
            let has_no_literal = !text.contains(call);
            expect_that!(has_no_literal, eq(true), "{call} in {}", path.display());
        }
    }
    Ok(())
}

#[gtest]
fn every_log_event_is_on_the_page_and_no_other() -> Result<()> {
    let mut logged = BTreeSet::new();
    for (_, text) in sources()? {
        logged.extend(log_events(&text));
    }
    expect_that!(logged.len(), ge(20));
    let cells = first_cells(&operating_page()?, "## Log events");
    let listed: BTreeSet<String> = cells
        .iter()
        .flat_map(|cell| code_spans(cell))
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&logged));
    Ok(())
}
