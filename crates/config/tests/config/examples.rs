//! Tests that the example documents are valid and of the documented sizes.

use std::path::Path;

use cyc_config::{Document, ServiceKind};
use googletest::prelude::*;

#[gtest]
fn example_documents_are_valid() -> googletest::Result<()> {
    let etc = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc");
    for (name, engines, desks) in [("dala", 12, 3), ("hanbit", 20, 3)] {
        let text = std::fs::read_to_string(etc.join(name).join("document.json"))?;
        let doc = Document::parse(&text).unwrap_or_else(|problems| panic!("{problems:?}"));
        let count = |kind: ServiceKind| {
            let is_of = |id| {
                doc.services
                    .service(id)
                    .is_some_and(|service| service.kind == kind)
            };
            let targets = doc.services.targets.iter();
            targets
                .filter(|target| target.services.iter().all(is_of))
                .count()
        };
        expect_that!(count(ServiceKind::Engine), eq(engines), "{name}");
        expect_that!(count(ServiceKind::Plain), eq(desks), "{name}");
        expect_that!(doc.accounts.len(), eq(10), "{name}");
        expect_that!(doc.to_json(), eq(text.trim_end()), "{name}");
    }
    Ok(())
}
