//! Immutable objects with the receipts of one writer.

use std::{collections::BTreeMap, fmt};

use cyc_proto::{GrantId, Receipt};
use cyc_store::{Body, Kind, ObjectKey};
use cyc_types::{BudgetId, ErrorKind, Incarnation, Millis, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::level::LevelCount;

/// The largest segment. The platform takes a little more.
pub const MAX_SEGMENT_BYTES: usize = 600_000;
/// Room for the fields of a segment beside its lists.
const HEADER_BYTES: usize = 1_000;

/// Receipts and refusals of one writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The incarnation that ran the requests.
    pub writer: Incarnation,
    /// Invariant: counts up from 1 without gaps within a writer.
    pub sequence: u64,
    /// Wall-clock time of the write, for reports and the retry window.
    pub at: Millis,
    /// The receipts. Invariant: each names `writer` as its entry.
    pub receipts: Vec<Receipt>,
    /// The refusals since the last segment.
    #[serde(default)]
    pub refusals: Vec<RefusalCount>,
    /// The counts by service level since the last segment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<LevelCount>,
}

/// Refused requests of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The budget.
    pub budget: BudgetId,
    /// The reason.
    pub kind: ErrorKind,
    /// True if the budget could have paid for the requests.
    pub money_remained: bool,
    /// The number of requests.
    pub requests: u64,
    /// The tokens of their worst case.
    pub tokens: Tokens,
}

/// Why an object is not a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentError {
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the segment cannot be read: {}", self.why)
    }
}

impl std::error::Error for SegmentError {}

/// Returns the start of the names of a writer's segments.
pub fn prefix(writer: &Incarnation) -> String {
    format!("{}.{}.", writer.vm, writer.number)
}

/// Returns the name of a segment.
pub fn key(writer: &Incarnation, sequence: u64) -> ObjectKey {
    let name = format_smolstr!("{}{sequence:012}", prefix(writer));
    ObjectKey::new(Kind::Segment, name)
}

impl Segment {
    /// Creates an empty segment.
    pub fn new(writer: Incarnation, sequence: u64, at: Millis) -> Self {
        Self {
            writer,
            sequence,
            at,
            receipts: Vec::new(),
            refusals: Vec::new(),
            levels: Vec::new(),
        }
    }

    /// Returns the name of the object.
    pub fn key(&self) -> ObjectKey {
        key(&self.writer, self.sequence)
    }

    /// Moves receipts and refusals from the front of the lists into the segment, as many as fit.
    pub fn fill(&mut self, receipts: &mut Vec<Receipt>, refusals: &mut Vec<RefusalCount>) {
        let mut room = MAX_SEGMENT_BYTES - HEADER_BYTES;
        move_fitting(receipts, &mut self.receipts, &mut room);
        move_fitting(refusals, &mut self.refusals, &mut room);
    }

    /// Moves counts by service level into the segment, as many as fit beside what it holds.
    pub fn fill_levels(&mut self, levels: &mut Vec<LevelCount>) {
        let used = serde_json::to_vec(&(&self.receipts, &self.refusals));
        let used = used.map_or(MAX_SEGMENT_BYTES, |json| json.len());
        let mut room = MAX_SEGMENT_BYTES.saturating_sub(HEADER_BYTES + used);
        move_fitting(levels, &mut self.levels, &mut room);
    }

    /// Returns true if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.receipts.is_empty() && self.refusals.is_empty() && self.levels.is_empty()
    }

    /// Returns the sum of the receipts of each grant.
    pub fn sums(&self) -> BTreeMap<GrantId, Tokens> {
        let mut sums = BTreeMap::new();
        for receipt in &self.receipts {
            *sums.entry(receipt.grant.clone()).or_default() += receipt.tokens;
        }
        sums
    }

    /// Returns the value of the object. The same segment always has the same value.
    ///
    /// # Errors
    /// If the segment cannot be written as JSON.
    pub fn encode(&self) -> Result<Body, SegmentError> {
        let json = serde_json::to_vec(self).map_err(|e| SegmentError { why: e.to_string() })?;
        Ok(Body::from(json))
    }

    /// Reads the value of an object.
    ///
    /// # Errors
    /// If the value is not a segment, or names another writer in a receipt.
    pub fn decode(body: &[u8]) -> Result<Self, SegmentError> {
        let segment: Self =
            serde_json::from_slice(body).map_err(|e| SegmentError { why: e.to_string() })?;
        let foreign = segment.receipts.iter().find(|r| r.entry != segment.writer);
        match foreign {
            Some(receipt) => Err(SegmentError {
                why: format!(
                    "a receipt of {} in one of {}",
                    receipt.entry, segment.writer
                ),
            }),
            None => Ok(segment),
        }
    }
}

fn move_fitting<T: Serialize>(from: &mut Vec<T>, to: &mut Vec<T>, room: &mut usize) {
    let mut count = 0;
    for item in from.iter() {
        // The comma between items is one byte; an item that cannot be written fits nowhere.
        let size = serde_json::to_vec(item).map_or(usize::MAX, |json| json.len() + 1);
        if size > *room {
            break;
        }
        *room -= size;
        count += 1;
    }
    to.extend(from.drain(..count));
}
