//! Writes documents to the platform and reads them back.
//!
//! Parts are written first, under names that no other submission can have; then one conditional
//! update of the head accepts the document. Until that update nothing that a process reads has
//! changed, so a submission that breaks off or loses a race leaves no trace in the configuration.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use cyc_store::{Error, Expect, Kind, ObjectKey, Platform};
use cyc_types::{Millis, Revision, Version};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    document::Document,
    latest::Revised as _,
    part::{self, Accepted, Head, MAX_HISTORY, Part, PartRef},
    problem::Problem,
    snapshot::{LoadError, Snapshot},
};

/// How often a platform call is tried.
const MAX_TRIES: u32 = 5;
/// Pause between two tries of a platform call.
const RETRY_PAUSE: Millis = Millis::new(50);

/// Why a document was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// The document is not valid. Nothing has changed.
    Rejected(Vec<Problem>),
    /// Another revision is in force than the one expected. Nothing has changed.
    Conflict {
        /// The revision in force.
        current: Revision,
    },
    /// The platform gave no answer before the head was to be written. Nothing has changed.
    Platform(Error),
    /// The platform gave no answer to the update of the head: the document may be accepted, or
    /// may still become so.
    OutcomeUnknown {
        /// The revision that the document has if it is accepted.
        revision: Revision,
        /// The last error.
        error: Error,
    },
    /// The stored head cannot be read. Nothing has changed.
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
            Self::Platform(error) => write!(f, "{error}; nothing has changed"),
            Self::OutcomeUnknown { revision, error } => {
                write!(
                    f,
                    "{error}; the document may or may not become revision {revision}"
                )
            }
            Self::CorruptHead(problem) => write!(f, "the stored head: {problem}"),
        }
    }
}

impl std::error::Error for SubmitError {}

struct StoredHead {
    head: Head,
    version: Option<Version>,
}

impl StoredHead {
    fn expect(&self) -> Expect {
        self.version.map_or(Expect::Absent, Expect::Version)
    }
}

/// Accepts a document as the next revision.
///
/// With `expected`, only if that revision is in force (zero: none). A document that equals the one
/// in force is not written again; its revision is returned.
///
/// # Errors
/// See [`SubmitError`]; all but [`SubmitError::OutcomeUnknown`] leave the configuration as it was.
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
    let (head, changed) = next_head(&stored.head, part::parts(doc), &nonce);
    if changed.is_empty() && head.parts.len() == stored.head.parts.len() {
        return Ok(current);
    }
    for (object, body) in changed {
        write_part(platform, object, body).await?;
    }
    write_head(platform, &stored, &head, &nonce).await
}

