//! The chain of merge records, which credit request ids that were billed twice.
//!
//! A record is create-only, so of two mergers one wins. Its credits are applied before those of
//! the next record, by whoever reads the chain; they are idempotent by its sequence.

use std::collections::{BTreeMap, BTreeSet};

use cyc_budget::{Applied, Op, Purse, Record};
use cyc_store::{Body, Error, Expect, Kind, ObjectKey, Platform, Result};
use cyc_types::{BudgetId, Millis, RequestId, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    read::{self, malformed},
    segment::Segment,
};

/// The most segments that one record covers.
const MAX_SEGMENTS: usize = 1_000;
/// The most duplicates that one record names.
const MAX_DUPLICATES: usize = 1_000;

/// One record of the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergeRecord {
    /// Invariant: counts up from 1 without gaps.
    pub sequence: u64,
    /// The names of the segments read for this record. Invariant: in no other record.
    pub segments: Vec<SmolStr>,
    /// The duplicates found.
    pub duplicates: Vec<Duplicate>,
}

/// A receipt of a request that an earlier receipt has billed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duplicate {
    /// The request.
    pub request: RequestId,
    /// The segment of the receipt that is credited.
    pub segment: SmolStr,
    /// The budget that gets it back.
    pub budget: BudgetId,
    /// The tokens.
    pub tokens: Tokens,
    /// Wall-clock time of the credited receipt, for the month of the report.
    pub at: Millis,
}

/// What a merge did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The record written, if there were new segments.
    pub record: Option<MergeRecord>,
    /// The tokens credited now, also for earlier records.
    pub credited: Tokens,
}

/// Returns the name of a record.
pub fn key(sequence: u64) -> ObjectKey {
    ObjectKey::new(Kind::Merge, format_smolstr!("{sequence:012}"))
}

/// Reads the chain.
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

/// Finds the duplicates in the segments that no record covers and whose receipts are all settled.
/// A request id counts as the same within `window`; later it may be used for a new request.
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
    let mut fresh = Vec::new();
    for segment in segments {
        let name = segment.key().name;
        if covered.contains(&name) {
            let kept = segment.receipts.iter();
            for receipt in kept.filter(|r| !credited.contains(&(r.request, &name))) {
                billed.entry(receipt.request).or_default().push(receipt.at);
            }
        } else if is_decided(records, segment) {
            fresh.push((segment.at, name, segment));
        }
    }
    fresh.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    fresh.truncate(MAX_SEGMENTS);
    let mut record = MergeRecord {
        sequence: chain.last().map_or(1, |last| last.sequence + 1),
        segments: Vec::new(),
        duplicates: Vec::new(),
    };
    for (_, name, segment) in fresh {
        if record.duplicates.len() + segment.receipts.len() > MAX_DUPLICATES
            && !record.segments.is_empty()
        {
            break;
        }
        find_duplicates(segment, &name, window, &mut billed, &mut record.duplicates);
        record.segments.push(name);
    }
    (!record.segments.is_empty()).then_some(record)
}

fn is_decided(records: &BTreeMap<BudgetId, Record>, segment: &Segment) -> bool {
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
        let near = |at: &Millis| at.get().abs_diff(receipt.at.get()) <= window.get();
        if times.iter().any(near) {
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

/// Applies the credits of the chain that are missing, then writes and applies the next record.
/// Safe to run at several entries at once, and to stop at any step.
///
/// # Errors
/// If the platform does not answer, or with [`Error::Conflict`] if another merger was faster; in
/// both cases the next run goes on where this one stopped.
pub async fn merge(platform: &dyn Platform, purse: &Purse, window: Millis) -> Result<Outcome> {
    let chain = chain(platform).await?;
    // The segments are read before the shards, so that a segment is settled if its shard says so.
    let segments = read::segments(platform, "").await?;
    let records = read::records(platform).await?;
    let mut outcome = Outcome::default();
    for record in &chain {
        outcome.credited += credit(purse, record, &records).await?;
    }
    if let Some(record) = next_record(&chain, &segments, &records, window) {
        write(platform, &record).await?;
        outcome.credited += credit(purse, &record, &records).await?;
        outcome.record = Some(record);
    }
    Ok(outcome)
}

async fn write(platform: &dyn Platform, record: &MergeRecord) -> Result<()> {
    let body = Body::from(serde_json::to_vec(record).map_err(malformed)?);
    let key = key(record.sequence);
    platform.put(&key, body, Expect::Absent).await?;
    Ok(())
}

/// Applies the credits of one record, one sum for each budget.
async fn credit(
    purse: &Purse,
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
        match purse.apply(op).await {
            Ok(Applied::Now(tokens)) => credited += tokens,
            Ok(_) => {}
            Err(Some(error)) => return Err(malformed(error)),
            Err(None) => return Err(Error::Unavailable("the controller has ended".into())),
        }
    }
    Ok(credited)
}
