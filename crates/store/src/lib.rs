//! Clients of the platform's services: the object API, the VM list and the weight store, behind
//! the trait [`Platform`].
//!
//! The object API is the only durable storage. Values are limited to [`MAX_VALUE_SIZE`], and each
//! call counts against the platform's rate limits; a watch counts once, however long it waits.

pub mod http;
pub mod object;
pub mod vm;
pub mod wire;

use async_trait::async_trait;
use cyc_types::{ByteSize, Millis, Version};
pub use http::HttpPlatform;
pub use object::{Body, Change, Kind, Object, ObjectKey, Precondition};
pub use vm::{Vm, VmState};

/// The maximum size of an object's value.
pub const MAX_VALUE_SIZE: ByteSize = ByteSize::new(1_000_000);

/// Why a call to the platform failed, and whether a write may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The precondition of the write failed: the object has another version.
    /// The write had no effect.
    Conflict,
    /// The platform did not respond. The write may or may not have taken effect.
    Unavailable(String),
    /// The value is larger than [`MAX_VALUE_SIZE`]. The write had no effect.
    TooLarge(ByteSize),
    /// The call exceeds the platform's rate limit. The write had no effect.
    Throttled,
    /// The platform's response is malformed. The write may or may not have taken effect.
    Malformed(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object has another version"),
            Self::Unavailable(why) => write!(f, "the platform is unavailable: {why}"),
            Self::TooLarge(size) => {
                write!(f, "{size} bytes are over the limit of {MAX_VALUE_SIZE}")
            }
            Self::Throttled => f.write_str("the platform refused the call for its rate"),
            Self::Malformed(why) => write!(f, "the platform's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// A result with the error of a call to the platform as default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The platform's services. Implemented by [`HttpPlatform`] and by fakes in tests.
#[async_trait]
pub trait Platform: Send + Sync + 'static {
    /// Reads an object; `None` if it is absent. Reads are linearizable.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>>;

    /// Writes an object if `precondition` holds, and returns its new version.
    async fn put(&self, key: &ObjectKey, body: Body, precondition: Precondition)
    -> Result<Version>;

    /// Deletes an object if its version is `version`.
    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()>;

    /// Lists the objects of `kind` whose names start with `prefix`, ordered by name.
    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>>;

    /// Long-polls for changes of objects of `kind` under `prefix` after store version `since`.
    /// Returns as soon as there are changes, or an empty list if there are none within `wait`.
    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>>;

    /// Returns the VM list, which lags behind the actual state of the VMs.
    async fn list_vms(&self) -> Result<Vec<Vm>>;

    /// Requests a permit to load `bytes` from the weight store. `None` grants the permit; otherwise
    /// the caller requests it again after the returned delay.
    async fn request_weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>>;
}
