//! The arithmetic of a reclaim: from evidence to the segments and operations that settle it.

use std::collections::{BTreeMap, BTreeSet};

use cyc_budget::{Op, Record};
use cyc_proto::{GrantId, Receipt, sidecar::FenceReply};
use cyc_types::{BudgetId, Incarnation, Millis, RequestId, TargetId, Tokens};

use crate::{read, segment::Segment};

/// The answers of all sidecars of the configuration to one fence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By fenced holder, the sidecar incarnations that it may have sent work to, as sealed before
    /// the sidecars were asked.
    pub contacts: BTreeMap<Incarnation, BTreeMap<TargetId, Incarnation>>,
    /// By target, the sidecar incarnation that answered.
    pub answered: BTreeMap<TargetId, Incarnation>,
    /// The answers.
    pub replies: Vec<FenceReply>,
    /// The targets whose sidecars could not be asked.
    pub silent: Vec<TargetId>,
}

/// Why a grant cannot be reclaimed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// A sidecar could not be asked; it may still run a request that the grant pays.
    Silent(TargetId),
    /// The sidecar incarnation that the holder may have sent work to has ended, and its receipts
    /// with it.
    Restarted(TargetId),
    /// A run that the grant pays goes on.
    Running(RequestId),
    /// An entry that is not fenced here has still to settle a receipt.
    Unsettled(Incarnation),
    /// The evidence shows more use than the grant holds.
    Overspent,
    /// The shard changed since the evidence was read.
    Changed,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent(target) => write!(f, "the sidecar of {target} cannot be asked"),
            Self::Restarted(target) => {
                write!(
                    f,
                    "the sidecar of {target} has ended without handing over its receipts"
                )
            }
            Self::Running(request) => write!(f, "request {request} is still running"),
            Self::Unsettled(entry) => write!(f, "{entry} has not settled a receipt yet"),
            Self::Overspent => f.write_str("the receipts are more than the grant"),
            Self::Changed => f.write_str("the shard changed meanwhile"),
        }
    }
}

/// A grant that stays held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unresolved {
    /// The grant, which names its holder.
    pub grant: GrantId,
    /// The tokens held.
    pub tokens: Tokens,
    /// Why.
    pub reason: Reason,
}

/// What a reclaim has to do, in this order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Segments to write, each the next one of a fenced writer.
    pub segments: Vec<Segment>,
    /// Operations: first what settles, then what reclaims.
    pub ops: Vec<Op>,
    /// Grants that stay held.
    pub unresolved: Vec<Unresolved>,
    /// Receipts that the sidecars may drop when all operations are done, by the entry that started
    /// the run.
    pub released: Vec<(Incarnation, RequestId)>,
}

/// Returns whether an incarnation is below the fence.
pub fn is_below(lowest: &Incarnation, incarnation: &Incarnation) -> bool {
    incarnation.vm == lowest.vm && incarnation.number < lowest.number
}

/// Plans the reclaim of all incarnations below `lowest`. The evidence has to be complete before
/// the segments are read, and the segments before the records.
pub fn plan(
    lowest: &Incarnation,
    evidence: &Evidence,
    segments: &[Segment],
    records: &BTreeMap<BudgetId, Record>,
    at: Millis,
) -> Plan {
    let mut plan = Plan::default();
    let grants = open_grants(lowest, records);
    if let Some(target) = evidence.silent.first() {
        let silent = |(grant, tokens)| Unresolved {
            grant,
            tokens,
            reason: Reason::Silent(target.clone()),
        };
        plan.unresolved = grants.into_iter().map(silent).collect();
        return plan;
    }
    let fenced: Vec<&Segment> = segments
        .iter()
        .filter(|segment| is_below(lowest, &segment.writer))
        .collect();
    plan.segments = missing_segments(lowest, evidence, &fenced, at);
    plan.released = receipts(evidence)
        .filter(|receipt| is_below(lowest, &receipt.entry))
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
        match (blocker(lowest, evidence, &grant), tokens.checked_sub(used)) {
            (None, Some(left)) => plan.ops.push(Op::Reclaim { grant, left }),
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
        for (holder, grant) in record.grants.iter().filter(|(h, _)| is_below(lowest, h)) {
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

/// Returns the first sidecar incarnation that the holder may have sent work to and that gives no
/// evidence.
fn missing_contact(evidence: &Evidence, holder: &Incarnation) -> Option<Reason> {
    let Some(contacts) = evidence.contacts.get(holder) else {
        // The grant is younger than the seal; the next round has it.
        return Some(Reason::Changed);
    };
    contacts
        .iter()
        .find_map(|(target, contact)| match evidence.answered.get(target) {
            Some(answered) if answered == contact => None,
            Some(_) => Some(Reason::Restarted(target.clone())),
            None => Some(Reason::Silent(target.clone())),
        })
}

fn blocker(lowest: &Incarnation, evidence: &Evidence, grant: &GrantId) -> Option<Reason> {
    if let Some(reason) = missing_contact(evidence, &grant.holder) {
        return Some(reason);
    }
    let mut runs = evidence.replies.iter().flat_map(|reply| &reply.running);
    if let Some(run) = runs.find(|run| run.grant == *grant) {
        return Some(Reason::Running(run.request));
    }
    let foreign = receipts(evidence)
        .find(|receipt| receipt.grant == *grant && !is_below(lowest, &receipt.entry));
    foreign.map(|receipt| Reason::Unsettled(receipt.entry.clone()))
}

/// Puts the receipts that are in no segment of their writer into its next segments, each request
/// once.
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
    for receipt in receipts(evidence).filter(|receipt| is_below(lowest, &receipt.entry)) {
        if written.insert((&receipt.entry, receipt.request)) {
            let list = missing.entry(&receipt.entry).or_default();
            list.push(receipt.clone());
        }
    }
    let mut fresh = Vec::new();
    for (writer, mut receipts) in missing {
        let mut sequence = last.get(writer).copied().unwrap_or_default();
        while !receipts.is_empty() {
            sequence += 1;
            let mut segment = Segment::new(writer.clone(), sequence, at);
            segment.fill(&mut receipts, &mut Vec::new());
            fresh.push(segment);
        }
    }
    fresh
}
