//! Submits and prints the document.

use std::{net::SocketAddr, path::Path};

use cyc_config::{LoadError, Revised as _, SubmitError, store};
use cyc_platform::HttpPlatform;
use cyc_types::Revision;
use serde_json::json;

use crate::{
    check,
    output::{Exit, Output},
};

/// Submits the document in `path`.
pub async fn submit(
    path: &Path,
    addr: SocketAddr,
    expected: Option<Revision>,
    as_json: bool,
) -> Output {
    let doc = match check::read_document(path) {
        Ok(doc) => doc,
        Err(faults) => return Output::error(Exit::Usage, faults.join("\n")),
    };
    match store::submit(&HttpPlatform::new(addr), &doc, expected).await {
        Ok(revision) if as_json => {
            Output::new(Exit::Ok, json!({ "revision": revision }).to_string())
        }
        Ok(revision) => Output::new(Exit::Ok, format!("revision {revision} is accepted")),
        Err(error) => Output::error(exit_of(&error), error.to_string()),
    }
}

const fn exit_of(error: &SubmitError) -> Exit {
    match error {
        SubmitError::Rejected(_) => Exit::Usage,
        SubmitError::Conflict { .. } | SubmitError::CorruptHead(_) => Exit::Refused,
        SubmitError::Platform(_) | SubmitError::OutcomeUnknown { .. } => Exit::Unavailable,
    }
}

/// Prints the document in force.
pub async fn show(addr: SocketAddr, as_json: bool) -> Output {
    let snapshot = match store::load(&HttpPlatform::new(addr), None).await {
        Ok(Some(snapshot)) => snapshot,
        Ok(None) => return Output::error(Exit::Refused, "no configuration is in force"),
        Err(error @ LoadError::Platform(_)) => {
            return Output::error(Exit::Unavailable, error.to_string());
        }
        Err(error) => return Output::error(Exit::Refused, error.to_string()),
    };
    let doc = snapshot.document();
    if as_json {
        let value = json!({ "revision": snapshot.revision(), "document": doc });
        return Output::new(Exit::Ok, value.to_string());
    }
    let mut out = Output::new(Exit::Ok, doc.to_json());
    out.err = format!("revision {}", snapshot.revision());
    out
}
