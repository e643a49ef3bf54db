//! Fencing numbers.

use std::{fmt, str::FromStr};

use cyc_types::size::ParseValueError;
use serde::{Deserialize, Serialize};

/// Bits of a fencing number that count the orders of one sidecar incarnation.
const SEQUENCE_BITS: u32 = 20;
const MAX_SEQUENCE: u64 = (1 << SEQUENCE_BITS) - 1;

/// The number of an order. It grows with each order and with each incarnation of the sidecar.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Creates the number before the first order of the sidecar incarnation `number`.
    ///
    /// Returns `None` if the number is too large to be shifted.
    pub fn new(number: u64) -> Option<Self> {
        let fits = number <= u64::MAX >> SEQUENCE_BITS;
        fits.then_some(Self(number << SEQUENCE_BITS))
    }

    /// Returns the number of the next order, or `None` if this incarnation has no number left and
    /// has to register again.
    pub fn next(self) -> Option<Self> {
        (self.0 & MAX_SEQUENCE < MAX_SEQUENCE).then_some(Self(self.0 + 1))
    }

    /// Returns the number of the sidecar incarnation.
    pub fn incarnation(self) -> u64 {
        self.0 >> SEQUENCE_BITS
    }

    /// Returns the whole number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Fence {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().map(Self);
        number.map_err(|_| ParseValueError {
            wanted: "Fence",
            given: text.into(),
        })
    }
}
