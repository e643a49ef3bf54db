//! The driver: stale orders, lost answers, repeated orders and permits, with both kinds of engine.

use std::sync::{Arc, atomic::Ordering};

use cyc_orders::{Desired, Driver, FenceCheck, Role, Step, next_order};
use cyc_types::{Clock, Incarnation, Millis};
use googletest::prelude::*;

use crate::fake::{FakeEngine, FakePlatform, desired, lock, state};

const KINDS: [FenceCheck; 2] = [FenceCheck::Checked, FenceCheck::Ignored];
const MAX_STEPS: usize = 200;

struct Scene {
    engine: Arc<FakeEngine>,
    platform: Arc<FakePlatform>,
    check: FenceCheck,
    clock: Clock,
}

impl Scene {
    fn new(check: FenceCheck, seed: u64) -> Self {
        let platform = FakePlatform::default();
        platform.number.store(1, Ordering::SeqCst);
        Self {
            engine: FakeEngine::new(check == FenceCheck::Checked, seed),
            platform: Arc::new(platform),
            check,
            clock: Clock::new_manual(Millis::ZERO),
        }
    }

    /// Starts the sidecar incarnation `number`, which registers.
    fn driver(&self, number: u64) -> Result<Driver> {
        self.platform.number.store(number, Ordering::SeqCst);
        let me = Incarnation::new("vm-1".parse()?, number);
        let (engine, platform) = (self.engine.clone(), self.platform.clone());
        Ok(Driver::new(
            engine,
            platform,
            me,
            self.check,
            self.clock.clone(),
        ))
    }

    fn agrees(&self, desired: &Desired) -> bool {
        let state = lock(&self.engine.state);
        !state.busy && next_order(desired, &state).is_none()
    }

    fn orders(&self) -> usize {
        lock(&self.engine.orders).len()
    }
}

async fn settle(driver: &mut Driver, desired: &Desired) -> Vec<Step> {
    let mut steps = Vec::new();
    while steps.last() != Some(&Step::Settled) && steps.len() < MAX_STEPS {
        steps.push(driver.step(desired).await);
    }
    steps
}

