//! Polls the VM list, which lags behind, and stops sending new requests to targets on leaving
//! VMs.

use std::{collections::HashMap, sync::Arc};

use cyc_store::{Platform, VmState};
use cyc_types::{Millis, VmId};

use crate::app::App;

/// Interval between reads of the VM list.
const VM_LIST_INTERVAL: Millis = Millis::new(1_000);

/// Polls the VM list until the process ends.
pub async fn run(app: Arc<App>, platform: Arc<dyn Platform>) {
    let mut interval = tokio::time::interval(VM_LIST_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match platform.list_vms().await {
            Ok(vms) => {
                let states = vms.into_iter().map(|vm| (vm.id, vm.state)).collect();
                apply(&app, &states);
            }
            Err(error) => {
                spdlog::debug!("vm_list_read_failed", kv: { error = error.to_string() });
            }
        }
    }
}

/// A VM that is missing from the list may be new, so it is not treated as leaving; heartbeats show
/// whether its target is reachable.
fn apply(app: &App, states: &HashMap<VmId, VmState>) {
    let is_leaving = |vm: &VmId| states.get(vm) == Some(&VmState::Leaving);
    app.set_leaving(is_leaving(&app.incarnation.vm));
    let Some(config) = app.config.current() else {
        return;
    };
    for target in &config.services.targets {
        let leaving = is_leaving(&target.vm);
        let before = app.fleet.get(&target.id).is_some_and(|s| s.is_leaving());
        app.fleet.set_leaving(&target.id, leaving);
        if leaving && !before {
            app.heartbeat_trigger.notify_one();
        }
    }
}
