//! Injected faults of the platform, which can be changed at run time.

use cyc_store::Kind;
use cyc_types::{Millis, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Operation;

/// The active faults. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without any effect, including watches already pending.
    pub outage: bool,
    /// Delay before each call takes effect, even if its caller has given up by then.
    pub slow: Millis,
    /// The calls that take effect but whose answer is lost.
    pub lost: LostAnswers,
    /// Restricts `lost` to this kind; `None` means all kinds.
    pub lost_kind: Option<Kind>,
    /// Restricts `lost` to objects whose names start with this prefix.
    pub lost_prefix: SmolStr,
    /// Every call is throttled, without any effect.
    pub throttle: bool,
    /// Lag of the VM list.
    pub vm_lag: Millis,
}

/// The calls that take effect but whose answer is lost.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswers {
    /// None.
    #[default]
    Never,
    /// Every call, including reads.
    EveryCall,
    /// Every write.
    EveryWrite,
    /// Each write whose number since the faults were set is a multiple of this.
    EveryNthWrite(u64),
    /// This many writes, from the first one after the faults were set.
    FirstWrites(u64),
    /// Random writes; the same seed selects the same write numbers.
    Random {
        /// The probability per write, from 0 to 1.
        probability: f64,
        /// The seed of the selection.
        seed: u64,
    },
}

impl LostAnswers {
    /// True if the answer of write number `write` (from 1) is lost.
    fn loses_write(&self, write: u64) -> bool {
        match self {
            Self::Never => false,
            Self::EveryCall | Self::EveryWrite => true,
            Self::EveryNthWrite(n) => *n > 0 && write.is_multiple_of(*n),
            Self::FirstWrites(n) => write <= *n,
            Self::Random { probability, seed } => uniform(*seed, write) < *probability,
        }
    }
}

/// A pseudo-random number in `0.0..=1.0`, a pure function of the arguments.
fn uniform(seed: u64, number: u64) -> f64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&seed.to_be_bytes());
    buf[8..].copy_from_slice(&number.to_be_bytes());
    hash::stable(&buf) as f64 / u64::MAX as f64
}

/// The active faults with the number of writes that `lost` has covered.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    pub(super) faults: Faults,
    /// Writes that `lost` covers and that took effect since the faults were set.
    covered_writes: u64,
}

impl FaultState {
    pub(super) fn replace(&mut self, faults: Faults) {
        *self = Self {
            faults,
            covered_writes: 0,
        };
    }

    /// True if the answer to a call that took effect is lost. Counts the call if it is a write.
    pub(super) fn loses_answer(&mut self, op: Operation, kind: Option<Kind>, name: &str) -> bool {
        let kind_matches = self.faults.lost_kind.is_none() || self.faults.lost_kind == kind;
        if !kind_matches || !name.starts_with(self.faults.lost_prefix.as_str()) {
            return false;
        }
        if !op.is_write() {
            return self.faults.lost == LostAnswers::EveryCall;
        }
        self.covered_writes += 1;
        self.faults.lost.loses_write(self.covered_writes)
    }
}
