//! Tests of the reconciler with engines that check or ignore fencing numbers: stale orders, lost
//! responses, repeated orders and permits.

use std::sync::{Arc, atomic::Ordering};

use cyc_orders::{Desired, FenceCheck, Reconciler, Role, Step, next_order};
use cyc_types::{Clock, Incarnation, Millis};
use googletest::prelude::*;

use crate::fake::{FakeEngine, FakePlatform, desired, lock, state};

const FENCE_CHECKS: [FenceCheck; 2] = [FenceCheck::Enforced, FenceCheck::Ignored];
const MAX_STEPS: usize = 200;

struct Fixture {
    engine: Arc<FakeEngine>,
    platform: Arc<FakePlatform>,
    check: FenceCheck,
    clock: Clock,
}

impl Fixture {
    fn new(check: FenceCheck, seed: u64) -> Self {
        let platform = FakePlatform::default();
        platform.incarnation.store(1, Ordering::SeqCst);
        Self {
            engine: FakeEngine::new(check == FenceCheck::Enforced, seed),
            platform: Arc::new(platform),
            check,
            clock: Clock::new_manual(Millis::ZERO),
        }
    }

    /// Registers the sidecar incarnation `number` and creates its reconciler.
    fn start_reconciler(&self, number: u64) -> Result<Reconciler> {
        self.platform.incarnation.store(number, Ordering::SeqCst);
        let incarnation = Incarnation::new("vm-1".parse()?, number);
        let (engine, platform) = (self.engine.clone(), self.platform.clone());
        Ok(Reconciler::new(
            engine,
            platform,
            incarnation,
            self.check,
            self.clock.clone(),
        ))
    }

    fn is_in_sync(&self, desired: &Desired) -> bool {
        let state = lock(&self.engine.state);
        !state.busy && next_order(desired, &state).is_none()
    }

    fn order_count(&self) -> usize {
        lock(&self.engine.orders).len()
    }
}

async fn run_until_in_sync(reconciler: &mut Reconciler, desired: &Desired) -> Vec<Step> {
    let mut steps = Vec::new();
    while steps.last() != Some(&Step::InSync) && steps.len() < MAX_STEPS {
        steps.push(reconciler.step(desired).await);
    }
    steps
}

/// Guards against a reconciler that stops short of the desired state, or takes a permit for each
/// repetition, when orders or their responses are lost.
#[gtest]
#[tokio::test]
async fn the_desired_state_is_reached_despite_lost_messages() -> Result<()> {
    for check in FENCE_CHECKS {
        for seed in 0..50 {
            let fixture = Fixture::new(check, seed);
            *lock(&fixture.engine.state) = state(&["old"], &["old"], "v1")?;
            fixture.engine.loss_percent.store(40, Ordering::SeqCst);
            let mut reconciler = fixture.start_reconciler(1)?;
            for version in ["v1", "v2"] {
                let desired_state = desired(version, Role::Prefill)?;
                let steps = run_until_in_sync(&mut reconciler, &desired_state).await;
                expect_that!(
                    steps.last(),
                    some(eq(&Step::InSync)),
                    "{check:?}, seed {seed}"
                );
                expect_true!(fixture.is_in_sync(&desired_state));
            }
            let orders = lock(&fixture.engine.orders);
            expect_true!(orders.windows(2).all(|pair| pair[0].1 < pair[1].1));
            // One permit per load, regardless of how often the order was repeated.
            expect_that!(
                fixture.platform.permits_granted.load(Ordering::SeqCst),
                eq(4)
            );
        }
    }
    Ok(())
}

/// Guards against an order of a replaced sidecar that reaches the engine after the orders of its
/// successor. An engine that checks fencing numbers refuses it; otherwise the successor corrects
/// the state.
#[gtest]
#[tokio::test]
async fn an_order_delayed_past_a_replacement_is_refused_or_corrected() -> Result<()> {
    for check in FENCE_CHECKS {
        let fixture = Fixture::new(check, 1);
        let (old, new) = (desired("v1", Role::Both)?, desired("v2", Role::Both)?);
        let mut first = fixture.start_reconciler(1)?;
        fixture.engine.hold_next.store(true, Ordering::SeqCst);
        let desired_state = old.clone();
        let paused = tokio::spawn(async move {
            let step = first.step(&desired_state).await;
            (first, step)
        });
        fixture.engine.held.notified().await;
        let mut second = fixture.start_reconciler(2)?;
        run_until_in_sync(&mut second, &new).await;
        expect_true!(fixture.is_in_sync(&new));
        let count_before = fixture.order_count();

        fixture.engine.release.notify_one();
        let (mut first, step) = paused.await?;
        match check {
            FenceCheck::Enforced => {
                expect_that!(step, eq(&Step::Replaced));
                expect_true!(fixture.is_in_sync(&new));
                expect_that!(fixture.order_count(), eq(count_before));
            }
            FenceCheck::Ignored => {
                expect_that!(step, matches_pattern!(Step::OrderAccepted(_)));
                expect_false!(fixture.is_in_sync(&new));
            }
        }
        expect_that!(first.step(&old).await, eq(&Step::Replaced));
        run_until_in_sync(&mut second, &new).await;
        expect_true!(fixture.is_in_sync(&new));
    }
    Ok(())
}

