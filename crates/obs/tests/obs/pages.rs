//! The operators' page and the sources say the same.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

use googletest::prelude::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> io::Result<String> {
    fs::read_to_string(root().join("docs/OPERATING.md"))
}

/// Returns the first cell of each row of the table below a heading.
fn first_cells(page: &str, heading: &str) -> Vec<String> {
    page.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.starts_with('#'))
        .filter_map(|line| line.strip_prefix("| `")?.split(" | ").next())
        .map(|cell| format!("`{cell}"))
        .collect()
}

/// Returns the texts between backquotes.
fn quoted(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

fn add_sources(folder: &Path, sources: &mut Vec<(PathBuf, String)>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            add_sources(&path, sources)?;
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            let text = fs::read_to_string(&path)?;
            sources.push((path, text));
        }
    }
    Ok(())
}

/// Returns the sources of all crates, without their tests.
fn sources() -> io::Result<Vec<(PathBuf, String)>> {
    let mut sources = Vec::new();
    for entry in fs::read_dir(root().join("crates"))? {
        add_sources(&entry?.path().join("src"), &mut sources)?;
    }
    Ok(sources)
}

/// Returns the names of events in calls of the log macros.
fn events(source: &str) -> BTreeSet<String> {
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
    let cells = first_cells(&page()?, "## Metrics");
    let listed: BTreeSet<String> = cells
        .iter()
        .filter_map(|cell| quoted(cell).next()?.split('<').next())
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&names));
    Ok(())
}

#[gtest]
fn metrics_are_named_in_one_module() -> Result<()> {
    for (path, text) in sources()? {
        // A name written at the call would be missed by the test of the page.
        for call in [
            ".count(\"",
            ".incr(\"",
            ".gauge(\"",
            ".time(\"",
            ".time_duration(\"",
        ] {
            let is_free = !text.contains(call);
            expect_that!(is_free, eq(true), "{call} in {}", path.display());
        }
    }
    Ok(())
}

#[gtest]
fn every_log_event_is_on_the_page_and_no_other() -> Result<()> {
    let mut wanted = BTreeSet::new();
    for (_, text) in sources()? {
        wanted.extend(events(&text));
    }
    expect_that!(wanted.len(), ge(20));
    let cells = first_cells(&page()?, "## Log events");
    let listed: BTreeSet<String> = cells
        .iter()
        .flat_map(|cell| quoted(cell))
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&wanted));
    Ok(())
}
