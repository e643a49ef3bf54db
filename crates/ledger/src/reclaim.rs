//! The controller that reclaims the grants of replaced or terminated entry incarnations.
//!
//! Receipts that a fenced writer did not flush are written as that writer's next segments. Segments
//! are created only if absent, so a writer that was merely paused fails to create its next segment
//! and learns that it is fenced, and only one of two concurrent reclaimers succeeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use async_trait::async_trait;
use cyc_budget::{Applied, Op, OpError, WalletHandle};
use cyc_member::{contacts, fence};
use cyc_proto::{GrantId, LinkError, sidecar::FenceReply};
use cyc_store::{Error, Kind, Platform, Precondition, Result};
use cyc_types::{Clock, Incarnation, Millis, RequestId, TargetId, Tokens, VmId};
use serde::Deserialize;

use crate::{
    evidence::{Evidence, Plan, Reason, Unresolved, is_fenced_by, plan},
    read::{self, malformed},
    segment::Segment,
};

/// Access to the configured sidecars.
#[async_trait]
pub trait Sidecars: Send + Sync + 'static {
    /// Fences all incarnations on the VM of `lowest` below its number at every configured sidecar,
    /// including the sidecars on VMs that are missing from the VM list, and returns one reply for
    /// each sidecar. The implementation has to read the configuration after this call begins, so
    /// that no sidecar is left out.
    async fn fence(&self, lowest: &Incarnation) -> Vec<(TargetId, Result<FenceReply, LinkError>)>;
}

/// The default of [`Options::absence_timeout`].
const DEFAULT_ABSENCE_TIMEOUT: Millis = Millis::new(30_000);

/// The settings of [`Reclaimer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How long a VM has to be missing from the VM list before it counts as terminated. The list
    /// lags, and a VM that has just started is not in it yet.
    pub absence_timeout: Millis,
    /// The VM that this process runs on. A VM list without it is empty, wrong or stale, and is not
    /// used to decide that other VMs have terminated. `None` trusts every list.
    pub own_vm: Option<VmId>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            absence_timeout: DEFAULT_ABSENCE_TIMEOUT,
            own_vm: None,
        }
    }
}

/// Result of one round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Reclaimed grants, each with the tokens returned to its budget.
    pub reclaimed: Vec<(GrantId, Tokens)>,
    /// Grants that could not be reclaimed yet.
    pub unresolved: Vec<Unresolved>,
    /// Receipts that the sidecars may drop, each with the entry that started the run.
    pub released: Vec<(Incarnation, RequestId)>,
}

/// The fields of a member object that identify the latest incarnation on a VM.
#[derive(Debug, Deserialize)]
struct Member {
    vm: VmId,
    number: u64,
}

/// Reclaims the grants of fenced entry incarnations.
pub struct Reclaimer {
    platform: Arc<dyn Platform>,
    wallet: WalletHandle,
    sidecars: Arc<dyn Sidecars>,
    clock: Clock,
    options: Options,
    /// Fences whose incarnations have been reclaimed completely.
    completed_fences: BTreeSet<Incarnation>,
    /// When each VM was first missing from the VM list, by the clock of this process.
    absent_since: BTreeMap<VmId, Millis>,
}

impl Reclaimer {
    /// Creates a reclaimer with the default settings.
    pub fn new(
        platform: Arc<dyn Platform>,
        wallet: WalletHandle,
        sidecars: Arc<dyn Sidecars>,
        clock: Clock,
    ) -> Self {
        Self {
            platform,
            wallet,
            sidecars,
            clock,
            options: Options::default(),
            completed_fences: BTreeSet::new(),
            absent_since: BTreeMap::new(),
        }
    }