/// Guards against orders of a replaced sidecar, which an engine that ignores fencing numbers would
/// execute. The replacement is final, even if the platform shows the old registration again.
#[gtest]
#[tokio::test]
async fn a_replaced_sidecar_sends_no_order() -> Result<()> {
    for check in FENCE_CHECKS {
        let fixture = Fixture::new(check, 1);
        let mut first = fixture.start_reconciler(1)?;
        let _second = fixture.start_reconciler(2)?;
        let desired_state = desired("v1", Role::Both)?;
        expect_that!(first.step(&desired_state).await, eq(&Step::Replaced));
        fixture.platform.incarnation.store(1, Ordering::SeqCst);
        expect_that!(first.step(&desired_state).await, eq(&Step::Replaced));
        expect_that!(fixture.order_count(), eq(0));
    }
    Ok(())
}

/// Guards against an order that the engine cannot reject as stale, sent while the platform is
/// unavailable and the sidecar cannot verify that it was not replaced.
#[gtest]
#[tokio::test]
async fn during_an_outage_only_engines_that_check_fences_receive_orders() -> Result<()> {
    for check in FENCE_CHECKS {
        let fixture = Fixture::new(check, 1);
        *lock(&fixture.engine.state) = state(&["quill"], &["league"], "v1")?;
        let mut reconciler = fixture.start_reconciler(1)?;
        fixture.platform.unavailable.store(true, Ordering::SeqCst);
        let step = reconciler.step(&desired("v1", Role::Decode)?).await;
        match check {
            FenceCheck::Enforced => expect_that!(step, matches_pattern!(Step::OrderAccepted(_))),
            FenceCheck::Ignored => expect_that!(step, eq(&Step::PlatformUnavailable)),
        }
    }
    Ok(())
}

/// Guards against an order of a sidecar that was paused while it read the state of the engine; the
/// state may have changed meanwhile.
#[gtest]
#[tokio::test]
async fn no_order_is_based_on_an_outdated_observation() -> Result<()> {
    for check in FENCE_CHECKS {
        let fixture = Fixture::new(check, 1);
        let mut reconciler = fixture.start_reconciler(1)?;
        let desired_state = desired("v1", Role::Both)?;
        *lock(&fixture.engine.observe_pause) = Some((fixture.clock.clone(), Millis::MINUTE));
        expect_that!(
            reconciler.step(&desired_state).await,
            eq(&Step::StateChanged)
        );
        expect_that!(fixture.order_count(), eq(0));
        *lock(&fixture.engine.observe_pause) = None;
        run_until_in_sync(&mut reconciler, &desired_state).await;
        expect_true!(fixture.is_in_sync(&desired_state));
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn loads_wait_for_a_permit() -> Result<()> {
    let fixture = Fixture::new(FenceCheck::Ignored, 1);
    let mut reconciler = fixture.start_reconciler(1)?;
    let desired_state = desired("v1", Role::Both)?;
    fixture
        .platform
        .permit_delay_ms
        .store(5_000, Ordering::SeqCst);
    expect_that!(
        reconciler.step(&desired_state).await,
        eq(&Step::PermitDelayed(Millis::new(5_000)))
    );
    expect_that!(fixture.order_count(), eq(0));
    let (tx, rx) = tokio::sync::watch::channel(desired_state.clone());
    let running = tokio::spawn(reconciler.run(rx));
    tokio::time::sleep(Millis::new(1).duration()).await;
    fixture.platform.permit_delay_ms.store(0, Ordering::SeqCst);
    tokio::time::sleep(Millis::new(6_000).duration()).await;
    expect_true!(fixture.is_in_sync(&desired_state));
    let next = desired("v2", Role::Decode)?;
    tx.send(next.clone())?;
    tokio::time::sleep(Millis::new(1_000).duration()).await;
    expect_true!(fixture.is_in_sync(&next));
    drop(tx);
    expect_that!(running.await?, eq(&Step::InSync));
    Ok(())
}

/// Guards against reuse of a permit: an engine that loses its models, for example by a restart,
/// loads the weights from the weight store again.
#[gtest]
#[tokio::test]
async fn reloading_lost_models_needs_new_permits() -> Result<()> {
    let fixture = Fixture::new(FenceCheck::Enforced, 1);
    let mut reconciler = fixture.start_reconciler(1)?;
    let desired_state = Desired {
        adapters: Default::default(),
        ..desired("v1", Role::Both)?
    };
    for permits in [1, 2] {
        *lock(&fixture.engine.state) = state(&[], &[], "v1")?;
        run_until_in_sync(&mut reconciler, &desired_state).await;
        expect_true!(fixture.is_in_sync(&desired_state));
        expect_that!(
            fixture.platform.permits_granted.load(Ordering::SeqCst),
            eq(permits)
        );
    }
    Ok(())
}
