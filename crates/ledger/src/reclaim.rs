//! The controller that reclaims the grants of entry incarnations that are gone.
//!
//! It writes what a fenced writer left over as that writer's next segments. They are create-only,
//! so a writer that was only paused finds the name taken and learns that it is fenced, and of two
//! reclaimers one wins.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use async_trait::async_trait;
use cyc_budget::{Applied, Op, OpError, Purse};
use cyc_platform::{Body, Error, Expect, Kind, ObjectKey, Platform, Result};
use cyc_proto::{GrantId, LinkError, sidecar::FenceReply};
use cyc_types::{Clock, Incarnation, Millis, RequestId, TargetId, Tokens, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    evidence::{Evidence, Plan, Reason, Unresolved, plan},
    read::{self, malformed},
    segment::Segment,
};

/// The sidecars of the configuration, as the process reaches them.
#[async_trait]
pub trait Sidecars: Send + Sync + 'static {
    /// Fences all incarnations below `lowest` at every sidecar of the configuration whose VM is
    /// in the VM list, and returns one answer for each.
    async fn fence(&self, lowest: &Incarnation) -> Vec<(TargetId, Result<FenceReply, LinkError>)>;
}

/// A VM counts as gone when the VM list has not named it for this long, because the list lags and
/// a VM that has just started is not in it yet.
const ABSENCE: Millis = Millis::new(30_000);

/// The fences: by VM, the lowest incarnation that may still spend. A number only grows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences {
    /// The fences.
    pub lowest: BTreeMap<VmId, u64>,
}

/// What a round of reclaim did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The grants reclaimed and the tokens that became free.
    pub reclaimed: Vec<(GrantId, Tokens)>,
    /// The grants that stay held.
    pub unresolved: Vec<Unresolved>,
    /// Requests whose receipts the sidecars may drop.
    pub released: Vec<RequestId>,
}

/// The part of a member object that tells which incarnation is the last.
#[derive(Debug, Deserialize)]
struct Member {
    vm: VmId,
    number: u64,
}

/// Returns the name of the object with the fences.
pub fn fences_key() -> ObjectKey {
    ObjectKey::new(Kind::Fence, "all")
}

/// The controller.
pub struct Reclaimer {
    platform: Arc<dyn Platform>,
    purse: Purse,
    sidecars: Arc<dyn Sidecars>,
    clock: Clock,
    /// Fences below which nothing is left to do.
    finished: BTreeSet<Incarnation>,
    /// Since when the VM list does not name a VM, by the clock of this process.
    absent: BTreeMap<VmId, Millis>,
}

impl Reclaimer {
    /// Creates the controller.
    pub fn new(
        platform: Arc<dyn Platform>,
        purse: Purse,
        sidecars: Arc<dyn Sidecars>,
        clock: Clock,
    ) -> Self {
        Self {
            platform,
            purse,
            sidecars,
            clock,
            finished: BTreeSet::new(),
            absent: BTreeMap::new(),
        }
    }

    /// Reclaims what can be reclaimed now. Safe to run at several entries at once, and to stop at
    /// any step.
    ///
    /// # Errors
    /// If the platform does not answer, or with [`Error::Conflict`] if another process was
    /// faster; the next round goes on.
    pub async fn round(&mut self) -> Result<Outcome> {
        let mut outcome = Outcome::default();
        for lowest in self.gone().await? {
            if self.finished.contains(&lowest) {
                continue;
            }
            raise_fence(&*self.platform, &lowest).await?;
            let evidence = self.ask(&lowest).await;
            let complete = evidence.silent.is_empty();
            let running = evidence.replies.iter().any(|r| !r.running.is_empty());
            let plan = self.plan(&lowest, &evidence).await?;
            let left = outcome.unresolved.len();
            self.carry_out(plan, &mut outcome).await?;
            if complete && !running && outcome.unresolved.len() == left {
                self.finished.insert(lowest);
            }
        }
        Ok(outcome)
    }

