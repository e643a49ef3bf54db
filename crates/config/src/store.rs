//! Writes documents to the platform and loads them.
//!
//! Parts are written first, to objects whose names include a nonce of the submission; then one
//! conditional update of the head accepts the document. Readers start from the head, so a
//! submission that is interrupted or loses a race has no effect on the configuration.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use cyc_store::{Error, Kind, ObjectKey, Platform, Precondition};
use cyc_types::{Millis, Revision, Version};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    document::Document,
    latest::HasRevision as _,
    part::{self, AcceptedSubmission, Head, MAX_ACCEPTED_HISTORY, Part, PartRef},
    problem::Problem,
    snapshot::{LoadError, Snapshot},
};

/// Attempts of one platform call, including the first.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between two attempts of a platform call.
const RETRY_DELAY: Millis = Millis::new(50);

/// Why a submission failed or has an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// The document is not valid. The configuration is unchanged.
    Rejected(Vec<Problem>),
    /// The current revision is not the expected one, or another submission was accepted first. This
    /// one had no effect on the configuration.
    Conflict {
        /// The current revision.
        current: Revision,
    },
    /// A platform call failed and the head was not updated. The configuration is unchanged.
    Platform(Error),
    /// The update of the head got no response: the document may have been accepted, or may still be
    /// accepted later.
    OutcomeUnknown {
        /// The revision of the document, if it is accepted.
        revision: Revision,
        /// The last error.
        error: Error,
    },
    /// The stored head does not parse. The configuration is unchanged.
    CorruptHead(Problem),
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(problems) => {
                write!(f, "the document has {} problems", problems.len())?;
                problems
                    .iter()
                    .try_for_each(|problem| write!(f, "\n{problem}"))
            }
            Self::Conflict { current } => {
                write!(
                    f,
                    "conflict: revision {current} is in force; nothing has changed"
                )
            }
            Self::Platform(error) => write!(f, "{error}; the configuration is unchanged"),
            Self::OutcomeUnknown { revision, error } => {
                write!(
                    f,
                    "{error}; it is unknown whether the document was accepted as revision {revision}"
                )
            }
            Self::CorruptHead(problem) => write!(f, "the stored head is not valid: {problem}"),
        }
    }
}

impl std::error::Error for SubmitError {}

struct StoredHead {
    head: Head,
    version: Option<Version>,
}

impl StoredHead {
    fn precondition(&self) -> Precondition {
        self.version
            .map_or(Precondition::Absent, Precondition::Version)
    }
}

/// Submits a document as the next revision and returns its revision.
///
/// If `expected` is given, the current revision must be equal to it; zero stands for no
/// configuration. A document that is equal to the current one is not written again.
///
/// # Errors
/// See [`SubmitError`]; all but [`SubmitError::OutcomeUnknown`] leave the configuration unchanged.
pub async fn submit(
    platform: &dyn Platform,
    doc: &Document,
    expected: Option<Revision>,
) -> Result<Revision, SubmitError> {
    doc.check().map_err(SubmitError::Rejected)?;
    let stored = read_head(platform).await?;
    let current = stored.head.revision;
    if expected.is_some_and(|expected| expected != current) {
        return Err(SubmitError::Conflict { current });
    }
    let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
    let (head, changed) = next_head(&stored.head, part::split(doc), &nonce);
    if changed.is_empty() && head.parts.len() == stored.head.parts.len() {
        return Ok(current);
    }
    for (object, body) in changed {
        write_part(platform, object, body).await?;
    }
    write_head(platform, &stored, &head, &nonce).await
}

/// Returns the next head and the objects that must be written before it, by name and body.
fn next_head(old: &Head, parts: Vec<Part>, nonce: &SmolStr) -> (Head, Vec<(SmolStr, String)>) {
    let revision = Revision::new(old.revision.get().saturating_add(1));
    let mut refs = BTreeMap::new();
    let mut changed = Vec::new();
    for part in parts {
        let sha256 = part.digest();
        let part_ref = match old.parts.get(&part.name) {
            Some(unchanged) if unchanged.sha256 == sha256 => unchanged.clone(),
            _ => {
                let object = format_smolstr!("{}@{revision}.{nonce}", part.name);
                changed.push((object.clone(), part.body));
                PartRef {
                    revision,
                    object,
                    sha256,
                }
            }
        };
        refs.insert(part.name, part_ref);
    }
    let mut accepted = old.accepted.clone();
    accepted.push(AcceptedSubmission {
        revision,
        nonce: nonce.clone(),
    });
    let excess = accepted.len().saturating_sub(MAX_ACCEPTED_HISTORY);
    accepted.drain(..excess);
    let head = Head {
        revision,
        parts: refs,
        accepted,
    };
    (head, changed)
}

async fn read_head(platform: &dyn Platform) -> Result<StoredHead, SubmitError> {
    let mut attempts = 1;
    let object = loop {
        match platform.get(&Head::key()).await {
            Ok(object) => break object,
            Err(error) if attempts >= MAX_ATTEMPTS => return Err(SubmitError::Platform(error)),
            Err(_) => wait_before_retry(&mut attempts).await,
        }
    };
    let Some(object) = object else {
        return Ok(StoredHead {
            head: Head::default(),
            version: None,
        });
    };
    let head = serde_json::from_slice(&object.body)
        .map_err(|error| SubmitError::CorruptHead(Problem::from_json(part::HEAD, &error)))?;
    Ok(StoredHead {
        head,
        version: Some(object.version),
    })
}

