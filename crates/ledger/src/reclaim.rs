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
use cyc_member::{contacts, fence};
use cyc_proto::{GrantId, LinkError, sidecar::FenceReply};
use cyc_store::{Error, Expect, Kind, Platform, Result};
use cyc_types::{Clock, Incarnation, Millis, RequestId, TargetId, Tokens, VmId};
use serde::Deserialize;

use crate::{
    evidence::{Evidence, Plan, Reason, Unresolved, is_below, plan},
    read::{self, malformed},
    segment::Segment,
};

/// The sidecars of the configuration, as the process reaches them.
#[async_trait]
pub trait Sidecars: Send + Sync + 'static {
    /// Fences all incarnations below `lowest` at every sidecar of the configuration, whatever the
    /// VM list says of its VM, and returns one answer for each. The configuration has to be read
    /// after this call begins, so that no sidecar is left out.
    async fn fence(&self, lowest: &Incarnation) -> Vec<(TargetId, Result<FenceReply, LinkError>)>;
}

/// The default of [`Options::absence`].
const ABSENCE: Millis = Millis::new(30_000);

/// The settings of the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// A VM counts as gone when the VM list has not named it for this long, because the list lags
    /// and a VM that has just started is not in it yet.
    pub absence: Millis,
    /// Only a VM list that names this VM, on which the process runs, tells that others are gone:
    /// a list without it is empty, wrong or too old. `None` trusts every list.
    pub own_vm: Option<VmId>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            absence: ABSENCE,
            own_vm: None,
        }
    }
}

/// What a round of reclaim did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The grants reclaimed and the tokens that became free.
    pub reclaimed: Vec<(GrantId, Tokens)>,
    /// The grants that stay held.
    pub unresolved: Vec<Unresolved>,
    /// Receipts that the sidecars may drop, by the entry that started the run.
    pub released: Vec<(Incarnation, RequestId)>,
}

/// The part of a member object that tells which incarnation is the last.
#[derive(Debug, Deserialize)]
struct Member {
    vm: VmId,
    number: u64,
}

/// The controller.
pub struct Reclaimer {
    platform: Arc<dyn Platform>,
    purse: Purse,
    sidecars: Arc<dyn Sidecars>,
    clock: Clock,
    options: Options,
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
            options: Options::default(),
            finished: BTreeSet::new(),
            absent: BTreeMap::new(),
        }
    }

    /// Sets the settings.
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self
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
            fence::raise(&*self.platform, &lowest)
                .await
                .map_err(read::member_error)?;
            let contacts = self.seal_contacts(&lowest).await?;
            let evidence = self.ask(&lowest, contacts).await;
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
        let own_vm = self.options.own_vm.as_ref();
        let is_trusted = own_vm.is_none_or(|own| listed.contains(own));
        self.absent
            .retain(|vm, _| is_trusted && !listed.contains(vm));
        let mut lowest: BTreeMap<VmId, u64> = BTreeMap::new();
        for object in self.platform.list(Kind::Member, "entry.").await? {
            let member: Member = serde_json::from_slice(&object.body).map_err(malformed)?;
            let is_gone = is_trusted && !listed.contains(&member.vm) && self.is_absent(&member.vm);
            lowest.insert(member.vm, member.number + u64::from(is_gone));
        }
        for record in read::records(&*self.platform).await?.values() {
            for holder in record.grants.keys().filter(|h| !listed.contains(&h.vm)) {
                if is_trusted && self.is_absent(&holder.vm) {
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

    /// Notes that the VM list does not name a VM; true if it has not for [`Options::absence`].
    fn is_absent(&mut self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let since = *self.absent.entry(vm.clone()).or_insert(now);
        now.saturating_sub(since) >= self.options.absence
    }

    /// Seals the contacts of the fenced holders, so that none of them can send work to a sidecar
    /// that is not asked.
    async fn seal_contacts(
        &self,
        lowest: &Incarnation,
    ) -> Result<BTreeMap<Incarnation, BTreeMap<TargetId, Incarnation>>> {
        let records = read::records(&*self.platform).await?;
        let holders = records.values().flat_map(|record| record.grants.keys());
        let fenced: BTreeSet<&Incarnation> =
            holders.filter(|holder| is_below(lowest, holder)).collect();
        let mut sealed = BTreeMap::new();
        for holder in fenced {
            let contacts = contacts::seal(&*self.platform, holder)
                .await
                .map_err(read::contacts_error)?;
            sealed.insert(holder.clone(), contacts.sidecars);
        }
        Ok(sealed)
    }

    async fn ask(
        &self,
        lowest: &Incarnation,
        contacts: BTreeMap<Incarnation, BTreeMap<TargetId, Incarnation>>,
    ) -> Evidence {
        let mut evidence = Evidence {
            contacts,
            ..Evidence::default()
        };
        for (target, reply) in self.sidecars.fence(lowest).await {
            match reply {
                Ok(reply) => {
                    evidence.answered.insert(target, reply.sidecar.clone());
                    evidence.replies.push(reply);
                }
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