    /// Returns for each VM the lowest incarnation that is not gone, where some are.
    async fn gone(&mut self) -> Result<Vec<Incarnation>> {
        let vms = self.platform.vms().await?;
        let listed: BTreeSet<&VmId> = vms.iter().map(|vm| &vm.id).collect();
        self.absent.retain(|vm, _| !listed.contains(vm));
        let mut lowest: BTreeMap<VmId, u64> = BTreeMap::new();
        for object in self.platform.list(Kind::Member, "entry.").await? {
            let member: Member = serde_json::from_slice(&object.body).map_err(malformed)?;
            let is_gone = !listed.contains(&member.vm) && self.is_absent(&member.vm);
            lowest.insert(member.vm, member.number + u64::from(is_gone));
        }
        for record in read::records(&*self.platform).await?.values() {
            for holder in record.grants.keys().filter(|h| !listed.contains(&h.vm)) {
                if self.is_absent(&holder.vm) {
                    let number = lowest.entry(holder.vm.clone()).or_default();
                    *number = (holder.number + 1).max(*number);
                }
            }
        }
        let fences = lowest.into_iter().filter(|(_, number)| *number > 1);
        Ok(fences
            .map(|(vm, number)| Incarnation::new(vm, number))
            .collect())
    }

    /// Notes that the VM list does not name a VM; true if it has not for [`ABSENCE`].
    fn is_absent(&mut self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let since = *self.absent.entry(vm.clone()).or_insert(now);
        now.saturating_sub(since) >= ABSENCE
    }

    async fn ask(&self, lowest: &Incarnation) -> Evidence {
        let mut evidence = Evidence::default();
        for (target, reply) in self.sidecars.fence(lowest).await {
            match reply {
                Ok(reply) => evidence.replies.push(reply),
                Err(_) => evidence.silent.push(target),
            }
        }
        evidence
    }

    async fn plan(&self, lowest: &Incarnation, evidence: &Evidence) -> Result<Plan> {
        let segments = read::segments(&*self.platform, &format!("{}.", lowest.vm)).await?;
        let records = read::records(&*self.platform).await?;
        let wall = self.clock.wall();
        Ok(plan(lowest, evidence, &segments, &records, wall))
    }

    async fn carry_out(&self, plan: Plan, outcome: &mut Outcome) -> Result<()> {
        for segment in &plan.segments {
            write(&*self.platform, segment).await?;
        }
        outcome.unresolved.extend(plan.unresolved);
        for op in plan.ops {
            self.apply(op, outcome).await?;
        }
        outcome.released.extend(plan.released);
        Ok(())
    }

    async fn apply(&self, op: Op, outcome: &mut Outcome) -> Result<()> {
        let result = self.purse.apply(op.clone()).await;
        match (op, result) {
            (Op::Reclaim { grant, left }, Ok(Applied::Now(_))) => {
                outcome.reclaimed.push((grant, left));
            }
            (Op::Reclaim { grant, .. }, Err(Some(OpError::Stale { have }))) => {
                outcome.unresolved.push(Unresolved {
                    grant,
                    tokens: have,
                    reason: Reason::Changed,
                });
            }
            (Op::Settle { grant, .. }, Err(Some(OpError::Short { have, .. }))) => {
                outcome.unresolved.push(Unresolved {
                    grant,
                    tokens: have,
                    reason: Reason::Overspent,
                });
            }
            (_, Ok(_)) => {}
            (_, Err(Some(error))) => return Err(malformed(error)),
            (_, Err(None)) => return Err(Error::Unavailable("the controller has ended".into())),
        }
        Ok(())
    }
}

/// Writes a segment in the name of a fenced writer.
async fn write(platform: &dyn Platform, segment: &Segment) -> Result<()> {
    let body = segment.encode().map_err(malformed)?;
    platform.put(&segment.key(), body, Expect::Absent).await?;
    Ok(())
}

/// Raises the fence of a VM; one that is as high already stays.
///
/// # Errors
/// If the platform does not answer, or with [`Error::Conflict`] if another process was faster.
pub async fn raise_fence(platform: &dyn Platform, lowest: &Incarnation) -> Result<()> {
    let object = platform.get(&fences_key()).await?;
    let mut fences = match &object {
        Some(object) => serde_json::from_slice(&object.body).map_err(malformed)?,
        None => Fences::default(),
    };
    let number = fences.lowest.entry(lowest.vm.clone()).or_default();
    if *number >= lowest.number {
        return Ok(());
    }
    *number = lowest.number;
    let body = Body::from(serde_json::to_vec(&fences).map_err(malformed)?);
    let expect = object.map_or(Expect::Absent, |object| Expect::Version(object.version));
    platform.put(&fences_key(), body, expect).await?;
    Ok(())
}
