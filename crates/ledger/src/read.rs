//! Reads the budget records and the segments from the platform.

use std::collections::BTreeMap;

use cyc_budget::{Record, Shard};
use cyc_store::{Error, Kind, Platform, Result};
use cyc_types::BudgetId;

use crate::segment::Segment;

/// Reads the records of all budgets from the budget shards.
///
/// # Errors
/// If the platform does not answer or a shard cannot be read.
pub async fn records(platform: &dyn Platform) -> Result<BTreeMap<BudgetId, Record>> {
    let mut records = BTreeMap::new();
    for object in platform.list(Kind::Budget, "shard-").await? {
        let shard = Shard::decode(&object.body).map_err(malformed)?;
        records.extend(shard.budgets);
    }
    Ok(records)
}

/// Reads the segments whose object names start with `prefix`, sorted by writer and sequence.
///
/// # Errors
/// If the platform does not answer or a segment cannot be read.
pub async fn segments(platform: &dyn Platform, prefix: &str) -> Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for object in platform.list(Kind::Segment, prefix).await? {
        segments.push(Segment::decode(&object.body).map_err(malformed)?);
    }
    segments.sort_by(|a, b| (&a.writer, a.sequence).cmp(&(&b.writer, b.sequence)));
    Ok(segments)
}

/// Returns whether the receipts of `segment` that `grant` pays for are settled.
pub fn is_settled(
    records: &BTreeMap<BudgetId, Record>,
    segment: &Segment,
    grant: &cyc_proto::GrantId,
) -> bool {
    let Some(record) = records.get(&grant.budget) else {
        return false;
    };
    let open_grant = record.grants.get(&grant.holder).map(|open| &open.applied);
    let applied = open_grant.or_else(|| record.closed.get(&grant.holder));
    let last = applied.and_then(|applied| applied.get(&segment.writer));
    last.is_some_and(|last| *last >= segment.sequence)
}

pub(crate) fn member_error(error: cyc_member::Error) -> Error {
    match error {
        cyc_member::Error::Platform(error) => error,
        error @ cyc_member::Error::Malformed { .. } => malformed(error),
    }
}

pub(crate) fn contacts_error(error: cyc_member::contacts::Error) -> Error {
    match error {
        cyc_member::contacts::Error::Platform(error) => error,
        error @ cyc_member::contacts::Error::Sealed => malformed(error),
    }
}

pub(crate) fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}
