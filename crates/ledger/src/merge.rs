//! The chain of merge records, which credits requests that were billed more than once.
//!
//! Records are created only if absent, so only one of two concurrent merges can write the next
//! record. Every process that merges first applies the credits of the earlier records, in order.
//! Applying a credit is idempotent: the budget keeps the sequence of the last record applied.

use std::collections::{BTreeMap, BTreeSet};

use cyc_budget::{Applied, Op, Record, WalletHandle};
use cyc_store::{Body, Error, Kind, ObjectKey, Platform, Precondition, Result};
use cyc_types::{BudgetId, Millis, RequestId, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    read::{self, malformed},
    segment::Segment,
};

/// Upper bound of the segments that one record covers.
const MAX_SEGMENTS_PER_RECORD: usize = 1_000;
/// Upper bound of the duplicates in one record, unless a single segment has more.
const MAX_DUPLICATES_PER_RECORD: usize = 1_000;

/// One record of the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergeRecord {
    /// Invariant: counts up from 1 without gaps.
    pub sequence: u64,
    /// Names of the segments that this record covers. Invariant: no other record covers them.
    pub segments: Vec<SmolStr>,
    /// The duplicates in these segments.
    pub duplicates: Vec<Duplicate>,
}

/// A receipt of a request that an earlier receipt has already billed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duplicate {
    /// Id of the request billed twice.
    pub request: RequestId,
    /// Name of the segment that has the credited receipt.
    pub segment: SmolStr,
    /// The budget that the tokens are credited to.
    pub budget: BudgetId,
    /// Tokens of the credited receipt.
    pub tokens: Tokens,
    /// Wall-clock time of the credited receipt, which decides the month of the report.
    pub at: Millis,
}

/// Result of one merge.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The record written, if there were new segments.
    pub record: Option<MergeRecord>,
    /// Tokens credited by this merge, including those of earlier records.
    pub credited: Tokens,
}

/// Object key of the record with the given sequence.
pub fn key(sequence: u64) -> ObjectKey {
    ObjectKey::new(Kind::Merge, format_smolstr!("{sequence:012}"))
}

/// Reads the merge records, sorted by sequence.
///
/// # Errors
/// If the platform does not answer or a record cannot be read.
pub async fn chain(platform: &dyn Platform) -> Result<Vec<MergeRecord>> {
    let mut chain = Vec::new();
    for object in platform.list(Kind::Merge, "").await? {
        let record: MergeRecord = serde_json::from_slice(&object.body).map_err(malformed)?;
        chain.push(record);
    }
    chain.sort_by_key(|record| record.sequence);
    Ok(chain)
}

/// Builds the next record, from the segments that no record covers and whose receipts are all
/// settled; `None` if there are none. Receipts with the same request id are duplicates if their
/// times differ by at most `window`; after that the id may be used for a new request.
pub fn next_record(
    chain: &[MergeRecord],
    segments: &[Segment],
    records: &BTreeMap<BudgetId, Record>,
    window: Millis,
) -> Option<MergeRecord> {
    let covered: BTreeSet<&SmolStr> = chain.iter().flat_map(|r| &r.segments).collect();
    let credited: BTreeSet<(RequestId, &SmolStr)> = chain
        .iter()
        .flat_map(|record| &record.duplicates)
        .map(|duplicate| (duplicate.request, &duplicate.segment))
        .collect();
    let mut billed: BTreeMap<RequestId, Vec<Millis>> = BTreeMap::new();
    let mut uncovered = Vec::new();
    for segment in segments {
        let name = segment.key().name;
        if covered.contains(&name) {
            let receipts = segment.receipts.iter();
            for receipt in receipts.filter(|r| !credited.contains(&(r.request, &name))) {
                billed.entry(receipt.request).or_default().push(receipt.at);
            }
        } else if is_settled(records, segment) {
            uncovered.push((segment.at, name, segment));
        }
    }
    uncovered.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    uncovered.truncate(MAX_SEGMENTS_PER_RECORD);
    let mut record = MergeRecord {
        sequence: chain.last().map_or(1, |last| last.sequence + 1),
        segments: Vec::new(),
        duplicates: Vec::new(),
    };
    for (_, name, segment) in uncovered {
        if record.duplicates.len() + segment.receipts.len() > MAX_DUPLICATES_PER_RECORD
            && !record.segments.is_empty()
        {
            break;
        }
        find_duplicates(segment, &name, window, &mut billed, &mut record.duplicates);
        record.segments.push(name);
    }
    (!record.segments.is_empty()).then_some(record)
}

