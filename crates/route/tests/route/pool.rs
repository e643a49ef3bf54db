//! Pools: limits, fairness, deadlines and cancellation.

use std::{collections::BTreeMap, time::Duration};

use cyc_proto::sidecar::RouteClass;
use cyc_route::{Pool, Pools, pool::Options};
use cyc_types::{ClientAccountId, Clock, ErrorKind, Millis};
use googletest::prelude::*;
use tokio::task::JoinHandle;

const LONG_TIMEOUT: Millis = Millis::new(1_000_000);

fn pool(slots: usize, queue: usize) -> (Pool, Clock) {
    let clock = Clock::new_manual(Millis::ZERO);
    let options = Options {
        slots,
        queue_limit: queue,
        ..Options::default()
    };
    (Pool::new(options, clock.clone()), clock)
}

fn account(name: &str) -> Result<ClientAccountId> {
    Ok(name.parse()?)
}

/// Runs all spawned tasks until they are blocked.
async fn let_tasks_run() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

fn wait(pool: &Pool, account: &ClientAccountId, weight: u32) -> JoinHandle<Option<ErrorKind>> {
    let (pool, account) = (pool.clone(), account.clone());
    tokio::spawn(async move {
        match pool.acquire(&account, weight, LONG_TIMEOUT).await {
            Ok(permit) => {
                drop(permit);
                None
            }
            Err(refusal) => Some(refusal.kind),
        }
    })
}

/// An account that queues many requests first must not keep all slots.
#[gtest]
#[tokio::test(start_paused = true)]
async fn slots_are_shared_by_weight_and_not_by_queue_length() -> Result<()> {
    let (pool, _) = pool(8, 1_000);
    let mut held = BTreeMap::new();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    for (name, weight, count) in [("large", 1, 200), ("small", 1, 20), ("double", 2, 20)] {
        for _ in 0..count {
            let (pool, tx, id) = (pool.clone(), tx.clone(), account(name)?);
            tokio::spawn(async move {
                let permit = pool.acquire(&id, weight, LONG_TIMEOUT).await;
                let _ = tx.send((id, permit));
            });
        }
        let_tasks_run().await;
    }
    // The large account was first and holds all slots; each released slot goes to the account with
    // the fewest running requests relative to its weight.
    let mut running = Vec::new();
    for _ in 0..8 {
        running.push(rx.recv().await.or_fail()?);
    }
    for _ in 0..8 {
        drop(running.remove(0));
        running.push(rx.recv().await.or_fail()?);
    }
    for (id, permit) in &running {
        expect_that!(permit.is_ok(), eq(true));
        *held.entry(id.to_string()).or_insert(0) += 1;
    }
    let wanted = [("double", 4), ("large", 2), ("small", 2)];
    expect_that!(
        held,
        eq(&wanted.map(|(name, count)| (name.to_owned(), count)).into())
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_full_queue_evicts_from_the_account_with_the_most_queued_requests() -> Result<()> {
    let (pool, _) = pool(1, 4);
    let (large, small) = (account("large")?, account("small")?);
    let running = pool.acquire(&large, 1, LONG_TIMEOUT).await.or_fail()?;
    let mut waiting: Vec<_> = (0..4).map(|_| wait(&pool, &large, 1)).collect();
    let_tasks_run().await;
    let refused = wait(&pool, &large, 1).await?;
    expect_that!(refused, some(eq(ErrorKind::AccountLimited)));
    let late = wait(&pool, &small, 1);
    let_tasks_run().await;
    expect_that!(
        waiting.pop().or_fail()?.await?,
        some(eq(ErrorKind::AccountLimited))
    );
    drop(running);
    expect_that!(late.await?, none());
    for task in waiting {
        expect_that!(task.await?, none());
    }
    expect_that!(pool.counts(), eq((0, 0)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_wait_beyond_the_deadline_is_refused_at_once() -> Result<()> {
    let (pool, clock) = pool(1, 100);
    let id = account("one")?;
    let permit = pool.acquire(&id, 1, LONG_TIMEOUT).await.or_fail()?;
    clock.advance(Millis::new(10_000));
    drop(permit);
    let _running = pool.acquire(&id, 1, LONG_TIMEOUT).await.or_fail()?;
    let refusal = pool
        .acquire(&id, 1, Millis::new(4_000))
        .await
        .err()
        .or_fail()?;
    expect_that!(refusal.kind, eq(ErrorKind::Overloaded));
    expect_that!(refusal.retry_after, some(eq(Millis::new(10_000))));
    let refusal = pool
        .acquire(&id, 1, Millis::new(6_000))
        .await
        .err()
        .or_fail()?;
    expect_that!(refusal.kind, eq(ErrorKind::DeadlineBeforeStart));
    expect_that!(refusal.retry_after.is_some(), eq(true));
    expect_that!(pool.counts(), eq((1, 0)));
    Ok(())
}

/// A caller that disconnects drops its waiting task. Waiters that stayed queued would fill the
/// queue and take slots.
#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelled_waiters_release_their_queue_places() -> Result<()> {
    let (pool, _) = pool(1, 100);
    let id = account("one")?;
    let running = pool.acquire(&id, 1, LONG_TIMEOUT).await.or_fail()?;
    let waiting: Vec<_> = (0..50).map(|_| wait(&pool, &id, 1)).collect();
    let_tasks_run().await;
    expect_that!(pool.counts(), eq((1, 50)));
    for (n, task) in waiting.iter().enumerate() {
        if n % 2 == 0 {
            task.abort();
        }
    }
    drop(running);
    for task in waiting {
        let _ = task.await;
    }
    expect_that!(pool.counts(), eq((0, 0)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn drafting_cannot_starve_status() -> Result<()> {
    let options = |_| Options {
        slots: 2,
        queue_limit: 2,
        ..Options::default()
    };
    let pools = Pools::new(options, &Clock::new_manual(Millis::ZERO));
    let id = account("one")?;
    let drafting = pools.of(RouteClass::Drafting);
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(drafting.acquire(&id, 1, LONG_TIMEOUT).await.or_fail()?);
    }
    let _waiting: Vec<_> = (0..2).map(|_| wait(drafting, &id, 1)).collect();
    let_tasks_run().await;
    for class in [RouteClass::Status, RouteClass::Booking] {
        expect_that!(
            pools
                .of(class)
                .acquire(&id, 1, Millis::new(1))
                .await
                .is_ok(),
            eq(true)
        );
    }
    Ok(())
}
