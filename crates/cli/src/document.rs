//! `cyclamen submit` and `cyclamen show`: submit a document, and print the one in force.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cyc_config::{Document, HasRevision as _, LoadError, SubmitError, store};
use cyc_store::HttpPlatform;
use cyc_types::{ProcessKey, Revision};
use serde_json::json;

use crate::{
    check,
    flags::Submit,
    input,
    output::{Exit, Output},
    status,
};

/// Pause between two requests for the revisions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that `--wait` waits for a document to be in force everywhere.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The values of the flags of `submit`.
struct Submission {
    doc: Document,
    addr: SocketAddr,
    expected: Option<Revision>,
    /// The key that all processes share; present if the command waits.
    key: Option<ProcessKey>,
}

/// Submits a document as the next revision.
pub async fn submit(flags: &Submit, as_json: bool) -> Output {
    let submission = match parse_flags(flags) {
        Ok(submission) => submission,
        Err(out) => return out,
    };
    let platform = HttpPlatform::new(submission.addr);
    let submitted = store::submit(&platform, &submission.doc, submission.expected).await;
    let revision = match submitted {
        Ok(revision) => revision,
        Err(error) => return Output::error(exit_code(&error), error.to_string()),
    };
    if let Some(key) = submission.key {
        return wait(&platform, &key, revision, as_json).await;
    }
    if as_json {
        return Output::new(Exit::Ok, json!({ "revision": revision }).to_string());
    }
    Output::new(Exit::Ok, format!("revision {revision} is accepted"))
}

fn parse_flags(flags: &Submit) -> Result<Submission, Output> {
    let addr = input::parse_platform(&flags.platform)?;
    let allowed = "a revision: a whole number, 0 for none";
    let expected = flags.expect.as_deref();
    let expected = expected.map(|text| input::parse("--expect", text, allowed));
    let key = match (flags.wait, &flags.key_file) {
        (false, _) => None,
        (true, Some(path)) => Some(input::read_key(path)?),
        (true, None) => return Err(Output::error(Exit::Usage, "--wait needs --key-file")),
    };
    Ok(Submission {
        doc: check::read_document(&flags.document)
            .map_err(|faults| Output::error(Exit::Usage, faults.join("\n")))?,
        addr,
        expected: expected.transpose()?,
        key,
    })
}

/// Polls until a revision is in force at all processes that count for
/// [`is_in_force`](status::Status::is_in_force), or [`WAIT_TIMEOUT`] passes.
async fn wait(
    platform: &HttpPlatform,
    key: &ProcessKey,
    revision: Revision,
    as_json: bool,
) -> Output {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let why = loop {
        let why = match status::collect(platform, key).await {
            Ok(status) if status.is_in_force(revision) => {
                let text = match as_json {
                    true => json!({ "revision": revision, "in_force": true }).to_string(),
                    false => format!("revision {revision} is in force"),
                };
                return Output::new(Exit::Ok, text);
            }
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            break why;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    let text = format!("revision {revision} is accepted but not in force everywhere yet\n{why}");
    Output::error(Exit::Unavailable, text)
}

const fn exit_code(error: &SubmitError) -> Exit {
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
