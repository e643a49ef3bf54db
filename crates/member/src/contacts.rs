//! Contacts: which sidecar incarnations an entry incarnation may have sent work to.
//!
//! An entry records a sidecar incarnation before it sends the first request to it, and records a
//! later incarnation of the same target only when the earlier one has no pending attempt or
//! unsettled receipt of the entry. A reclaim seals the record. From then on the record is complete:
//! it lists all sidecars whose evidence the reclaim needs.

use std::{collections::BTreeMap, fmt};

use cyc_store::{Error as PlatformError, Kind, Object, ObjectKey, Platform, Precondition};
use cyc_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

/// The contact record of one entry incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contacts {
    /// By target, the sidecar incarnation to which requests may have been sent. Invariant: no
    /// attempt is pending and no receipt unsettled at an earlier incarnation.
    pub sidecars: BTreeMap<TargetId, Incarnation>,
    /// True once a reclaim has sealed the record, which never changes afterwards.
    pub sealed: bool,
}

/// Why a contact record could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The call to the platform failed; a write may have taken effect.
    Platform(PlatformError),
    /// The record is sealed because the entry incarnation is fenced.
    Sealed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Sealed => {
                f.write_str("the contact record is sealed: the entry incarnation is fenced")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<PlatformError> for Error {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Returns the key of the contact record of an entry incarnation.
pub fn key(entry: &Incarnation) -> ObjectKey {
    ObjectKey::new(
        Kind::Member,
        format!("contacts.{}.{}", entry.vm, entry.number),
    )
}

/// Replaces the contacts of an entry.
///
/// # Errors
/// [`Error::Sealed`] if the entry is fenced; the call may be repeated after other errors.
pub async fn record(
    platform: &dyn Platform,
    entry: &Incarnation,
    sidecars: &BTreeMap<TargetId, Incarnation>,
) -> Result<(), Error> {
    let (old, precondition) = read(platform, entry).await?;
    if old.sealed {
        return Err(Error::Sealed);
    }
    let contacts = Contacts {
        sidecars: sidecars.clone(),
        sealed: false,
    };
    write(platform, entry, &contacts, precondition).await
}

/// Seals the contact record of an entry and returns it. Idempotent.
///
/// # Errors
/// If the call to the platform fails, or with a conflict if a concurrent write came first.
pub async fn seal(platform: &dyn Platform, entry: &Incarnation) -> Result<Contacts, Error> {
    let (mut contacts, precondition) = read(platform, entry).await?;
    if !contacts.sealed {
        contacts.sealed = true;
        write(platform, entry, &contacts, precondition).await?;
    }
    Ok(contacts)
}

async fn read(
    platform: &dyn Platform,
    entry: &Incarnation,
) -> Result<(Contacts, Precondition), PlatformError> {
    match platform.get(&key(entry)).await? {
        None => Ok((Contacts::default(), Precondition::Absent)),
        Some(Object { body, version, .. }) => {
            let contacts = serde_json::from_slice(&body)
                .map_err(|error| PlatformError::Malformed(error.to_string()))?;
            Ok((contacts, Precondition::Version(version)))
        }
    }
}

async fn write(
    platform: &dyn Platform,
    entry: &Incarnation,
    contacts: &Contacts,
    precondition: Precondition,
) -> Result<(), Error> {
    let body = serde_json::to_vec(contacts)
        .map_err(|error| PlatformError::Malformed(error.to_string()))?;
    platform.put(&key(entry), body.into(), precondition).await?;
    Ok(())
}
