//! Faults of the platform that can be switched at run time.

use cyc_store::Kind;
use cyc_types::{Millis, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Operation;

/// The faults in force. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without any effect, also a watch that waits.
    pub outage: bool,
    /// Every call takes effect this much later, also if its caller has given up by then.
    pub slow: Millis,
    /// Which calls take effect but lose their answer.
    pub lost: LostAnswers,
    /// Answers are lost for this kind only; `None` means for all.
    pub lost_kind: Option<Kind>,
    /// Answers are lost only for objects whose names start with this.
    pub lost_prefix: SmolStr,
    /// Every call is refused for its rate, without any effect.
    pub throttle: bool,
    /// How far the VM list lags.
    pub vm_lag: Millis,
}

/// Which calls take effect but lose their answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswers {
    /// None.
    #[default]
    Never,
    /// Every call, reads too.
    EveryCall,
    /// Every write.
    EveryWrite,
    /// Each write whose number since the switch is a multiple of this.
    EveryNthWrite(u64),
    /// Only the first so many writes since the switch.
    FirstWrites(u64),
    /// Writes drawn with this probability; the same seed draws the same ones.
    Random {
        /// Between 0 and 1.
        probability: f64,
        /// The seed.
        seed: u64,
    },
}

impl LostAnswers {
    /// Says whether the answer of write number `write` (from 1) is lost.
    fn loses_write(&self, write: u64) -> bool {
        match self {
            Self::Never => false,
            Self::EveryCall | Self::EveryWrite => true,
            Self::EveryNthWrite(n) => *n > 0 && write.is_multiple_of(*n),
            Self::FirstWrites(n) => write <= *n,
            Self::Random { probability, seed } => draw(*seed, write) < *probability,
        }
    }
}

/// Returns a number in `0.0..1.0` that depends on the arguments only.
fn draw(seed: u64, number: u64) -> f64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&seed.to_be_bytes());
    buf[8..].copy_from_slice(&number.to_be_bytes());
    hash::stable(&buf) as f64 / u64::MAX as f64
}

/// The faults with the count of writes that they apply to.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    pub(super) faults: Faults,
    /// Writes that took effect since the faults were switched and that `lost` covers.
    writes: u64,
}

impl FaultState {
    pub(super) fn switch(&mut self, faults: Faults) {
        *self = Self { faults, writes: 0 };
    }

    /// Says whether the answer to a call that took effect is lost.
    pub(super) fn loses(&mut self, op: Operation, kind: Option<Kind>, name: &str) -> bool {
        let covered = self.faults.lost_kind.is_none() || self.faults.lost_kind == kind;
        if !covered || !name.starts_with(self.faults.lost_prefix.as_str()) {
            return false;
        }
        if !op.is_write() {
            return self.faults.lost == LostAnswers::EveryCall;
        }
        self.writes += 1;
        self.faults.lost.loses_write(self.writes)
    }
}
