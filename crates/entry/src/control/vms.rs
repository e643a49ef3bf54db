//! Follows the VM list, which lags: targets on leaving VMs get no new work.

use std::{collections::HashMap, sync::Arc};

use cyc_store::{Platform, VmState};
use cyc_types::{Millis, VmId};

use crate::app::App;

/// Time between two reads of the VM list.
const VM_LIST_INTERVAL: Millis = Millis::new(1_000);

/// Reads the VM list for as long as the process runs.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>) {
    let mut interval = tokio::time::interval(VM_LIST_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match platform.vms().await {
            Ok(vms) => {
                let states = vms.into_iter().map(|vm| (vm.id, vm.state)).collect();
                apply(&app, &states);
            }
            Err(error) => {
                spdlog::debug!("vm_list_not_read", kv: { error = error.to_string() });
            }
        }
    }
}

/// A VM that is not in the list may be new: only heartbeats tell whether its target works.
fn apply(app: &App, states: &HashMap<VmId, VmState>) {
    let is_leaving = |vm: &VmId| states.get(vm) == Some(&VmState::Leaving);
    app.set_leaving(is_leaving(&app.me.vm));
    let Some(config) = app.config.current() else {
        return;
    };
    for target in &config.services.targets {
        let leaving = is_leaving(&target.vm);
        let before = app.fleet.get(&target.id).is_some_and(|s| s.is_leaving());
        app.fleet.set_leaving(&target.id, leaving);
        if leaving && !before {
            app.news.notify_one();
        }
    }
}
