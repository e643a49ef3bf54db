//! Identifiers: short strings without white space, or numbers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;

use crate::{hash, size::ParseValueError};

/// The maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

fn is_valid_id(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Invariant: 1 to [`MAX_ID_BYTES`] ASCII letters, digits, `-`, `_`, `.` or `:`.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier as it appears in messages and stored data.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_valid_id(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseValueError { expected_type: stringify!($name), input: text.into() })
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

text_id!(
    /// Identifies a VM of the platform.
    VmId
);
text_id!(
    /// Identifies an availability zone of the platform.
    AvailabilityZone
);
text_id!(
    /// Identifies a client account.
    ClientAccountId
);
text_id!(
    /// Identifies a prepaid budget of a client account.
    BudgetId
);
text_id!(
    /// Identifies a target: a model engine or an instance of a plain service, the only target on
    /// its VM.
    TargetId
);
text_id!(
    /// Identifies a service that callers address by name: an engine service or a plain service.
    ServiceId
);
text_id!(
    /// Identifies a model or an adapter that engines load.
    ModelId
);

/// The value of a caller's `Idempotency-Key` header: 1 to 256 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(SmolStr);

impl IdempotencyKey {
    /// Returns the key as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid =
            (1..=256).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        if is_valid {
            Ok(Self(text.into()))
        } else {
            Err(ParseValueError {
                expected_type: "IdempotencyKey",
                input: text.into(),
            })
        }
    }
}

/// One run of an entry or a sidecar on a VM. Each start registers a larger number in the platform.
///
/// Text form: `vm@number`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The VM that runs the process.
    pub vm: VmId,
    /// The number of the start: at least 1, and larger than the numbers of all earlier starts of
    /// this process on the VM.
    pub number: u64,
}

impl Incarnation {
    /// Creates the incarnation of start `number` on `vm`.
    pub fn new(vm: VmId, number: u64) -> Self {
        Self { vm, number }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.vm, self.number)
    }
}

impl FromStr for Incarnation {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseValueError {
            expected_type: "Incarnation",
            input: text.into(),
        };
        let (vm, number) = text.rsplit_once('@').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(Self {
            vm: vm.parse()?,
            number,
        })
    }
}

/// The identity of a request, equal for all of its retries.
///
/// Derived from the client account, the service and the idempotency key, or random if the caller
/// sent no key. Text form: 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an id from its numeric value.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Generates a random id, for a request without an idempotency key.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Derives the id of the request that `account` sent to `service` with `key`.
    ///
    /// The service is part of the hash: the same key at two services identifies two requests,
    /// each run and billed on its own.
    pub fn from_key(account: &ClientAccountId, service: &ServiceId, key: &IdempotencyKey) -> Self {
        let parts = [account.as_str(), "\n", service.as_str(), "\n", key.as_str()];
        let digest = hash::sha256(&parts.map(str::as_bytes));
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(truncated))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseValueError {
            expected_type: "RequestId",
            input: text.into(),
        };
        if text.len() != 32 {
            return Err(invalid());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}

macro_rules! serde_as_text {
    ($($name:ident),*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    )*};
}
serde_as_text!(Incarnation, RequestId);
