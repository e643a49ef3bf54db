//! Which entry runs a controller that one entry is enough for.
//!
//! Nothing depends on the choice being the same everywhere: the controllers are safe to run at
//! several entries at once.

use std::collections::BTreeSet;

use cyc_member::{Role, list};
use cyc_store::Platform;
use cyc_types::{VmId, hash};

use crate::app::App;

/// Every so many rounds a controller runs also at an entry that is not chosen, because the chosen
/// one may hang.
const FALLBACK_ROUNDS: u64 = 10;

/// Decides in which rounds a controller runs here.
#[derive(Debug)]
pub struct Duty {
    work: &'static str,
    rounds: u64,
}

impl Duty {
    /// Creates the duty of a controller with this name.
    pub fn new(work: &'static str) -> Self {
        Self { work, rounds: 0 }
    }

    /// Returns true if the controller should run in this round.
    ///
    /// # Errors
    /// If the platform gives no answer.
    pub async fn is_due(
        &mut self,
        app: &App,
        platform: &dyn Platform,
    ) -> Result<bool, cyc_member::Error> {
        self.rounds += 1;
        if app.is_draining() || app.config.current().is_none() {
            return Ok(false);
        }
        if self.rounds.is_multiple_of(FALLBACK_ROUNDS) {
            return Ok(true);
        }
        let vms = platform.vms().await?;
        let listed: BTreeSet<VmId> = vms.into_iter().map(|vm| vm.id).collect();
        let members = list(platform, Role::Entry).await?;
        let vms = members.into_iter().map(|member| member.vm);
        Ok(chosen(self.work, vms, &listed).as_ref() == Some(&app.me.vm))
    }
}

/// Chooses among the entries on VMs that the list names, or among all if it names none of them.
fn chosen(
    work: &str,
    entries: impl Iterator<Item = VmId>,
    listed: &BTreeSet<VmId>,
) -> Option<VmId> {
    let (live, others): (Vec<VmId>, Vec<VmId>) = entries.partition(|vm| listed.contains(vm));
    let candidates = if live.is_empty() { others } else { live };
    let key = hash::stable(work.as_bytes());
    let weight = |vm: &VmId| hash::rendezvous(key, vm.as_str());
    candidates.into_iter().max_by_key(weight)
}
