//! Fences: by VM, the lowest entry incarnation that may still spend.

use std::collections::BTreeMap;

use cyc_store::{Error as PlatformError, Expect, Kind, ObjectKey, Platform};
use cyc_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::registry::Error;

/// All fences. They are one object, so that a sidecar that starts reads them in one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences {
    /// The fences. Invariant: a number only grows.
    pub lowest: BTreeMap<VmId, u64>,
}

impl Fences {
    /// Returns the fences as incarnations.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        let fences = self.lowest.iter();
        fences
            .map(|(vm, number)| Incarnation::new(vm.clone(), *number))
            .collect()
    }
}

/// Returns the name of the object.
pub fn key() -> ObjectKey {
    ObjectKey::new(Kind::Fence, "all")
}

/// Reads the fences.
pub async fn read(platform: &dyn Platform) -> Result<Fences, Error> {
    let object = platform.get(&key()).await?;
    object.map_or(Ok(Fences::default()), |object| decode(&object.body))
}

fn decode(body: &[u8]) -> Result<Fences, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed {
        key: key(),
        why: error.to_string(),
    })
}

/// Raises the fence of a VM; one that is as high already stays.
///
/// # Errors
/// [`PlatformError::Conflict`] if another write came first; the call may be repeated.
pub async fn raise(platform: &dyn Platform, lowest: &Incarnation) -> Result<(), Error> {
    let object = platform.get(&key()).await?;
    let (mut fences, expect) = match &object {
        None => (Fences::default(), Expect::Absent),
        Some(object) => (decode(&object.body)?, Expect::Version(object.version)),
    };
    let number = fences.lowest.entry(lowest.vm.clone()).or_default();
    if *number >= lowest.number {
        return Ok(());
    }
    *number = lowest.number;
    let body = serde_json::to_vec(&fences)
        .map_err(|error| Error::Platform(PlatformError::Malformed(error.to_string())))?;
    platform.put(&key(), body.into(), expect).await?;
    Ok(())
}
