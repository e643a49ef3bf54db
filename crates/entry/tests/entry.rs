//! Tests of the entry's parts.

#[path = "entry/api_page.rs"]
mod api_page;
#[path = "entry/books.rs"]
mod books;
#[path = "entry/observe.rs"]
mod observe;
#[path = "entry/reader.rs"]
mod reader;
