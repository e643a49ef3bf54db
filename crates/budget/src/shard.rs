//! The stored form of shards: budgets with their top-ups and grants.

use std::{collections::BTreeMap, fmt};

use cyc_store::{Body, Kind, MAX_VALUE_SIZE, ObjectKey};
use cyc_types::{BudgetId, ByteSize, ClientAccountId, Incarnation, Millis, Tokens, hash};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// The default number of shards.
pub const SHARDS: u32 = 64;

/// Number of the shard that stores a budget, below `shards`.
pub fn shard_of(budget: &BudgetId, shards: u32) -> u32 {
    hash::bucket(budget.as_str().as_bytes(), shards)
}

/// Key of the object that stores a shard.
pub fn shard_key(shard: u32) -> ObjectKey {
    ObjectKey::new(Kind::Budget, format_smolstr!("shard-{shard}"))
}

/// For each writer of receipt segments, the sequence of its last segment that was settled.
pub type AppliedSegments = BTreeMap<Incarnation, u64>;

/// All budgets of one shard object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The records by budget.
    pub budgets: BTreeMap<BudgetId, Record>,
}

/// The record of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The client account that prepays the budget.
    pub account: ClientAccountId,
    /// Tokens paid for. Invariant: the sum of `top_ups`.
    pub paid: Tokens,
    /// The top-ups. Invariant: no two share an id.
    pub top_ups: Vec<TopUp>,
    /// Tokens billed, less credits for duplicate billing.
    /// Invariant: `settled` and the amounts of all grants add up to `paid` at most.
    pub settled: Tokens,
    /// The open grants by holder.
    #[serde(default)]
    pub grants: BTreeMap<Incarnation, Grant>,
    /// The grants that were closed, with the segments settled against them.
    /// Invariant: no holder is both here and in `grants`; a holder listed here cannot draw again.
    #[serde(default)]
    pub closed: BTreeMap<Incarnation, AppliedSegments>,
    /// Sequence of the last merge record whose credit took effect; never decreases.
    #[serde(default)]
    pub last_merge: u64,
}

/// One payment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// The operator's id of the payment.
    pub id: SmolStr,
    /// The tokens paid for.
    pub tokens: Tokens,
    /// Wall-clock time, for reports only.
    pub at: Millis,
}

/// Tokens that one holder may spend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens drawn and neither returned nor settled yet.
    pub amount: Tokens,
    /// Number of the holder's last draw or return that took effect; never decreases.
    pub holder_op: u64,
    /// The tokens that the operation `holder_op` moved.
    pub moved: Tokens,
    /// The segments settled against this grant.
    #[serde(default)]
    pub applied: AppliedSegments,
}

impl Record {
    /// Creates a record without payments.
    pub fn new(account: ClientAccountId) -> Self {
        Self {
            account,
            paid: Tokens::ZERO,
            top_ups: Vec::new(),
            settled: Tokens::ZERO,
            grants: BTreeMap::new(),
            closed: BTreeMap::new(),
            last_merge: 0,
        }
    }

    /// Sum of the tokens in open grants.
    pub fn granted(&self) -> Tokens {
        self.grants.values().map(|grant| grant.amount).sum()
    }

    /// Tokens that can be drawn: paid for, not billed and in no grant.
    pub fn free(&self) -> Tokens {
        self.paid
            .saturating_sub(self.settled)
            .saturating_sub(self.granted())
    }

    /// True if the billed and granted tokens together do not exceed those paid for.
    pub fn is_sound(&self) -> bool {
        let used = self
            .grants
            .values()
            .try_fold(self.settled, |sum, grant| sum.checked_add(grant.amount));
        used.is_some_and(|used| used <= self.paid)
    }
}

/// A shard object that cannot be decoded or encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The value is not the JSON of a shard, or breaks an invariant.
    Malformed(String),
    /// The encoded shard exceeds [`MAX_VALUE_SIZE`].
    TooLarge(ByteSize),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "the shard is malformed: {why}"),
            Self::TooLarge(size) => write!(f, "the shard has {size} bytes, limit {MAX_VALUE_SIZE}"),
        }
    }
}

impl std::error::Error for CodecError {}

impl Shard {
    /// Decodes the value of a shard object.
    ///
    /// # Errors
    /// [`CodecError::Malformed`] if the value is not the JSON of a shard or a record is overdrawn.
    pub fn decode(body: &[u8]) -> Result<Self, CodecError> {
        let shard: Self =
            serde_json::from_slice(body).map_err(|e| CodecError::Malformed(e.to_string()))?;
        match shard.budgets.iter().find(|(_, record)| !record.is_sound()) {
            Some((budget, _)) => Err(CodecError::Malformed(format!("{budget} is overdrawn"))),
            None => Ok(shard),
        }
    }

    /// Encodes the shard as the value of its object.
    ///
    /// # Errors
    /// [`CodecError::TooLarge`] if the value exceeds [`MAX_VALUE_SIZE`].
    pub fn encode(&self) -> Result<Body, CodecError> {
        let json = serde_json::to_vec(self).map_err(|e| CodecError::Malformed(e.to_string()))?;
        let size = ByteSize::new(json.len() as u64);
        if size > MAX_VALUE_SIZE {
            return Err(CodecError::TooLarge(size));
        }
        Ok(Body::from(json))
    }
}
