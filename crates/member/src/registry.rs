//! The registrations, stored as objects in the platform.

use std::{fmt, net::SocketAddr};

use cyc_store::{Error as PlatformError, Kind, Object, ObjectKey, Platform, Precondition};
use cyc_types::{AvailabilityZone, Backoff, Incarnation, Millis, TargetId, VmId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Delay before the first retry of a registration.
const MIN_BACKOFF: Millis = Millis::new(50);
/// Maximum delay between retries of a registration.
const MAX_BACKOFF: Millis = Millis::new(2_000);

/// The roles of registered processes.
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
    /// The process that takes callers' requests.
    Entry,
    /// The process beside a target.
    Sidecar,
}

/// The properties that a process registers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Role of the process.
    pub role: Role,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Address for calls from other processes.
    pub addr: SocketAddr,
    /// Target of a sidecar; `None` for an entry.
    pub target: Option<TargetId>,
}

/// A registered process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Role of the process.
    pub role: Role,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Number of the registration. Invariant: increases by one with each registration of this role
    /// on this VM.
    pub number: u64,
    /// Random for each registration, so that a process recognizes its own write after the answer
    /// was lost.
    pub nonce: u64,
    /// Address for calls from other processes.
    pub addr: SocketAddr,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Target of a sidecar; `None` for an entry.
    pub target: Option<TargetId>,
}

impl Member {
    /// Returns the incarnation that this registration created.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.vm.clone(), self.number)
    }
}

/// Why a registration could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The call to the platform failed.
    Platform(PlatformError),
    /// The object cannot be decoded or encoded.
    Malformed {
        /// Key of the object.
        key: ObjectKey,
        /// The decoding or encoding error.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Malformed { key, reason } => write!(f, "object {key} is malformed: {reason}"),
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
        reason: e.to_string(),
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

/// Registers a new incarnation, retrying with backoff while calls to the platform fail.
///
/// # Errors
/// [`Error::Malformed`] if the object cannot be decoded; an operator has to repair it.
pub async fn register(
    platform: &dyn Platform,
    registration: &Registration,
) -> Result<Incarnation, Error> {
    let nonce = rand::random();
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        match try_register(platform, registration, nonce).await {
            Ok(Some(incarnation)) => return Ok(incarnation),
            Ok(None) | Err(Error::Platform(_)) => {
                tokio::time::sleep(backoff.next_delay().duration()).await
            }
            Err(malformed) => return Err(malformed),
        }
    }
}

/// Makes one attempt. Returns `None` if a concurrent write came first.
async fn try_register(
    platform: &dyn Platform,
    registration: &Registration,
    nonce: u64,
) -> Result<Option<Incarnation>, Error> {
    let key = key(registration.role, &registration.vm);
    let old = platform.get(&key).await?;
    let (number, precondition) = match &old {
        None => (0, Precondition::Absent),
        Some(object) => {
            let member = decode(object)?;
            if member.nonce == nonce {
                return Ok(Some(member.incarnation()));
            }
            (member.number, Precondition::Version(object.version))
        }
    };
    let member = Member {
        role: registration.role,
        vm: registration.vm.clone(),
        number: number + 1,
        nonce,
        addr: registration.addr,
        zone: registration.zone.clone(),
        target: registration.target.clone(),
    };
    let body = serde_json::to_vec(&member).map_err(|e| Error::Malformed {
        key: key.clone(),
        reason: e.to_string(),
    })?;
    match platform.put(&key, body.into(), precondition).await {
        Ok(_) => Ok(Some(member.incarnation())),
        Err(PlatformError::Conflict) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
