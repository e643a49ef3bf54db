//! Sizes, counts and rates as newtypes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The error of parsing text as one of the newtypes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseValueError {
    /// The name of the expected type.
    pub expected_type: &'static str,
    /// The input; a placeholder if the input is secret.
    pub input: String,
}

impl fmt::Display for ParseValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a valid {}", self.input, self.expected_type)
    }
}

impl std::error::Error for ParseValueError {}

macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: $name = $name(0);

            /// Creates a value from its number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the value as a plain number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Adds, saturating at the maximum.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// Subtracts; `None` if `other` is larger.
            pub const fn checked_sub(self, other: Self) -> Option<Self> {
                match self.0.checked_sub(other.0) {
                    Some(difference) => Some(Self(difference)),
                    None => None,
                }
            }

            /// Adds; `None` on overflow.
            pub const fn checked_add(self, other: Self) -> Option<Self> {
                match self.0.checked_add(other.0) {
                    Some(sum) => Some(Self(sum)),
                    None => None,
                }
            }

            /// Whether the value is zero.
            pub const fn is_zero(self) -> bool {
                self.0 == 0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim().parse().map(Self).map_err(|_| ParseValueError {
                    expected_type: stringify!($name),
                    input: text.into(),
                })
            }
        }

        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                self.saturating_add(other)
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = self.saturating_add(other);
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                values.fold(Self::ZERO, Self::saturating_add)
            }
        }
    };
}
pub(crate) use number_newtype;

number_newtype!(
    /// A number of tokens, the unit in which budgets are counted.
    Tokens
);

number_newtype!(
    /// A number of bytes.
    ByteSize
);

number_newtype!(
    /// The revision of an accepted configuration. Revisions only increase; zero means that no
    /// configuration was accepted yet.
    Revision
);

number_newtype!(
    /// How often the platform's store has come back from an older copy of itself. What was written
    /// after that copy, acknowledged or not, is gone, and its versions are given out again.
    Era
);

/// A version of the platform's store, which increases with each change. The version of an object is
/// that of its last change; zero means that the object is absent.
///
/// Versions are ordered by the era first, so that a version of an earlier era is older than any of a
/// later one, although the store gives out its revisions again. As a number, the era occupies the
/// highest bits; in the first era it is the store's revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// The absent object.
    pub const ZERO: Version = Version(0);
    /// Bits of the store's revision.
    const REVISION_BITS: u32 = 48;
    const REVISION_MASK: u64 = (1 << Self::REVISION_BITS) - 1;

    /// Creates a version from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Creates the version that the store names `revision` in an era.
    pub const fn in_era(era: Era, revision: u64) -> Self {
        Self((era.get() << Self::REVISION_BITS) | (revision & Self::REVISION_MASK))
    }

    /// Returns the version as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The era of the store.
    pub const fn era(self) -> Era {
        Era(self.0 >> Self::REVISION_BITS)
    }

    /// What the store calls this version in its era.
    pub const fn revision(self) -> u64 {
        self.0 & Self::REVISION_MASK
    }
}

/// The revision, after the era unless that is the first one.
impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era::ZERO => self.revision().fmt(f),
            era => write!(f, "{era}/{}", self.revision()),
        }
    }
}

impl std::str::FromStr for Version {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let (era, revision) = match text.split_once('/') {
            Some((era, revision)) => (era.parse().ok(), revision.parse().ok()),
            None => (Some(Era::ZERO), text.parse().ok()),
        };
        era.zip(revision)
            .map(|(era, revision)| Self::in_era(era, revision))
            .ok_or_else(|| ParseValueError {
                expected_type: "Version",
                input: text.into(),
            })
    }
}

/// A rate in events or tokens per second. Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Creates a rate; a negative, infinite or NaN value becomes zero.
    pub fn new(rate: f64) -> Self {
        Self(if rate.is_finite() { rate.max(0.0) } else { 0.0 })
    }

    /// Returns the rate as a plain number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}/s", self.0)
    }
}

impl std::str::FromStr for PerSecond {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: Result<f64, _> = text.trim().trim_end_matches("/s").parse();
        match number {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
            _ => Err(ParseValueError {
                expected_type: "PerSecond",
                input: text.into(),
            }),
        }
    }
}