    /// Replaces the default settings.
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self
    }

    /// Reclaims all grants that can be reclaimed now. May run at several entries concurrently, and
    /// may be interrupted at any step.
    ///
    /// # Errors
    /// If the platform does not answer, or with [`Error::Conflict`] if another process wrote an
    /// object first; the next round continues from there.
    pub async fn run_round(&mut self) -> Result<Outcome> {
        let mut outcome = Outcome::default();
        for lowest in self.reclaimable_fences().await? {
            if self.completed_fences.contains(&lowest) {
                continue;
            }
            fence::raise(&*self.platform, &lowest)
                .await
                .map_err(read::member_error)?;
            let contacts = self.seal_contacts(&lowest).await?;
            let evidence = self.collect_evidence(&lowest, contacts).await;
            let complete = evidence.unreachable.is_empty();
            let running = evidence.replies.iter().any(|r| !r.running.is_empty());
            let plan = self.plan(&lowest, &evidence).await?;
            let unresolved_before = outcome.unresolved.len();
            self.execute(plan, &mut outcome).await?;
            if complete && !running && outcome.unresolved.len() == unresolved_before {
                self.completed_fences.insert(lowest);
            }
        }
        Ok(outcome)
    }

    /// Returns for each VM with replaced or terminated incarnations the lowest one, possibly not
    /// started yet, that is neither.
    async fn reclaimable_fences(&mut self) -> Result<Vec<Incarnation>> {
        let vms = self.platform.list_vms().await?;
        let listed: BTreeSet<&VmId> = vms.iter().map(|vm| &vm.id).collect();
        let own_vm = self.options.own_vm.as_ref();
        let is_trusted = own_vm.is_none_or(|own| listed.contains(own));
        self.absent_since
            .retain(|vm, _| is_trusted && !listed.contains(vm));
        let mut lowest: BTreeMap<VmId, u64> = BTreeMap::new();
        for object in self.platform.list(Kind::Member, "entry.").await? {
            let member: Member = serde_json::from_slice(&object.body).map_err(malformed)?;
            let is_terminated =
                is_trusted && !listed.contains(&member.vm) && self.note_absent(&member.vm);
            lowest.insert(member.vm, member.number + u64::from(is_terminated));
        }
        for record in read::records(&*self.platform).await?.values() {
            for holder in record.grants.keys().filter(|h| !listed.contains(&h.vm)) {
                if is_trusted && self.note_absent(&holder.vm) {
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

    /// Records that a VM is missing from the VM list; true if it has been for
    /// [`Options::absence_timeout`].
    fn note_absent(&mut self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let since = *self.absent_since.entry(vm.clone()).or_insert(now);
        now.saturating_sub(since) >= self.options.absence_timeout
    }

    /// Seals the contacts of the fenced holders, so that none of them can send requests to a
    /// sidecar that is not queried.
    async fn seal_contacts(
        &self,
        lowest: &Incarnation,
    ) -> Result<BTreeMap<Incarnation, BTreeMap<TargetId, Incarnation>>> {
        let records = read::records(&*self.platform).await?;
        let holders = records.values().flat_map(|record| record.grants.keys());
        let fenced: BTreeSet<&Incarnation> = holders
            .filter(|holder| is_fenced_by(lowest, holder))
            .collect();
        let mut sealed = BTreeMap::new();
        for holder in fenced {
            let contacts = contacts::seal(&*self.platform, holder)
                .await
                .map_err(read::contacts_error)?;
            sealed.insert(holder.clone(), contacts.sidecars);
        }
        Ok(sealed)
    }

    async fn collect_evidence(
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
                Err(_) => evidence.unreachable.push(target),
            }
        }
        evidence
    }

    async fn plan(&self, lowest: &Incarnation, evidence: &Evidence) -> Result<Plan> {
        let segments = read::segments(&*self.platform, &format!("{}.", lowest.vm)).await?;
        let records = read::records(&*self.platform).await?;
        let wall = self.clock.wall_time();
        Ok(plan(lowest, evidence, &segments, &records, wall))
    }

    async fn execute(&self, plan: Plan, outcome: &mut Outcome) -> Result<()> {
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
        let result = self.wallet.apply(op.clone()).await;
        match (op, result) {
            (Op::Reclaim { grant, unspent }, Ok(Applied::Now(_))) => {
                outcome.reclaimed.push((grant, unspent));
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
            (_, Err(None)) => return Err(Error::Unavailable("budget controller stopped".into())),
        }
        Ok(())
    }
}

/// Writes a segment on behalf of a fenced writer.
async fn write(platform: &dyn Platform, segment: &Segment) -> Result<()> {
    let body = segment.encode().map_err(malformed)?;
    platform
        .put(&segment.key(), body, Precondition::Absent)
        .await?;
    Ok(())
}
