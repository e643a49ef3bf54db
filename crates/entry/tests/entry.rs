//! Tests of the entry's components.

#[path = "entry/api_page.rs"]
mod api_page;
#[path = "entry/observe.rs"]
mod observe;
#[path = "entry/pending.rs"]
mod pending;
#[path = "entry/reader.rs"]
mod reader;
