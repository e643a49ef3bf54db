//! The controller and waiting requests against the platform's faults.

use std::sync::Arc;

use cyc_budget::{
    CloseReport, Keeper, Payment, Purse, Shard, keeper::Options, shard::shard_key, shard_of, top_up,
};
use cyc_types::{ErrorKind, Millis};
use googletest::prelude::*;
use tokio::task::JoinHandle;

use super::{
    fake::{Fake, Fault, runtime_clock},
    *,
};

const SHARDS: u32 = 4;
const PATIENCE: Millis = Millis::new(60_000);

async fn pay(fake: &Fake, id: &str, n: u64) -> Result<()> {
    let payment = Payment {
        budget: budget(),
        account: "dala".parse()?,
        id: id.into(),
        tokens: tokens(n),
        at: Millis::ZERO,
    };
    top_up(fake, SHARDS, payment).await?;
    Ok(())
}

fn start(fake: &Arc<Fake>, number: u64) -> (Purse, JoinHandle<()>) {
    let options = Options {
        shards: SHARDS,
        ..Options::default()
    };
    let (purse, keeper) = Keeper::new(fake.clone(), entry(number), runtime_clock(), options);
    (purse, tokio::spawn(keeper.run()))
}

fn shard(fake: &Fake) -> Shard {
    let key = shard_key(shard_of(&budget(), SHARDS));
    fake.read(&key)
        .map_or(Shard::default(), |body| Shard::decode(&body).unwrap())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn every_fault_of_a_write_leaves_each_operation_done_once() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    let scripts: &[&[Fault]] = &[
        &[None],
        &[AnswerLost, AnswerLost, AnswerLost],
        &[Lost, AnswerLost],
        &[Delayed, Lost, AnswerLost],
        &[Delayed, Delayed],
    ];
    for script in scripts {
        let fake = Arc::new(Fake::default());
        pay(&fake, "first", 100).await?;
        fake.script(script);
        let (purse, task) = start(&fake, 1);
        let reservation = purse.reserve(&budget(), tokens(60), PATIENCE).await?;
        purse.settle(reservation, tokens(25));
        let segment = vec![(grant(1), tokens(25))];
        fake.script(script);
        fake.deliver();
        for _ in 0..2 {
            let settled = purse.settle_segment(&entry(1), 1, segment.clone()).await;
            expect_that!(settled, ok(anything()), "{script:?}");
        }
        fake.script(script);
        expect_that!(purse.close(PATIENCE).await, eq(&CloseReport::default()));
        fake.deliver();
        task.await?;
        let shard = shard(&fake);
        let record = &shard.budgets[&budget()];
        expect_that!(record.settled, eq(tokens(25)), "{script:?}");
        expect_that!(record.free(), eq(tokens(75)), "{script:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn refusals_tell_exhausted_from_unreachable() -> Result<()> {
    let fake = Arc::new(Fake::default());
    let kind = |result: std::result::Result<_, cyc_types::Refusal>| result.map_err(|e| e.kind);
    let (purse, _task) = start(&fake, 1);
    let absent = purse.reserve(&budget(), tokens(1), PATIENCE).await;
    expect_that!(kind(absent), err(eq(&ErrorKind::BudgetExhausted)));

    pay(&fake, "first", 100).await?;
    let held = purse.reserve(&budget(), tokens(60), PATIENCE).await?;
    let too_large = purse.reserve(&budget(), tokens(101), PATIENCE).await;
    expect_that!(kind(too_large), err(eq(&ErrorKind::BudgetExhausted)));

    // What another entry holds may come back: that is not exhausted.
    let (other, _task) = start(&fake, 2);
    let elsewhere = other.reserve(&budget(), tokens(80), Millis::SECOND).await;
    expect_that!(kind(elsewhere), err(eq(&ErrorKind::BudgetUnreachable)));

    fake.set_out(true);
    let out = purse.reserve(&budget(), tokens(90), Millis::SECOND).await;
    expect_that!(kind(out), err(eq(&ErrorKind::BudgetUnreachable)));
    fake.set_out(false);

    purse.settle(held, tokens(60));
    purse.with_wallet(|wallet| wallet.fence());
    let fenced = purse.reserve(&budget(), tokens(1), PATIENCE).await;
    expect_that!(kind(fenced), err(eq(&ErrorKind::Fenced)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_reservations_in_flight_and_for_top_ups() -> Result<()> {
    let fake = Arc::new(Fake::default());
    pay(&fake, "first", 100).await?;
    let (purse, _task) = start(&fake, 1);
    let held = purse.reserve(&budget(), tokens(100), PATIENCE).await?;
    let waiter = purse.clone();
    let waiting =
        tokio::spawn(async move { waiter.reserve(&budget(), tokens(80), PATIENCE).await });
    tokio::task::yield_now().await;
    purse.settle(held, tokens(10));
    let reservation = waiting.await??;
    expect_that!(reservation.tokens, eq(tokens(80)));

    pay(&fake, "second", 50).await?;
    let after = purse.reserve(&budget(), tokens(60), PATIENCE).await;
    expect_that!(after, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn small_requests_do_not_starve_a_large_one() -> Result<()> {
    let fake = Arc::new(Fake::default());
    pay(&fake, "first", 100).await?;
    let (purse, _task) = start(&fake, 1);
    let mut held = purse.reserve(&budget(), tokens(50), PATIENCE).await?;
    let waiter = purse.clone();
    let large = tokio::spawn(async move { waiter.reserve(&budget(), tokens(100), PATIENCE).await });
    tokio::task::yield_now().await;
    // A chain of small requests that overlap never leaves all tokens free; it has to be stopped.
    let mut stopped = false;
    for _ in 0..100 {
        match purse.reserve(&budget(), tokens(50), Millis::SECOND).await {
            Ok(next) => {
                purse.release(held);
                held = next;
            }
            Err(refusal) => {
                expect_that!(refusal.kind, eq(ErrorKind::BudgetUnreachable));
                stopped = true;
                break;
            }
        }
    }
    expect_that!(stopped, eq(true));
    purse.release(held);
    expect_that!(large.await?, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn idle_tokens_go_back_and_operations_share_one_write() -> Result<()> {
    let fake = Arc::new(Fake::default());
    pay(&fake, "first", 100).await?;
    let (purse, _task) = start(&fake, 1);
    let held = purse.reserve(&budget(), tokens(80), PATIENCE).await?;
    purse.settle(held, tokens(10));
    let before = fake.puts();
    let sums = vec![(grant(1), tokens(5))];
    let writer = entry(1);
    let two = tokio::join!(
        purse.settle_segment(&writer, 1, sums.clone()),
        purse.settle_segment(&writer, 2, sums),
    );
    expect_that!((two.0, two.1), (ok(anything()), ok(anything())));
    expect_that!(fake.puts(), eq(before + 1));
    let (other, _task) = start(&fake, 2);
    let reserved = other.reserve(&budget(), tokens(80), PATIENCE).await;
    expect_that!(reserved, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_busy_entry_gives_up_what_others_lack() -> Result<()> {
    let fake = Arc::new(Fake::default());
    pay(&fake, "first", 10_000).await?;
    let (busy, _task) = start(&fake, 1);
    let all = busy.reserve(&budget(), tokens(900), PATIENCE).await?;
    busy.release(all);
    tokio::spawn(async move {
        while let Ok(reservation) = busy.reserve(&budget(), tokens(1), PATIENCE).await {
            busy.settle(reservation, tokens(1));
            tokio::time::sleep(Millis::new(200).duration()).await;
        }
    });
    let (other, _task) = start(&fake, 2);
    let reserved = other.reserve(&budget(), tokens(9_500), PATIENCE).await;
    expect_that!(reserved, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_after_an_outage_does_not_wait_for_a_late_retry() -> Result<()> {
    // More than the bound of a retry that a request waits for, less than that of any other.
    let wait = Millis::new(300);
    for round in 0..20 {
        let fake = Arc::new(Fake::default());
        pay(&fake, "first", 100).await?;
        let (purse, _task) = start(&fake, 1);
        fake.set_out(true);
        let refused = purse.reserve(&budget(), tokens(60), PATIENCE).await;
        let kind = refused.err().map(|refusal| refusal.kind);
        expect_that!(kind, some(eq(ErrorKind::BudgetUnreachable)), "{round}");
        tokio::time::sleep(PATIENCE.duration()).await;
        fake.set_out(false);
        let reserved = purse.reserve(&budget(), tokens(60), wait).await;
        expect_that!(reserved, ok(anything()), "{round}");
    }
    Ok(())
}
