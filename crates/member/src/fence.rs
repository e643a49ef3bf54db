//! Fences: for each VM, the lowest entry incarnation that may still spend.

use std::collections::BTreeMap;

use cyc_store::{Error as PlatformError, Kind, ObjectKey, Platform, Precondition};
use cyc_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::registry::Error;

/// The fences of all VMs, in one object so that a starting sidecar reads them in one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences {
    /// Lowest valid incarnation number by VM. Invariant: a number never decreases.
    pub lowest: BTreeMap<VmId, u64>,
}

impl Fences {
    /// Returns the lowest valid incarnation of each fenced VM.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        let fences = self.lowest.iter();
        fences
            .map(|(vm, number)| Incarnation::new(vm.clone(), *number))
            .collect()
    }
}

/// Returns the key of the object that holds the fences.
pub fn key() -> ObjectKey {
    ObjectKey::new(Kind::Fence, "all")
}

/// Reads the fences; there are none before the first [`raise`].
pub async fn read(platform: &dyn Platform) -> Result<Fences, Error> {
    let object = platform.get(&key()).await?;
    object.map_or(Ok(Fences::default()), |object| decode(&object.body))
}

fn decode(body: &[u8]) -> Result<Fences, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed {
        key: key(),
        reason: error.to_string(),
    })
}

/// Raises the fence of a VM. A fence that is already as high or higher is left unchanged.
///
/// # Errors
/// [`PlatformError::Conflict`] if a concurrent write came first; the call may be repeated.
pub async fn raise(platform: &dyn Platform, lowest: &Incarnation) -> Result<(), Error> {
    let object = platform.get(&key()).await?;
    let (mut fences, precondition) = match &object {
        None => (Fences::default(), Precondition::Absent),
        Some(object) => (decode(&object.body)?, Precondition::Version(object.version)),
    };
    let number = fences.lowest.entry(lowest.vm.clone()).or_default();
    if *number >= lowest.number {
        return Ok(());
    }
    *number = lowest.number;
    let body = serde_json::to_vec(&fences)
        .map_err(|error| Error::Platform(PlatformError::Malformed(error.to_string())))?;
    platform.put(&key(), body.into(), precondition).await?;
    Ok(())
}
