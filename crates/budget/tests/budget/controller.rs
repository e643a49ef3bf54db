//! Guards against tokens moved twice or lost when the platform loses or delays a write or its
//! answer, and against requests that are refused, starved or delayed although tokens are left.

use std::sync::Arc;

use cyc_budget::{
    BudgetController, CloseReport, Payment, Shard, WalletHandle, controller::Options,
    shard::shard_key, shard_of, top_up,
};
use cyc_types::{ErrorKind, Millis};
use googletest::prelude::*;
use tokio::task::JoinHandle;

use super::{
    fake::{FakePlatform, Fault, runtime_clock},
    *,
};

const SHARDS: u32 = 4;
const TIMEOUT: Millis = Millis::new(60_000);

async fn pay(fake: &FakePlatform, id: &str, n: u64) -> Result<()> {
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

fn start(fake: &Arc<FakePlatform>, number: u64) -> (WalletHandle, JoinHandle<()>) {
    let options = Options {
        shards: SHARDS,
        ..Options::default()
    };
    let (wallet, controller) =
        BudgetController::new(fake.clone(), entry(number), runtime_clock(), options);
    (wallet, tokio::spawn(controller.run()))
}

fn shard(fake: &FakePlatform) -> Shard {
    let key = shard_key(shard_of(&budget(), SHARDS));
    fake.read(&key)
        .map_or(Shard::default(), |body| Shard::decode(&body).unwrap())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_operation_takes_effect_once_under_every_write_fault() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    let fault_sequences: &[&[Fault]] = &[
        &[None],
        &[AnswerLost, AnswerLost, AnswerLost],
        &[Lost, AnswerLost],
        &[Delayed, Lost, AnswerLost],
        &[Delayed, Delayed],
    ];
    for faults in fault_sequences {
        let fake = Arc::new(FakePlatform::default());
        pay(&fake, "first", 100).await?;
        fake.set_write_faults(faults);
        let (wallet, task) = start(&fake, 1);
        let reservation = wallet.reserve(&budget(), tokens(60), TIMEOUT).await?;
        wallet.settle(reservation, tokens(25));
        let segment = vec![(grant(1), tokens(25))];
        fake.set_write_faults(faults);
        fake.deliver_delayed();
        for _ in 0..2 {
            let settled = wallet.settle_segment(&entry(1), 1, segment.clone()).await;
            expect_that!(settled, ok(anything()), "{faults:?}");
        }
        fake.set_write_faults(faults);
        expect_that!(wallet.close(TIMEOUT).await, eq(&CloseReport::default()));
        fake.deliver_delayed();
        task.await?;
        let shard = shard(&fake);
        let record = &shard.budgets[&budget()];
        expect_that!(record.settled, eq(tokens(25)), "{faults:?}");
        expect_that!(record.free(), eq(tokens(75)), "{faults:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn refusals_distinguish_exhausted_and_unreachable_budgets() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let kind_of = |result: std::result::Result<_, cyc_types::Refusal>| result.map_err(|e| e.kind);
    let (wallet, _task) = start(&fake, 1);
    let absent = wallet.reserve(&budget(), tokens(1), TIMEOUT).await;
    expect_that!(kind_of(absent), err(eq(&ErrorKind::BudgetExhausted)));

    pay(&fake, "first", 100).await?;
    let held = wallet.reserve(&budget(), tokens(60), TIMEOUT).await?;
    let too_large = wallet.reserve(&budget(), tokens(101), TIMEOUT).await;
    expect_that!(kind_of(too_large), err(eq(&ErrorKind::BudgetExhausted)));

    // Tokens held by another entry may be returned, so the budget is not exhausted.
    let (other, _task) = start(&fake, 2);
    let held_by_other = other.reserve(&budget(), tokens(80), Millis::SECOND).await;
    expect_that!(
        kind_of(held_by_other),
        err(eq(&ErrorKind::BudgetUnreachable))
    );

    fake.set_outage(true);
    let during_outage = wallet.reserve(&budget(), tokens(90), Millis::SECOND).await;
    expect_that!(
        kind_of(during_outage),
        err(eq(&ErrorKind::BudgetUnreachable))
    );
    fake.set_outage(false);

    wallet.settle(held, tokens(60));
    wallet.with_wallet(|wallet| wallet.fence());
    let fenced = wallet.reserve(&budget(), tokens(1), TIMEOUT).await;
    expect_that!(kind_of(fenced), err(eq(&ErrorKind::Fenced)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_reservations_in_flight_and_for_top_ups() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    pay(&fake, "first", 100).await?;
    let (wallet, _task) = start(&fake, 1);
    let held = wallet.reserve(&budget(), tokens(100), TIMEOUT).await?;
    let waiter = wallet.clone();
    let waiting = tokio::spawn(async move { waiter.reserve(&budget(), tokens(80), TIMEOUT).await });
    tokio::task::yield_now().await;
    wallet.settle(held, tokens(10));
    let reservation = waiting.await??;
    expect_that!(reservation.tokens, eq(tokens(80)));

    pay(&fake, "second", 50).await?;
    let after = wallet.reserve(&budget(), tokens(60), TIMEOUT).await;
    expect_that!(after, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn small_requests_do_not_starve_a_large_one() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    pay(&fake, "first", 100).await?;
    let (wallet, _task) = start(&fake, 1);
    let mut held = wallet.reserve(&budget(), tokens(50), TIMEOUT).await?;
    let waiter = wallet.clone();
    let large = tokio::spawn(async move { waiter.reserve(&budget(), tokens(100), TIMEOUT).await });
    tokio::task::yield_now().await;
    // Overlapping small requests never leave all tokens free at once, so they must be held back.
    let mut stopped = false;
    for _ in 0..100 {
        match wallet.reserve(&budget(), tokens(50), Millis::SECOND).await {
            Ok(next) => {
                wallet.release(held);
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
    wallet.release(held);
    expect_that!(large.await?, ok(anything()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn idle_tokens_are_returned_and_pending_operations_share_one_write() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    pay(&fake, "first", 100).await?;
    let (wallet, _task) = start(&fake, 1);
    let held = wallet.reserve(&budget(), tokens(80), TIMEOUT).await?;
    wallet.settle(held, tokens(10));
    let before = fake.puts();
    let sums = vec![(grant(1), tokens(5))];
    let writer = entry(1);
    let two = tokio::join!(
        wallet.settle_segment(&writer, 1, sums.clone()),
        wallet.settle_segment(&writer, 2, sums),
    );
    expect_that!((two.0, two.1), (ok(anything()), ok(anything())));
    expect_that!(fake.puts(), eq(before + 1));
    let (other, _task) = start(&fake, 2);
    let reserved = other.reserve(&budget(), tokens(80), TIMEOUT).await;
    expect_that!(reserved, ok(anything()));
    Ok(())
}

/// An entry in constant use is never idle, so it has to return the tokens beyond its rate of use.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_busy_entry_returns_tokens_that_others_lack() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    pay(&fake, "first", 10_000).await?;
    let (busy, _task) = start(&fake, 1);
    let all = busy.reserve(&budget(), tokens(900), TIMEOUT).await?;
    busy.release(all);
    tokio::spawn(async move {
        while let Ok(reservation) = busy.reserve(&budget(), tokens(1), TIMEOUT).await {
            busy.settle(reservation, tokens(1));
            tokio::time::sleep(Millis::new(200).duration()).await;
        }
    });
    let (other, _task) = start(&fake, 2);
    let reserved = other.reserve(&budget(), tokens(9_500), TIMEOUT).await;
    expect_that!(reserved, ok(anything()));
    Ok(())
}

/// After a long outage the backoff exceeds the time that a request waits, so the request is refused
/// unless its arrival expedites the retry.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_after_an_outage_does_not_wait_for_a_long_backoff() -> Result<()> {
    // Longer than the bound of an expedited retry, shorter than the bound of other retries.
    let wait = Millis::new(300);
    for round in 0..20 {
        let fake = Arc::new(FakePlatform::default());
        pay(&fake, "first", 100).await?;
        let (wallet, _task) = start(&fake, 1);
        fake.set_outage(true);
        let refused = wallet.reserve(&budget(), tokens(60), TIMEOUT).await;
        let kind = refused.err().map(|refusal| refusal.kind);
        expect_that!(kind, some(eq(ErrorKind::BudgetUnreachable)), "{round}");
        tokio::time::sleep(TIMEOUT.duration()).await;
        fake.set_outage(false);
        let reserved = wallet.reserve(&budget(), tokens(60), wait).await;
        expect_that!(reserved, ok(anything()), "{round}");
    }
    Ok(())
}
