//! Plans a reclaim: computes the segments and budget operations that the evidence calls for.
//!
//! The functions here are pure; [`crate::reclaim`] collects the evidence and applies the plan.

use std::collections::{BTreeMap, BTreeSet};

use cyc_budget::{Op, Record};
use cyc_proto::{GrantId, Receipt, sidecar::FenceReply};
use cyc_types::{BudgetId, Incarnation, Millis, RequestId, TargetId, Tokens};

use crate::{read, segment::Segment};

/// The replies of all configured sidecars to one fence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By fenced holder, the sidecar incarnations that it may have sent requests to. Sealed before
    /// the sidecars are queried.
    pub contacts: BTreeMap<Incarnation, BTreeMap<TargetId, Incarnation>>,
    /// By target, the sidecar incarnation that replied.
    pub answered: BTreeMap<TargetId, Incarnation>,
    /// The replies.
    pub replies: Vec<FenceReply>,
    /// The targets whose sidecars did not reply.
    pub unreachable: Vec<TargetId>,
}

/// Why a grant cannot be reclaimed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The sidecar of a target did not reply; it may still run a request that the grant pays for.
    Unreachable(TargetId),
    /// The sidecar incarnation that the holder may have sent requests to was replaced, so its
    /// receipts are lost.
    Restarted(TargetId),
    /// A request that the grant pays for is still running.
    Running(RequestId),
    /// An entry outside this fence has not settled a receipt of the grant yet.
    Unsettled(Incarnation),
    /// The receipts exceed the tokens of the grant.
    Overspent,
    /// The budget shard changed after the evidence was collected.
    Changed,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(target) => write!(f, "the sidecar of {target} did not reply"),
            Self::Restarted(target) => {
                write!(
                    f,
                    "the sidecar of {target} was restarted and its receipts were lost"
                )
            }
            Self::Running(request) => write!(f, "request {request} is still running"),
            Self::Unsettled(entry) => {
                write!(f, "{entry} has not settled a receipt of the grant yet")
            }
            Self::Overspent => f.write_str("the receipts exceed the grant"),
            Self::Changed => f.write_str("the budget shard changed during the reclaim"),
        }
    }
}

/// A grant that cannot be reclaimed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unresolved {
    /// The grant, which names its holder.
    pub grant: GrantId,
    /// Tokens that the grant still holds.
    pub tokens: Tokens,
    /// Why the grant cannot be reclaimed.
    pub reason: Reason,
}

/// The steps of a reclaim, to be applied in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Segments to write, each with the next sequence of a fenced writer.
    pub segments: Vec<Segment>,
    /// Budget operations: first those that settle, then those that reclaim.
    pub ops: Vec<Op>,
    /// Grants that cannot be reclaimed yet.
    pub unresolved: Vec<Unresolved>,
    /// Receipts that the sidecars may drop once all operations are applied, each with the entry
    /// that started the run.
    pub released: Vec<(Incarnation, RequestId)>,
}

/// Returns whether `incarnation` is fenced by a fence at `lowest`.
pub fn is_fenced_by(lowest: &Incarnation, incarnation: &Incarnation) -> bool {
    incarnation.vm == lowest.vm && incarnation.number < lowest.number
}

/// Plans the reclaim of all incarnations of the VM below `lowest`.
///
/// The caller has to collect the evidence first, then read the segments, then the records. `at` is
/// the wall-clock time of the new segments.
pub fn plan(
    lowest: &Incarnation,
    evidence: &Evidence,
    segments: &[Segment],
    records: &BTreeMap<BudgetId, Record>,
    at: Millis,
) -> Plan {
    let mut plan = Plan::default();
    let grants = open_grants(lowest, records);
    if let Some(target) = evidence.unreachable.first() {
        let unreachable = |(grant, tokens)| Unresolved {
            grant,
            tokens,
            reason: Reason::Unreachable(target.clone()),
        };
        plan.unresolved = grants.into_iter().map(unreachable).collect();
        return plan;
    }
    let fenced: Vec<&Segment> = segments
        .iter()
        .filter(|segment| is_fenced_by(lowest, &segment.writer))
        .collect();
    plan.segments = missing_segments(lowest, evidence, &fenced, at);
    plan.released = receipts(evidence)
        .filter(|receipt| is_fenced_by(lowest, &receipt.entry))
        .map(|receipt| (receipt.entry.clone(), receipt.request))
        .collect();
    let mut spent: BTreeMap<GrantId, Tokens> = BTreeMap::new();
    for segment in fenced.into_iter().chain(&plan.segments) {
        for (grant, sum) in segment.sums() {
            if read::is_settled(records, segment, &grant) {
                continue;
            }
            *spent.entry(grant.clone()).or_default() += sum;
            plan.ops.push(Op::Settle {
                grant,
                writer: segment.writer.clone(),
                sequence: segment.sequence,
                spent: sum,
            });
        }
    }
    for (grant, tokens) in grants {
        let used = spent.get(&grant).copied().unwrap_or_default();
        match (
            blocking_reason(lowest, evidence, &grant),
            tokens.checked_sub(used),
        ) {
            (None, Some(unspent)) => plan.ops.push(Op::Reclaim { grant, unspent }),
            (reason, _) => plan.unresolved.push(Unresolved {
                grant,
                tokens,
                reason: reason.unwrap_or(Reason::Overspent),
            }),
        }
    }
    plan
}

