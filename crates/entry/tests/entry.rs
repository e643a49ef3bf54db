//! Tests of the entry's parts.

#[path = "entry/api_page.rs"]
mod api_page;
#[path = "entry/observe.rs"]
mod observe;
