//! The API page for callers matches the code.

use std::{fs, path::Path};

use cyc_entry::api::{headers, problem};
use cyc_types::ErrorKind;
use googletest::prelude::*;
use strum::IntoEnumIterator as _;

fn page() -> Result<String> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    Ok(fs::read_to_string(docs.join("API.md"))?)
}

#[gtest]
fn the_error_table_of_the_page_matches_the_code() -> Result<()> {
    let page = page()?;
    let mut lines = page
        .lines()
        .skip_while(|line| !line.starts_with("| kind |"))
        .skip(2);
    for kind in ErrorKind::iter() {
        let response = kind.response();
        let (status, outcome, retry) = (response.status, response.outcome, response.retry);
        let wanted = format!("| `{kind}` | {status} | `{outcome}` | `{retry}` | ");
        let line = lines.next().unwrap_or_default();
        expect_that!(line, starts_with(wanted.as_str()));
    }
    expect_that!(lines.next(), some(eq("")), "a row without a kind");
    Ok(())
}

#[gtest]
fn the_page_names_the_headers() -> Result<()> {
    let page = page()?.to_lowercase();
    for name in [
        headers::IDEMPOTENCY_KEY,
        headers::DEADLINE,
        problem::REQUEST_ID,
    ] {
        expect_that!(page, contains_substring(format!("| `{name}")));
    }
    Ok(())
}