fn open_grants(
    lowest: &Incarnation,
    records: &BTreeMap<BudgetId, Record>,
) -> Vec<(GrantId, Tokens)> {
    let mut grants = Vec::new();
    for (budget, record) in records {
        for (holder, grant) in record
            .grants
            .iter()
            .filter(|(h, _)| is_fenced_by(lowest, h))
        {
            let id = GrantId {
                budget: budget.clone(),
                holder: holder.clone(),
            };
            grants.push((id, grant.amount));
        }
    }
    grants
}

fn receipts(evidence: &Evidence) -> impl Iterator<Item = &Receipt> {
    evidence.replies.iter().flat_map(|reply| &reply.receipts)
}

/// Returns why the evidence on a holder is incomplete, if it is: its contacts are unknown, or a
/// sidecar incarnation that it may have sent requests to has not replied.
fn missing_evidence(evidence: &Evidence, holder: &Incarnation) -> Option<Reason> {
    let Some(contacts) = evidence.contacts.get(holder) else {
        // The grant was drawn after the contacts were sealed; the next round includes it.
        return Some(Reason::Changed);
    };
    contacts
        .iter()
        .find_map(|(target, contact)| match evidence.answered.get(target) {
            Some(answered) if answered == contact => None,
            Some(_) => Some(Reason::Restarted(target.clone())),
            None => Some(Reason::Unreachable(target.clone())),
        })
}

/// Returns the reason that prevents a reclaim of the grant, if any.
fn blocking_reason(lowest: &Incarnation, evidence: &Evidence, grant: &GrantId) -> Option<Reason> {
    if let Some(reason) = missing_evidence(evidence, &grant.holder) {
        return Some(reason);
    }
    let mut runs = evidence.replies.iter().flat_map(|reply| &reply.running);
    if let Some(run) = runs.find(|run| run.grant == *grant) {
        return Some(Reason::Running(run.request));
    }
    let unsettled = receipts(evidence)
        .find(|receipt| receipt.grant == *grant && !is_fenced_by(lowest, &receipt.entry));
    unsettled.map(|receipt| Reason::Unsettled(receipt.entry.clone()))
}

/// Collects the receipts that are missing from the segments of their writer into its next segments,
/// each request once.
fn missing_segments(
    lowest: &Incarnation,
    evidence: &Evidence,
    segments: &[&Segment],
    at: Millis,
) -> Vec<Segment> {
    let mut written: BTreeSet<(&Incarnation, RequestId)> = BTreeSet::new();
    let mut last: BTreeMap<&Incarnation, u64> = BTreeMap::new();
    for segment in segments {
        let requests = segment.receipts.iter().map(|receipt| receipt.request);
        written.extend(requests.map(|request| (&segment.writer, request)));
        let sequence = last.entry(&segment.writer).or_default();
        *sequence = segment.sequence.max(*sequence);
    }
    let mut missing: BTreeMap<&Incarnation, Vec<Receipt>> = BTreeMap::new();
    for receipt in receipts(evidence).filter(|receipt| is_fenced_by(lowest, &receipt.entry)) {
        if written.insert((&receipt.entry, receipt.request)) {
            let list = missing.entry(&receipt.entry).or_default();
            list.push(receipt.clone());
        }
    }
    let mut new_segments = Vec::new();
    for (writer, mut receipts) in missing {
        let mut sequence = last.get(writer).copied().unwrap_or_default();
        while !receipts.is_empty() {
            sequence += 1;
            let mut segment = Segment::new(writer.clone(), sequence, at);
            segment.fill(&mut receipts, &mut Vec::new());
            new_segments.push(segment);
        }
    }
    new_segments
}
