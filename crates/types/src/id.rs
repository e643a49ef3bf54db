//! Identifiers. Each is a short text without white space, or a number.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;

use crate::{hash, size::ParseValueError};

/// The longest id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

fn is_id(text: &str) -> bool {
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
            /// Returns the id as text.
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
                if is_id(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseValueError { wanted: stringify!($name), given: text.into() })
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
    /// A VM of the platform.
    VmId
);
text_id!(
    /// An availability zone of the platform.
    AvailabilityZone
);
text_id!(
    /// A client account.
    ClientAccountId
);
text_id!(
    /// A prepaid budget of a client account.
    BudgetId
);
text_id!(
    /// A target: one model engine or one instance of a plain service, on a VM of its own.
    TargetId
);
text_id!(
    /// A service that callers name: a model service or a plain service.
    ServiceId
);
text_id!(
    /// A model that engines load.
    ModelId
);

/// The caller's `Idempotency-Key`: 1 to 256 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(SmolStr);

impl IdempotencyKey {
    /// Returns the key as text.
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
        let fits = (1..=256).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        if fits {
            Ok(Self(text.into()))
        } else {
            Err(ParseValueError {
                wanted: "IdempotencyKey",
                given: text.into(),
            })
        }
    }
}

/// One run of a process on a VM: the number grows with each start, as registered in the platform.
///
/// Text form: `vm@number`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The VM.
    pub vm: VmId,
    /// The number of the start. Invariant: at least 1, and no two starts share one.
    pub number: u64,
}

impl Incarnation {
    /// Creates the incarnation `number` of `vm`.
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
        let wrong = || ParseValueError {
            wanted: "Incarnation",
            given: text.into(),
        };
        let (vm, number) = text.rsplit_once('@').ok_or_else(wrong)?;
        let number = number.parse().map_err(|_| wrong())?;
        Ok(Self {
            vm: vm.parse()?,
            number,
        })
    }
}

/// The identity of a request, the same for every retry of it.
///
/// Made from the client account and the idempotency key, or drawn at random where the caller
/// gave no key. Text form: 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Wraps a number.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Draws a new id at random.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the id of the request to `service` that `account` marked with `key`.
    ///
    /// The service is part of it: the same key at two services names two requests, which are run
    /// and billed each.
    pub fn from_key(account: &ClientAccountId, service: &ServiceId, key: &IdempotencyKey) -> Self {
        let parts = [account.as_str(), "\n", service.as_str(), "\n", key.as_str()];
        let digest = hash::sha256(&parts.map(str::as_bytes));
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(half))
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
        let wrong = || ParseValueError {
            wanted: "RequestId",
            given: text.into(),
        };
        if text.len() != 32 {
            return Err(wrong());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| wrong())
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
