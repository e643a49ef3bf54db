//! Selects the entry that runs a controller of which one instance is enough.
//!
//! The entries need not agree on the selection: these controllers are safe to run at several
//! entries at once.

use std::collections::BTreeSet;

use cyc_member::{Role, list};
use cyc_store::Platform;
use cyc_types::{VmId, hash};

use crate::app::App;

/// Number of rounds after which the controller also runs at an entry that is not selected, because
/// the selected one may hang.
const FALLBACK_ROUNDS: u64 = 10;

/// Decides in which rounds a controller runs at this entry.
#[derive(Debug)]
pub struct ControllerSchedule {
    controller: &'static str,
    rounds: u64,
}

impl ControllerSchedule {
    /// Creates the schedule of the controller with this name.
    pub fn new(controller: &'static str) -> Self {
        Self {
            controller,
            rounds: 0,
        }
    }

    /// Returns true if the controller should run in this round.
    ///
    /// # Errors
    /// If the platform does not answer.
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
        let vms = platform.list_vms().await?;
        let listed: BTreeSet<VmId> = vms.into_iter().map(|vm| vm.id).collect();
        let members = list(platform, Role::Entry).await?;
        let vms = members.into_iter().map(|member| member.vm);
        Ok(selected_entry(self.controller, vms, &listed).as_ref() == Some(&app.incarnation.vm))
    }
}

/// Selects by rendezvous hashing among the entries on listed VMs, or among all entries if none is
/// on a listed VM.
fn selected_entry(
    controller: &str,
    entries: impl Iterator<Item = VmId>,
    listed: &BTreeSet<VmId>,
) -> Option<VmId> {
    let (on_listed_vms, others): (Vec<VmId>, Vec<VmId>) =
        entries.partition(|vm| listed.contains(vm));
    let candidates = if on_listed_vms.is_empty() {
        others
    } else {
        on_listed_vms
    };
    let key = hash::stable(controller.as_bytes());
    let weight = |vm: &VmId| hash::rendezvous_weight(key, vm.as_str());
    candidates.into_iter().max_by_key(weight)
}
