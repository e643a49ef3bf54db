//! Fencing numbers, by which an engine rejects orders of a replaced sidecar.

use std::{fmt, str::FromStr};

use cyc_types::size::ParseValueError;
use serde::{Deserialize, Serialize};

/// The number of low bits of a fencing number that count the orders of one sidecar incarnation.
const SEQUENCE_BITS: u32 = 20;
const MAX_SEQUENCE: u64 = (1 << SEQUENCE_BITS) - 1;

/// The fencing number of an order. It increases with each order and with each incarnation of the
/// sidecar.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Creates the fencing number that precedes the first order of `incarnation`.
    ///
    /// Returns `None` if `incarnation` does not fit into the bits above the sequence.
    pub fn new(incarnation: u64) -> Option<Self> {
        let fits = incarnation <= u64::MAX >> SEQUENCE_BITS;
        fits.then_some(Self(incarnation << SEQUENCE_BITS))
    }

    /// Returns the fencing number of the next order, or `None` if the incarnation has used all of
    /// its numbers and the sidecar has to register again.
    pub fn next(self) -> Option<Self> {
        (self.0 & MAX_SEQUENCE < MAX_SEQUENCE).then_some(Self(self.0 + 1))
    }

    /// Returns the number of the sidecar incarnation that the order comes from.
    pub fn incarnation(self) -> u64 {
        self.0 >> SEQUENCE_BITS
    }

    /// Returns the whole number, incarnation and sequence bits together.
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
            expected_type: "Fence",
            input: text.into(),
        })
    }
}