#[gtest]
#[tokio::test]
async fn lost_answers_and_repeated_orders_end_in_the_desired_state() -> Result<()> {
    for check in KINDS {
        for seed in 0..50 {
            let scene = Scene::new(check, seed);
            *lock(&scene.engine.state) = state(&["old"], &["old"], "v1")?;
            scene.engine.lost.store(40, Ordering::SeqCst);
            let mut driver = scene.driver(1)?;
            for version in ["v1", "v2"] {
                let wanted = desired(version, Role::Prefill)?;
                let steps = settle(&mut driver, &wanted).await;
                expect_that!(
                    steps.last(),
                    some(eq(&Step::Settled)),
                    "{check:?}, seed {seed}"
                );
                expect_true!(scene.agrees(&wanted));
            }
            let orders = lock(&scene.engine.orders);
            expect_true!(orders.windows(2).all(|pair| pair[0].1 < pair[1].1));
            // One permit a load, however often the order was repeated.
            expect_that!(scene.platform.permits.load(Ordering::SeqCst), eq(4));
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_order_from_before_a_pause_is_refused_or_put_right() -> Result<()> {
    for check in KINDS {
        let scene = Scene::new(check, 1);
        let (old, new) = (desired("v1", Role::Both)?, desired("v2", Role::Both)?);
        let mut first = scene.driver(1)?;
        scene.engine.hold.store(true, Ordering::SeqCst);
        let wanted = old.clone();
        let paused = tokio::spawn(async move {
            let step = first.step(&wanted).await;
            (first, step)
        });
        scene.engine.held.notified().await;
        let mut second = scene.driver(2)?;
        settle(&mut second, &new).await;
        expect_true!(scene.agrees(&new));
        let before = scene.orders();

        scene.engine.release.notify_one();
        let (mut first, step) = paused.await?;
        match check {
            FenceCheck::Checked => {
                expect_that!(step, eq(&Step::Replaced));
                expect_true!(scene.agrees(&new));
                expect_that!(scene.orders(), eq(before));
            }
            FenceCheck::Ignored => {
                expect_that!(step, matches_pattern!(Step::Ordered(_)));
                expect_false!(scene.agrees(&new));
            }
        }
        expect_that!(first.step(&old).await, eq(&Step::Replaced));
        settle(&mut second, &new).await;
        expect_true!(scene.agrees(&new));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_replaced_sidecar_gives_no_order() -> Result<()> {
    for check in KINDS {
        let scene = Scene::new(check, 1);
        let mut first = scene.driver(1)?;
        let _second = scene.driver(2)?;
        let wanted = desired("v1", Role::Both)?;
        expect_that!(first.step(&wanted).await, eq(&Step::Replaced));
        scene.platform.number.store(1, Ordering::SeqCst);
        expect_that!(first.step(&wanted).await, eq(&Step::Replaced));
        expect_that!(scene.orders(), eq(0));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn without_the_platform_only_an_engine_that_checks_is_ordered() -> Result<()> {
    for check in KINDS {
        let scene = Scene::new(check, 1);
        *lock(&scene.engine.state) = state(&["quill"], &["league"], "v1")?;
        let mut driver = scene.driver(1)?;
        scene.platform.out.store(true, Ordering::SeqCst);
        let step = driver.step(&desired("v1", Role::Decode)?).await;
        match check {
            FenceCheck::Checked => expect_that!(step, matches_pattern!(Step::Ordered(_))),
            FenceCheck::Ignored => expect_that!(step, eq(&Step::PlatformUnavailable)),
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_old_observation_leads_to_no_order() -> Result<()> {
    for check in KINDS {
        let scene = Scene::new(check, 1);
        let mut driver = scene.driver(1)?;
        let wanted = desired("v1", Role::Both)?;
        *lock(&scene.engine.pause) = Some((scene.clock.clone(), Millis::MINUTE));
        expect_that!(driver.step(&wanted).await, eq(&Step::Changed));
        expect_that!(scene.orders(), eq(0));
        *lock(&scene.engine.pause) = None;
        settle(&mut driver, &wanted).await;
        expect_true!(scene.agrees(&wanted));
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn loads_wait_for_a_permit() -> Result<()> {
    let scene = Scene::new(FenceCheck::Ignored, 1);
    let mut driver = scene.driver(1)?;
    let wanted = desired("v1", Role::Both)?;
    scene.platform.wait.store(5_000, Ordering::SeqCst);
    expect_that!(
        driver.step(&wanted).await,
        eq(&Step::Wait(Millis::new(5_000)))
    );
    expect_that!(scene.orders(), eq(0));
    let (tx, rx) = tokio::sync::watch::channel(wanted.clone());
    let running = tokio::spawn(driver.run(rx));
    tokio::time::sleep(Millis::new(1).duration()).await;
    scene.platform.wait.store(0, Ordering::SeqCst);
    tokio::time::sleep(Millis::new(6_000).duration()).await;
    expect_true!(scene.agrees(&wanted));
    let next = desired("v2", Role::Decode)?;
    tx.send(next.clone())?;
    tokio::time::sleep(Millis::new(1_000).duration()).await;
    expect_true!(scene.agrees(&next));
    drop(tx);
    expect_that!(running.await?, eq(&Step::Settled));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_engine_that_lost_its_models_needs_new_permits() -> Result<()> {
    let scene = Scene::new(FenceCheck::Checked, 1);
    let mut driver = scene.driver(1)?;
    let wanted = Desired {
        adapters: Default::default(),
        ..desired("v1", Role::Both)?
    };
    for permits in [1, 2] {
        *lock(&scene.engine.state) = state(&[], &[], "v1")?;
        settle(&mut driver, &wanted).await;
        expect_true!(scene.agrees(&wanted));
        expect_that!(scene.platform.permits.load(Ordering::SeqCst), eq(permits));
    }
    Ok(())
}
