//! The member objects in the platform.

use std::{fmt, net::SocketAddr};

use cyc_store::{Error as PlatformError, Expect, Kind, Object, ObjectKey, Platform};
use cyc_types::{AvailabilityZone, Backoff, Incarnation, Millis, TargetId, VmId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// First wait before a registration is tried again.
const FIRST_WAIT: Millis = Millis::new(50);
/// Longest wait before a registration is tried again.
const LONGEST_WAIT: Millis = Millis::new(2_000);

/// The roles that register.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// A process that takes callers' requests.
    Entry,
    /// A process beside a target.
    Sidecar,
}

/// What a process says of itself when it registers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its role.
    pub role: Role,
    /// Its VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where it serves calls of other processes.
    pub addr: SocketAddr,
    /// Its target, for a sidecar.
    pub target: Option<TargetId>,
}

/// A registered process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its role.
    pub role: Role,
    /// Its VM.
    pub vm: VmId,
    /// Number of the registration. Invariant: grows by one with each.
    pub number: u64,
    /// Drawn anew for each registration, so that a process knows its own write after a lost
    /// answer.
    pub nonce: u64,
    /// Where it serves calls of other processes.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Its target, for a sidecar.
    pub target: Option<TargetId>,
}

impl Member {
    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.vm.clone(), self.number)
    }
}

/// Why a member object gives no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The platform gave no result.
    Platform(PlatformError),
    /// The object is not a member.
    Malformed {
        /// The object.
        key: ObjectKey,
        /// What is wrong.
        why: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Malformed { key, why } => write!(f, "{key} is not a member: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<PlatformError> for Error {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

fn key(role: Role, vm: &VmId) -> ObjectKey {
    ObjectKey::new(Kind::Member, format!("{role}.{vm}"))
}

fn decode(object: &Object) -> Result<Member, Error> {
    serde_json::from_slice(&object.body).map_err(|e| Error::Malformed {
        key: object.key.clone(),
        why: e.to_string(),
    })
}

/// Reads the registration of `role` on `vm`, if there is one.
pub async fn find(platform: &dyn Platform, role: Role, vm: &VmId) -> Result<Option<Member>, Error> {
    platform
        .get(&key(role, vm))
        .await?
        .as_ref()
        .map(decode)
        .transpose()
}

/// Reads all registrations of `role`.
pub async fn list(platform: &dyn Platform, role: Role) -> Result<Vec<Member>, Error> {
    let objects = platform.list(Kind::Member, &format!("{role}.")).await?;
    objects.iter().map(decode).collect()
}

/// Registers a new incarnation, trying again for as long as the platform gives no answer.
///
/// # Errors
/// [`Error::Malformed`] if the object holds something else; an operator has to look.
pub async fn register(platform: &dyn Platform, entry: &Entry) -> Result<Incarnation, Error> {
    let nonce = rand::random();
    let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
    loop {
        match try_register(platform, entry, nonce).await {
            Ok(Some(incarnation)) => return Ok(incarnation),
            Ok(None) | Err(Error::Platform(_)) => {
                tokio::time::sleep(backoff.next_wait().duration()).await
            }
            Err(malformed) => return Err(malformed),
        }
    }
}

/// Makes one attempt; `None` if another write came first.
async fn try_register(
    platform: &dyn Platform,
    entry: &Entry,
    nonce: u64,
) -> Result<Option<Incarnation>, Error> {
    let key = key(entry.role, &entry.vm);
    let old = platform.get(&key).await?;
    let (number, expect) = match &old {
        None => (0, Expect::Absent),
        Some(object) => {
            let member = decode(object)?;
            if member.nonce == nonce {
                return Ok(Some(member.incarnation()));
            }
            (member.number, Expect::Version(object.version))
        }
    };
    let member = Member {
        role: entry.role,
        vm: entry.vm.clone(),
        number: number + 1,
        nonce,
        addr: entry.addr,
        zone: entry.zone.clone(),
        target: entry.target.clone(),
    };
    let body = serde_json::to_vec(&member).map_err(|e| Error::Malformed {
        key: key.clone(),
        why: e.to_string(),
    })?;
    match platform.put(&key, body.into(), expect).await {
        Ok(_) => Ok(Some(member.incarnation())),
        Err(PlatformError::Conflict) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
