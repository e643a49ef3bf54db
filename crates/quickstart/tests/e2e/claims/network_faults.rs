//! Bookings while the connections between entries and sidecars are cut or stalled, or sidecars are
//! frozen: the reported outcome must match the runs during the fault and after it ends.

use cyc_quickstart::{Deployment, deploy::TargetHandle, layout::TargetKind};
use cyc_standin::{process::Signal, relay::Direction};
use googletest::prelude::*;
use serde_json::json;
use strum::{EnumIter, IntoEnumIterator as _};

use super::support::{
    self, book, outcome_mismatch, runs, set_all_faults, target_indexes, wait_started,
};

/// Fault between the entries and the sidecars of the service: a fault of the relays, or sidecars
/// stopped by SIGSTOP (`Frozen`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
enum NetworkFault {
    Cut,
    HoldToTarget,
    HoldFromTarget,
    BlackHole,
    Frozen,
}

impl NetworkFault {
    fn inject(self, deployment: &Deployment) -> Result<()> {
        for index in target_indexes(deployment, TargetKind::Service) {
            let relay = &deployment.targets[index].relay;
            match self {
                Self::Cut => relay.cut(),
                Self::HoldToTarget => relay.hold(Direction::ToTarget),
                Self::HoldFromTarget => relay.hold(Direction::FromTarget),
                Self::BlackHole => relay.black_hole(),
                Self::Frozen => deployment.signal_sidecar(index, Signal::Stop)?,
            }
        }
        Ok(())
    }

    fn heal(self, deployment: &Deployment) -> Result<()> {
        for index in target_indexes(deployment, TargetKind::Service) {
            let TargetHandle { relay, .. } = &deployment.targets[index];
            match self {
                Self::Frozen => deployment.signal_sidecar(index, Signal::Cont)?,
                _ => relay.heal(),
            }
        }
        Ok(())
    }
}

/// After the fault has ended, checks that the reply matches the runs, and that a retry through each
/// entry is answered and matches them too. Returns the mismatches.
async fn check_after_fault(
    deployment: &Deployment,
    case: &str,
    reply: &cyc_quickstart::caller::Reply,
) -> Result<Vec<String>> {
    let key = case;
    let mut mismatches = Vec::new();
    support::reach_every_service_instance(deployment, &format!("{case}-passing")).await?;
    mismatches.extend(outcome_mismatch(reply, runs(deployment, key).await?));
    for entry in 0..2 {
        let again = book(deployment, entry, key, 20_000).await?;
        let count = runs(deployment, key).await?;
        mismatches.extend(outcome_mismatch(&again, count));
        if !again.complete {
            mismatches.push(format!(
                "retry not answered after the fault ended: {again:?}"
            ));
        }
    }
    Ok(mismatches)
}

/// A request that is held up in the network can run after the entry has given up on it. The entry
/// must not have reported it as not run.
#[gtest]
#[tokio::test]
async fn outcomes_match_the_runs_if_the_network_fails_before_a_booking() -> Result<()> {
    let deployment = support::start(support::single_engine_layout()).await?;
    support::reach_every_service_instance(&deployment, "before").await?;
    for fault in NetworkFault::iter() {
        let case = format!("before-{fault:?}");
        fault.inject(&deployment)?;
        let reply = book(&deployment, 0, &case, 1_500).await?;
        let mismatch = outcome_mismatch(&reply, runs(&deployment, &case).await?);
        expect_that!(mismatch, none(), "{case}");
        fault.heal(&deployment)?;
        let mismatches = check_after_fault(&deployment, &case, &reply).await?;
        expect_that!(mismatches, is_empty(), "{case}: first reply {reply:?}");
    }
    Ok(())
}

/// The answer of a booking that ran can be lost. The entry must not report it as not run, and a
/// retry must not run it again.
#[gtest]
#[tokio::test]
async fn outcomes_match_the_runs_if_the_network_fails_during_a_booking() -> Result<()> {
    let deployment = support::start(support::single_engine_layout()).await?;
    support::reach_every_service_instance(&deployment, "before").await?;
    for fault in NetworkFault::iter() {
        let case = format!("in-{fault:?}");
        set_all_faults(&deployment, TargetKind::Service, &json!({ "slow": 500 })).await?;
        let first = book(&deployment, 0, &case, 2_000);
        let inject = async {
            wait_started(&deployment, &case).await?;
            fault.inject(&deployment)
        };
        let (reply, failed) = tokio::join!(first, inject);
        failed?;
        let reply = reply?;
        let mismatch = outcome_mismatch(&reply, runs(&deployment, &case).await?);
        expect_that!(mismatch, none(), "{case}");
        fault.heal(&deployment)?;
        set_all_faults(&deployment, TargetKind::Service, &json!({})).await?;
        let mismatches = check_after_fault(&deployment, &case, &reply).await?;
        expect_that!(mismatches, is_empty(), "{case}: first reply {reply:?}");
        expect_that!(runs(&deployment, &case).await?, eq(1), "{case}");
    }
    Ok(())
}