/// Returns the next head and the objects that have to be written before it.
fn next_head(old: &Head, parts: Vec<Part>, nonce: &SmolStr) -> (Head, Vec<(SmolStr, String)>) {
    let revision = Revision::new(old.revision.get().saturating_add(1));
    let mut refs = BTreeMap::new();
    let mut changed = Vec::new();
    for part in parts {
        let sha256 = part.digest();
        let part_ref = match old.parts.get(&part.name) {
            Some(same) if same.sha256 == sha256 => same.clone(),
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
    accepted.push(Accepted {
        revision,
        nonce: nonce.clone(),
    });
    let extra = accepted.len().saturating_sub(MAX_HISTORY);
    accepted.drain(..extra);
    let head = Head {
        revision,
        parts: refs,
        accepted,
    };
    (head, changed)
}

async fn read_head(platform: &dyn Platform) -> Result<StoredHead, SubmitError> {
    let mut tries = 1;
    let object = loop {
        match platform.get(&Head::key()).await {
            Ok(object) => break object,
            Err(error) if tries >= MAX_TRIES => return Err(SubmitError::Platform(error)),
            Err(_) => pause(&mut tries).await,
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
    let mut tries = 1;
    loop {
        match platform.put(&key, body.clone(), Expect::Absent).await {
            // The name holds a nonce, so an object that is there comes from an earlier try.
            Ok(_) | Err(Error::Conflict) => return Ok(()),
            Err(error @ Error::TooLarge(_)) => return Err(SubmitError::Platform(error)),
            Err(error) if tries >= MAX_TRIES => return Err(SubmitError::Platform(error)),
            Err(_) => pause(&mut tries).await,
        }
    }
}

/// Updates the head. A lost answer is resolved by the same conditional update once more: it
/// takes effect at most once, and a conflict shows by the nonce whose update was first.
async fn write_head(
    platform: &dyn Platform,
    old: &StoredHead,
    head: &Head,
    nonce: &str,
) -> Result<Revision, SubmitError> {
    let body = Bytes::from(serde_json::to_string(head).unwrap_or_default());
    let mut tries = 1;
    let mut lost = false;
    loop {
        match platform.put(&Head::key(), body.clone(), old.expect()).await {
            Ok(_) => return Ok(head.revision),
            Err(Error::Conflict) => return after_conflict(platform, head, nonce, lost).await,
            Err(error @ Error::TooLarge(_)) => return Err(SubmitError::Platform(error)),
            Err(error) => {
                lost |= !matches!(error, Error::Throttled);
                if tries >= MAX_TRIES {
                    return Err(gave_up(error, head.revision, lost));
                }
                pause(&mut tries).await;
            }
        }
    }
}

fn gave_up(error: Error, revision: Revision, lost: bool) -> SubmitError {
    if lost {
        SubmitError::OutcomeUnknown { revision, error }
    } else {
        SubmitError::Platform(error)
    }
}

/// Tells whose update of the head was first.
async fn after_conflict(
    platform: &dyn Platform,
    head: &Head,
    nonce: &str,
    lost: bool,
) -> Result<Revision, SubmitError> {
    let stored = match read_head(platform).await {
        Ok(stored) => stored,
        Err(SubmitError::Platform(error)) => return Err(gave_up(error, head.revision, lost)),
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
    let forgotten = oldest.is_some_and(|oldest| oldest > head.revision);
    if lost && forgotten {
        let revision = head.revision;
        let error = Error::Conflict;
        return Err(SubmitError::OutcomeUnknown { revision, error });
    }
    Err(SubmitError::Conflict { current })
}

async fn pause(tries: &mut u32) {
    *tries += 1;
    tokio::time::sleep(RETRY_PAUSE.duration()).await;
}

/// Loads the configuration if it is newer than `have`; `None` if it is not, or if there is none.
///
/// Only parts that `have` lacks are read.
///
/// # Errors
/// [`LoadError::Platform`] if a call failed, [`LoadError::Corrupt`] if a part is missing or
/// differs from what the head names.
pub async fn load(
    platform: &dyn Platform,
    have: Option<&Snapshot>,
) -> Result<Option<Snapshot>, LoadError> {
    let Some(object) = platform.get(&Head::key()).await? else {
        return Ok(None);
    };
    let head: Head = serde_json::from_slice(&object.body)
        .map_err(|error| LoadError::Corrupt(vec![Problem::from_json(part::HEAD, &error)]))?;
    if have.is_some_and(|have| have.revision() >= head.revision) {
        return Ok(None);
    }
    let mut bodies = BTreeMap::new();
    for (name, part) in &head.parts {
        let body = match have.and_then(|have| known(have, name, part)) {
            Some(body) => body,
            None => read_part(platform, name, part).await?,
        };
        bodies.insert(name.clone(), body);
    }
    Snapshot::new(head, bodies).map(Some)
}

fn known(have: &Snapshot, name: &SmolStr, part: &PartRef) -> Option<Arc<str>> {
    let same = have.head.parts.get(name)?.object == part.object;
    same.then(|| have.bodies.get(name).cloned()).flatten()
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
            "an object that exists",
        ));
    };
    match std::str::from_utf8(&object.body) {
        Ok(body) => Ok(body.into()),
        Err(error) => Err(LoadError::corrupt(name, error, "UTF-8")),
    }
}
