//! Bookings while the way between entries and sidecars is cut or silent, or sidecars are frozen:
//! what is said about the run holds then and after the way is open again.

use cyc_quickstart::{Deployment, deploy::TargetSlot, layout::TargetKind};
use cyc_standin::{process::Signal, relay::Direction};
use googletest::prelude::*;
use serde_json::json;
use strum::{EnumIter, IntoEnumIterator as _};

use super::support::{self, book, runs, set_all, slots, untruthful, wait_started};

/// How the way to a desk's sidecar fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
enum Way {
    Cut,
    HoldToTarget,
    HoldFromTarget,
    BlackHole,
    Frozen,
}

impl Way {
    fn fail(self, deployment: &Deployment) -> Result<()> {
        for index in slots(deployment, TargetKind::Desk) {
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
        for index in slots(deployment, TargetKind::Desk) {
            let TargetSlot { relay, .. } = &deployment.targets[index];
            match self {
                Self::Frozen => deployment.signal_sidecar(index, Signal::Cont)?,
                _ => relay.heal(),
            }
        }
        Ok(())
    }
}

/// Checks a reply with the runs when it came, then after the way is open again, then by a retry.
async fn check_after(
    deployment: &Deployment,
    case: &str,
    reply: &cyc_quickstart::caller::Reply,
) -> Result<Vec<String>> {
    let key = case;
    let mut wrong = Vec::new();
    support::pass_every_desk(deployment, &format!("{case}-passing")).await?;
    wrong.extend(untruthful(reply, runs(deployment, key).await?));
    for entry in 0..2 {
        let again = book(deployment, entry, key, 20_000).await?;
        let count = runs(deployment, key).await?;
        wrong.extend(untruthful(&again, count));
        if !again.complete {
            wrong.push(format!("no answer after the way was open again: {again:?}"));
        }
    }
    Ok(wrong)
}

#[gtest]
#[tokio::test]
async fn a_way_that_fails_before_a_booking_makes_nobody_say_what_is_not_so() -> Result<()> {
    let deployment = support::start(support::desks_only()).await?;
    support::pass_every_desk(&deployment, "before").await?;
    for way in Way::iter() {
        let case = format!("before-{way:?}");
        way.fail(&deployment)?;
        let reply = book(&deployment, 0, &case, 1_500).await?;
        let then = untruthful(&reply, runs(&deployment, &case).await?);
        expect_that!(then, none(), "{case}");
        way.heal(&deployment)?;
        let wrong = check_after(&deployment, &case, &reply).await?;
        expect_that!(wrong, is_empty(), "{case}, told {reply:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_way_that_fails_in_a_booking_makes_nobody_say_what_is_not_so() -> Result<()> {
    let deployment = support::start(support::desks_only()).await?;
    support::pass_every_desk(&deployment, "before").await?;
    for way in Way::iter() {
        let case = format!("in-{way:?}");
        set_all(&deployment, TargetKind::Desk, &json!({ "slow": 500 })).await?;
        let first = book(&deployment, 0, &case, 2_000);
        let fail = async {
            wait_started(&deployment, &case).await?;
            way.fail(&deployment)
        };
        let (reply, failed) = tokio::join!(first, fail);
        failed?;
        let reply = reply?;
        let then = untruthful(&reply, runs(&deployment, &case).await?);
        expect_that!(then, none(), "{case}");
        way.heal(&deployment)?;
        set_all(&deployment, TargetKind::Desk, &json!({})).await?;
        let wrong = check_after(&deployment, &case, &reply).await?;
        expect_that!(wrong, is_empty(), "{case}, told {reply:?}");
        expect_that!(runs(&deployment, &case).await?, eq(1), "{case}");
    }
    Ok(())
}
