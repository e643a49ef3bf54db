//! Segments: immutable objects that hold the receipts and request counts of one entry incarnation.

use std::{collections::BTreeMap, fmt};

use cyc_proto::{GrantId, Receipt};
use cyc_store::{Body, Kind, ObjectKey};
use cyc_types::{BudgetId, ErrorKind, Incarnation, Millis, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::level::LevelCount;

/// Upper bound of an encoded segment. The platform accepts slightly larger objects.
pub const MAX_SEGMENT_BYTES: usize = 600_000;
/// Bytes reserved for the fields of a segment other than its lists.
const HEADER_BYTES: usize = 1_000;

/// The receipts, refusal counts and service level counts that one writer flushed together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The entry incarnation that started the requests.
    pub writer: Incarnation,
    /// Invariant: counts up from 1 without gaps within a writer.
    pub sequence: u64,
    /// Wall-clock time of the write, for reports and the retry window.
    pub at: Millis,
    /// Invariant: each receipt names `writer` as its entry.
    pub receipts: Vec<Receipt>,
    /// Requests refused since the last segment.
    #[serde(default)]
    pub refusals: Vec<RefusalCount>,
    /// Requests counted by service level since the last segment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<LevelCount>,
}

/// Number of requests refused for one budget with the same error kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The budget that would have paid.
    pub budget: BudgetId,
    /// The error kind of the refusal.
    pub kind: ErrorKind,
    /// True if the budget could have paid for the requests.
    pub money_remained: bool,
    /// Number of refused requests.
    pub requests: u64,
    /// Sum of the tokens that the requests could have used at most.
    pub tokens: Tokens,
}

/// A segment could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentError {
    /// Description of the fault.
    pub reason: String,
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid segment: {}", self.reason)
    }
}

impl std::error::Error for SegmentError {}

/// Common prefix of the object names of a writer's segments.
pub fn name_prefix(writer: &Incarnation) -> String {
    format!("{}.{}.", writer.vm, writer.number)
}

/// Object key of a segment.
pub fn key(writer: &Incarnation, sequence: u64) -> ObjectKey {
    let name = format_smolstr!("{}{sequence:012}", name_prefix(writer));
    ObjectKey::new(Kind::Segment, name)
}

impl Segment {
    /// Creates a segment without receipts or counts.
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

    /// Object key under which the segment is stored.
    pub fn key(&self) -> ObjectKey {
        key(&self.writer, self.sequence)
    }

    /// Moves receipts and refusals from the front of the lists into the segment until it is full.
    pub fn fill(&mut self, receipts: &mut Vec<Receipt>, refusals: &mut Vec<RefusalCount>) {
        let mut free_bytes = MAX_SEGMENT_BYTES - HEADER_BYTES;
        move_fitting(receipts, &mut self.receipts, &mut free_bytes);
        move_fitting(refusals, &mut self.refusals, &mut free_bytes);
    }

    /// Moves service level counts into the segment until it is full. Call after [`Segment::fill`].
    pub fn fill_levels(&mut self, levels: &mut Vec<LevelCount>) {
        let used = serde_json::to_vec(&(&self.receipts, &self.refusals));
        let used = used.map_or(MAX_SEGMENT_BYTES, |json| json.len());
        let mut free_bytes = MAX_SEGMENT_BYTES.saturating_sub(HEADER_BYTES + used);
        move_fitting(levels, &mut self.levels, &mut free_bytes);
    }

    /// Returns true if the segment holds no receipts and no counts.
    pub fn is_empty(&self) -> bool {
        self.receipts.is_empty() && self.refusals.is_empty() && self.levels.is_empty()
    }

    /// Sums the tokens of the receipts by grant.
    pub fn sums(&self) -> BTreeMap<GrantId, Tokens> {
        let mut sums = BTreeMap::new();
        for receipt in &self.receipts {
            *sums.entry(receipt.grant.clone()).or_default() += receipt.tokens;
        }
        sums
    }

    /// Encodes the segment as JSON. Equal segments have the same encoding.
    ///
    /// # Errors
    /// If JSON serialization fails.
    pub fn encode(&self) -> Result<Body, SegmentError> {
        let json = serde_json::to_vec(self).map_err(|e| SegmentError {
            reason: e.to_string(),
        })?;
        Ok(Body::from(json))
    }

    /// Decodes the value of a stored object.
    ///
    /// # Errors
    /// If the value is not a segment, or a receipt names an entry other than the writer.
    pub fn decode(body: &[u8]) -> Result<Self, SegmentError> {
        let segment: Self = serde_json::from_slice(body).map_err(|e| SegmentError {
            reason: e.to_string(),
        })?;
        let foreign = segment.receipts.iter().find(|r| r.entry != segment.writer);
        match foreign {
            Some(receipt) => Err(SegmentError {
                reason: format!(
                    "receipt of {} in a segment of {}",
                    receipt.entry, segment.writer
                ),
            }),
            None => Ok(segment),
        }
    }
}

fn move_fitting<T: Serialize>(from: &mut Vec<T>, to: &mut Vec<T>, free_bytes: &mut usize) {
    let mut count = 0;
    for item in from.iter() {
        // One byte is for the comma between items; an item that cannot be encoded never fits.
        let size = serde_json::to_vec(item).map_or(usize::MAX, |json| json.len() + 1);
        if size > *free_bytes {
            break;
        }
        *free_bytes -= size;
        count += 1;
    }
    to.extend(from.drain(..count));
}