fn is_settled(records: &BTreeMap<BudgetId, Record>, segment: &Segment) -> bool {
    let grants = segment.sums();
    grants
        .keys()
        .all(|grant| read::is_settled(records, segment, grant))
}

fn find_duplicates(
    segment: &Segment,
    name: &SmolStr,
    window: Millis,
    billed: &mut BTreeMap<RequestId, Vec<Millis>>,
    duplicates: &mut Vec<Duplicate>,
) {
    for receipt in &segment.receipts {
        let times = billed.entry(receipt.request).or_default();
        let in_window = |at: &Millis| at.get().abs_diff(receipt.at.get()) <= window.get();
        if times.iter().any(in_window) {
            duplicates.push(Duplicate {
                request: receipt.request,
                segment: name.clone(),
                budget: receipt.grant.budget.clone(),
                tokens: receipt.tokens,
                at: receipt.at,
            });
        } else {
            times.push(receipt.at);
        }
    }
}

/// Applies the outstanding credits of the chain, then writes and applies the next record.
/// May run at several entries concurrently, and may be interrupted at any step.
///
/// # Errors
/// If the platform does not answer, or with [`Error::Conflict`] if a concurrent merge wrote the
/// record first; in both cases the next merge continues from there.
pub async fn merge(
    platform: &dyn Platform,
    wallet: &WalletHandle,
    window: Millis,
) -> Result<Outcome> {
    let chain = chain(platform).await?;
    // The records are read after the segments, so that they include the settlement of every
    // segment that was settled when it was read.
    let segments = read::segments(platform, "").await?;
    let records = read::records(platform).await?;
    let mut outcome = Outcome::default();
    for record in &chain {
        outcome.credited += credit(wallet, record, &records).await?;
    }
    if let Some(record) = next_record(&chain, &segments, &records, window) {
        write(platform, &record).await?;
        outcome.credited += credit(wallet, &record, &records).await?;
        outcome.record = Some(record);
    }
    Ok(outcome)
}

async fn write(platform: &dyn Platform, record: &MergeRecord) -> Result<()> {
    let body = Body::from(serde_json::to_vec(record).map_err(malformed)?);
    let key = key(record.sequence);
    platform.put(&key, body, Precondition::Absent).await?;
    Ok(())
}

/// Applies the credits of one record, summed by budget, and returns the tokens credited now.
async fn credit(
    wallet: &WalletHandle,
    record: &MergeRecord,
    records: &BTreeMap<BudgetId, Record>,
) -> Result<Tokens> {
    let mut sums: BTreeMap<&BudgetId, Tokens> = BTreeMap::new();
    for duplicate in &record.duplicates {
        *sums.entry(&duplicate.budget).or_default() += duplicate.tokens;
    }
    let mut credited = Tokens::ZERO;
    for (budget, tokens) in sums {
        let last = records.get(budget).map_or(0, |record| record.last_merge);
        if last >= record.sequence {
            continue;
        }
        let op = Op::Credit {
            budget: budget.clone(),
            merge: record.sequence,
            tokens,
        };
        match wallet.apply(op).await {
            Ok(Applied::Now(tokens)) => credited += tokens,
            Ok(_) => {}
            Err(Some(error)) => return Err(malformed(error)),
            Err(None) => return Err(Error::Unavailable("budget controller stopped".into())),
        }
    }
    Ok(credited)
}
