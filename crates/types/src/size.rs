//! Sizes, counts and rates as newtypes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Says why a text is not a value of a newtype.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseValueError {
    /// The name of the type that was wanted.
    pub wanted: &'static str,
    /// The text that was given.
    pub given: String,
}

impl fmt::Display for ParseValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a valid {}", self.given, self.wanted)
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
            /// The zero value.
            pub const ZERO: $name = $name(0);

            /// Wraps a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Adds, stopping at the largest value.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, stopping at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// Subtracts, or returns `None` if `other` is larger.
            pub const fn checked_sub(self, other: Self) -> Option<Self> {
                match self.0.checked_sub(other.0) {
                    Some(rest) => Some(Self(rest)),
                    None => None,
                }
            }

            /// Adds, or returns `None` on overflow.
            pub const fn checked_add(self, other: Self) -> Option<Self> {
                match self.0.checked_add(other.0) {
                    Some(sum) => Some(Self(sum)),
                    None => None,
                }
            }

            /// Returns true if the value is zero.
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
                    wanted: stringify!($name),
                    given: text.into(),
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
    /// An amount of tokens, the unit of every budget.
    Tokens
);

number_newtype!(
    /// A number of bytes.
    ByteSize
);

number_newtype!(
    /// The revision of an accepted configuration. It only grows; zero means none yet.
    Revision
);

number_newtype!(
    /// The version that the object API gives to an object. Zero means that the object is absent.
    Version
);

/// A rate in events or tokens a second; never negative, never NaN.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Wraps a rate; a negative or undefined one becomes zero.
    pub fn new(rate: f64) -> Self {
        Self(if rate.is_finite() { rate.max(0.0) } else { 0.0 })
    }

    /// Returns the rate.
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
                wanted: "PerSecond",
                given: text.into(),
            }),
        }
    }
}
