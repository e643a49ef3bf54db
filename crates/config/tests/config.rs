//! Tests of the configuration: documents, examples and the store.

#[path = "config/document.rs"]
mod document;
#[path = "config/examples.rs"]
mod examples;
#[path = "config/fake.rs"]
mod fake;
#[path = "config/sample.rs"]
mod sample;
#[path = "config/store.rs"]
mod store;
