//! The platform's services as the product sees them: the object API, the VM list and the weight
//! store, behind one trait at the edge of the process.
//!
//! The object API is the only place where anything lasts. Each value is at most
//! [`MAX_VALUE`]; each call counts against the platform's rates, a waiting watch as one.

pub mod http;
pub mod object;
pub mod vm;
pub mod wire;

use async_trait::async_trait;
use cyc_types::{ByteSize, Millis, Version};
pub use http::HttpPlatform;
pub use object::{Body, Change, Expect, Kind, Object, ObjectKey};
pub use vm::{Vm, VmState};

/// The largest value of an object.
pub const MAX_VALUE: ByteSize = ByteSize::new(1_000_000);

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The condition of the write did not hold: the object has another version.
    /// The write has had no effect.
    Conflict,
    /// No answer: the write may or may not have taken effect.
    Unavailable(String),
    /// The value is larger than [`MAX_VALUE`]. The write has had no effect.
    TooLarge(ByteSize),
    /// The platform refused the call for its rate. The write has had no effect.
    Throttled,
    /// The platform's answer could not be read. The write may or may not have taken effect.
    Malformed(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object has another version"),
            Self::Unavailable(why) => write!(f, "the platform is unavailable: {why}"),
            Self::TooLarge(size) => write!(f, "{size} bytes are over the limit of {MAX_VALUE}"),
            Self::Throttled => f.write_str("the platform refused the call for its rate"),
            Self::Malformed(why) => write!(f, "the platform's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The platform's services. Implemented by the HTTP client and by fakes in tests.
#[async_trait]
pub trait Platform: Send + Sync + 'static {
    /// Reads one object; `None` if it is absent. Reads are linearizable.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>>;

    /// Writes one object if `expect` holds, and returns its new version.
    async fn put(&self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version>;

    /// Deletes one object if it has `version`.
    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()>;

    /// Lists the objects of `kind` whose names start with `prefix`, in order of their names.
    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>>;

    /// Waits up to `wait` for changes of `kind` under `prefix` after store version `since`.
    /// Returns at once when there are some, and an empty list when there were none.
    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>>;

    /// Returns the VM list, which lags.
    async fn vms(&self) -> Result<Vec<Vm>>;

    /// Asks the weight store for leave to load `bytes`; `None` means now, else wait that long.
    async fn weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>>;
}
