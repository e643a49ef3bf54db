//! Each request is billed once, and each reservation is settled or released once.

use std::sync::Arc;

use cyc_budget::{
    BudgetController, Payment, Reservation, SHARDS, WalletHandle, controller, top_up,
};
use cyc_entry::{
    fleet::{Fleet, Sidecar, TargetConfig},
    pending::{PendingAttempt, PendingAttempts},
};
use cyc_ledger::{Billed, Flusher, flush};
use cyc_proto::Receipt;
use cyc_standin::store::Store;
use cyc_types::{BudgetId, Clock, Incarnation, Millis, ProcessKey, RequestId, Tokens};
use googletest::prelude::*;

const RESERVED: Tokens = Tokens::new(100);
const USED: Tokens = Tokens::new(30);

struct Fixture {
    pending: Arc<PendingAttempts>,
    wallet: WalletHandle,
    sidecar: Arc<Sidecar>,
    incarnation: Incarnation,
    budget: BudgetId,
    _flusher: Flusher,
}

async fn fixture() -> Result<Fixture> {
    let store = Arc::new(Store::new());
    let incarnation = Incarnation::new("vm-entry".parse()?, 1);
    let budget: BudgetId = "league".parse()?;
    let payment = Payment {
        budget: budget.clone(),
        account: "league".parse()?,
        id: "payment-1".into(),
        tokens: Tokens::new(10_000),
        at: Millis::new(1),
    };
    top_up(store.as_ref(), SHARDS, payment).await.or_fail()?;
    let (clock, options) = (Clock::System, controller::Options::default());
    let (wallet, controller) =
        BudgetController::new(store.clone(), incarnation.clone(), clock.clone(), options);
    tokio::spawn(controller.run());
    let options = flush::Options::default();
    // The flusher does not run, so that billed receipts stay unsettled.
    let (ledger, flusher, _released) =
        Flusher::new(store, wallet.clone(), incarnation.clone(), clock, options);
    let fleet = Fleet::new(
        "a-key-of-processes".parse::<ProcessKey>().unwrap(),
        cyc_route::Options::default(),
        cyc_route::health::Options::default(),
    );
    let target = "desk-0".parse()?;
    fleet.apply_config(vec![TargetConfig {
        target,
        services: vec!["hire-desk".parse()?],
        zone: "almaty-a".parse()?,
        addr: ([127, 0, 0, 1], 9).into(),
    }]);
    Ok(Fixture {
        pending: Arc::new(PendingAttempts::new(wallet.clone(), ledger)),
        sidecar: fleet.get(&"desk-0".parse()?).or_fail()?,
        wallet,
        incarnation,
        budget,
        _flusher: flusher,
    })
}

impl Fixture {
    async fn add_attempt(&self, request: RequestId, attempt: u64) -> Result<Receipt> {
        let wait = Millis::new(30_000);
        let reservation: Reservation = self
            .wallet
            .reserve(&self.budget, RESERVED, wait)
            .await
            .or_fail()?;
        let receipt = Receipt {
            request,
            account: "league".parse()?,
            grant: reservation.grant.clone(),
            entry: self.incarnation.clone(),
            attempt,
            service: "hire-desk".parse()?,
            tokens: USED,
            at: Millis::new(1),
        };
        let pending = PendingAttempt {
            attempt,
            target: self.sidecar.target.clone(),
            sidecar: Incarnation::new("vm-desk".parse()?, 1),
            reservation,
            in_doubt: false,
        };
        self.pending.insert(request, pending);
        Ok(receipt)
    }

    fn free(&self) -> Tokens {
        self.wallet
            .with_wallet(|wallet| wallet.holding(&self.budget).free)
    }

    fn reserved(&self) -> Tokens {
        self.wallet
            .with_wallet(|wallet| wallet.holding(&self.budget).reserved)
    }
}

fn id(n: u64) -> Result<RequestId> {
    Ok(format!("{n:032x}").parse()?)
}

/// A receipt can arrive with an answer and with a heartbeat reply at the same time. Only one of the
/// deliveries may settle the reservation.
#[gtest]
#[tokio::test]
async fn a_receipt_delivered_concurrently_is_billed_once() -> Result<()> {
    let fixture = fixture().await?;
    for round in 0..50 {
        let receipt = fixture.add_attempt(id(round)?, round).await?;
        let deliveries: Vec<_> = (0..4)
            .map(|_| {
                let (pending, sidecar) = (fixture.pending.clone(), fixture.sidecar.clone());
                let receipt = receipt.clone();
                std::thread::spawn(move || pending.record_receipt(&sidecar, &receipt))
            })
            .collect();
        let mut billed_count = 0;
        for delivery in deliveries {
            let billed = delivery.join().ok().or_fail()?;
            billed_count += u32::from(billed == Billed::Accepted);
        }
        expect_that!(billed_count, eq(1), "round {round}");
        expect_that!(fixture.reserved(), eq(Tokens::ZERO), "round {round}");
    }
    expect_that!(fixture.pending.attempt_count(), eq(0));
    Ok(())
}

/// After a lost reply, a second target may run the request as well. Its receipt must not be billed
/// too, nor may the reservation of the unbilled attempt stay reserved.
#[gtest]
#[tokio::test]
async fn a_second_run_of_a_request_is_not_billed_and_frees_its_reservation() -> Result<()> {
    let fixture = fixture().await?;
    let first = fixture.add_attempt(id(1)?, 1).await?;
    let second = fixture.add_attempt(id(1)?, 2).await?;
    expect_that!(fixture.reserved(), eq(RESERVED + RESERVED));
    expect_that!(
        fixture.pending.record_receipt(&fixture.sidecar, &second),
        eq(Billed::Accepted)
    );
    expect_that!(fixture.reserved(), eq(RESERVED));
    // No await from here on, so that the controller cannot draw tokens in between.
    let free = fixture.free();
    expect_that!(
        fixture.pending.record_receipt(&fixture.sidecar, &first),
        eq(Billed::Duplicate)
    );
    expect_that!(fixture.free(), eq(free + RESERVED));
    expect_that!(fixture.reserved(), eq(Tokens::ZERO));
    expect_that!(fixture.pending.attempt_count(), eq(0));
    Ok(())
}