async fn write_part(
    platform: &dyn Platform,
    object: SmolStr,
    body: String,
) -> Result<(), SubmitError> {
    let key = ObjectKey::new(Kind::Config, object);
    let body = Bytes::from(body);
    let mut attempts = 1;
    loop {
        match platform.put(&key, body.clone(), Precondition::Absent).await {
            // The name contains the nonce, so an existing object was written by an earlier attempt.
            Ok(_) | Err(Error::Conflict) => return Ok(()),
            Err(error @ Error::TooLarge(_)) => return Err(SubmitError::Platform(error)),
            Err(error) if attempts >= MAX_ATTEMPTS => return Err(SubmitError::Platform(error)),
            Err(_) => wait_before_retry(&mut attempts).await,
        }
    }
}

/// Updates the head. After a lost response the same conditional update is sent again: it takes
/// effect at most once, and on a conflict the nonces in the head show which update was accepted.
async fn write_head(
    platform: &dyn Platform,
    old: &StoredHead,
    head: &Head,
    nonce: &str,
) -> Result<Revision, SubmitError> {
    let body = Bytes::from(serde_json::to_string(head).unwrap_or_default());
    let mut attempts = 1;
    let mut maybe_applied = false;
    loop {
        match platform
            .put(&Head::key(), body.clone(), old.precondition())
            .await
        {
            Ok(_) => return Ok(head.revision),
            Err(Error::Conflict) => {
                return resolve_conflict(platform, head, nonce, maybe_applied).await;
            }
            Err(error @ Error::TooLarge(_)) => return Err(SubmitError::Platform(error)),
            Err(error) => {
                maybe_applied |= !matches!(error, Error::Throttled);
                if attempts >= MAX_ATTEMPTS {
                    return Err(retries_exhausted(error, head.revision, maybe_applied));
                }
                wait_before_retry(&mut attempts).await;
            }
        }
    }
}

fn retries_exhausted(error: Error, revision: Revision, maybe_applied: bool) -> SubmitError {
    if maybe_applied {
        SubmitError::OutcomeUnknown { revision, error }
    } else {
        SubmitError::Platform(error)
    }
}

/// Determines from the nonces in the stored head whether this submission or another one was
/// accepted.
async fn resolve_conflict(
    platform: &dyn Platform,
    head: &Head,
    nonce: &str,
    maybe_applied: bool,
) -> Result<Revision, SubmitError> {
    let stored = match read_head(platform).await {
        Ok(stored) => stored,
        Err(SubmitError::Platform(error)) => {
            return Err(retries_exhausted(error, head.revision, maybe_applied));
        }
        Err(other) => return Err(other),
    };
    if let Some(revision) = stored.head.revision_of(nonce) {
        return Ok(revision);
    }
    let current = stored.head.revision;
    let oldest = stored
        .head
        .accepted
        .first()
        .map(|accepted| accepted.revision);
    let history_truncated = oldest.is_some_and(|oldest| oldest > head.revision);
    if maybe_applied && history_truncated {
        let revision = head.revision;
        let error = Error::Conflict;
        return Err(SubmitError::OutcomeUnknown { revision, error });
    }
    Err(SubmitError::Conflict { current })
}

async fn wait_before_retry(attempts: &mut u32) {
    *attempts += 1;
    tokio::time::sleep(RETRY_DELAY.duration()).await;
}

/// Loads the configuration if it is newer than `current`; returns `None` if it is not, or if none
/// is stored.
///
/// Reads only the parts that changed since `current`.
///
/// # Errors
/// [`LoadError::Platform`] if a call failed, [`LoadError::Corrupt`] if the head or a part does not
/// parse, a part is missing or does not match the digest in the head, or the document is not valid.
pub async fn load(
    platform: &dyn Platform,
    current: Option<&Snapshot>,
) -> Result<Option<Snapshot>, LoadError> {
    let Some(object) = platform.get(&Head::key()).await? else {
        return Ok(None);
    };
    let head: Head = serde_json::from_slice(&object.body)
        .map_err(|error| LoadError::Corrupt(vec![Problem::from_json(part::HEAD, &error)]))?;
    if current.is_some_and(|current| current.revision() >= head.revision) {
        return Ok(None);
    }
    let mut bodies = BTreeMap::new();
    for (name, part) in &head.parts {
        let body = match current.and_then(|current| unchanged_body(current, name, part)) {
            Some(body) => body,
            None => read_part(platform, name, part).await?,
        };
        bodies.insert(name.clone(), body);
    }
    Snapshot::new(head, bodies).map(Some)
}

/// Returns the value of a part from `current` if `part` refers to the same object.
fn unchanged_body(current: &Snapshot, name: &SmolStr, part: &PartRef) -> Option<Arc<str>> {
    let unchanged = current.head.parts.get(name)?.object == part.object;
    unchanged
        .then(|| current.bodies.get(name).cloned())
        .flatten()
}

async fn read_part(
    platform: &dyn Platform,
    name: &SmolStr,
    part: &PartRef,
) -> Result<Arc<str>, LoadError> {
    let key = ObjectKey::new(Kind::Config, part.object.clone());
    let Some(object) = platform.get(&key).await? else {
        return Err(LoadError::corrupt(
            name,
            &part.object,
            "the name of an existing object",
        ));
    };
    match std::str::from_utf8(&object.body) {
        Ok(body) => Ok(body.into()),
        Err(error) => Err(LoadError::corrupt(name, error, "UTF-8")),
    }
}
