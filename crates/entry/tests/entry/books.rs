//! A request is billed once, and every reservation ends once.

use std::sync::Arc;

use cyc_budget::{Keeper, Payment, Purse, Reservation, SHARDS, keeper, top_up};
use cyc_entry::{
    books::{Books, Pending},
    fleet::{Fleet, Place, Sidecar},
};
use cyc_ledger::{Billed, Flusher, flush};
use cyc_proto::Receipt;
use cyc_standin::store::Store;
use cyc_types::{BudgetId, Clock, Incarnation, Millis, ProcessKey, RequestId, Tokens};
use googletest::prelude::*;

const RESERVED: Tokens = Tokens::new(100);
const USED: Tokens = Tokens::new(30);

struct Bed {
    books: Arc<Books>,
    purse: Purse,
    sidecar: Arc<Sidecar>,
    me: Incarnation,
    budget: BudgetId,
    _flusher: Flusher,
}

async fn bed() -> Result<Bed> {
    let store = Arc::new(Store::new());
    let me = Incarnation::new("vm-entry".parse()?, 1);
    let budget: BudgetId = "league".parse()?;
    let payment = Payment {
        budget: budget.clone(),
        account: "league".parse()?,
        id: "payment-1".into(),
        tokens: Tokens::new(10_000),
        at: Millis::new(1),
    };
    top_up(store.as_ref(), SHARDS, payment).await.or_fail()?;
    let (clock, options) = (Clock::System, keeper::Options::default());
    let (purse, keeper) = Keeper::new(store.clone(), me.clone(), clock.clone(), options);
    tokio::spawn(keeper.run());
    let options = flush::Options::default();
    // The flusher does not run: what is billed stays reserved until it is settled.
    let (ledger, flusher, _released) =
        Flusher::new(store, purse.clone(), me.clone(), clock, options);
    let fleet = Fleet::new(
        "a-key-of-processes".parse::<ProcessKey>().unwrap(),
        cyc_route::Options::default(),
        cyc_route::health::Options::default(),
    );
    let target = "desk-0".parse()?;
    fleet.set(vec![Place {
        target,
        services: vec!["hire-desk".parse()?],
        zone: "almaty-a".parse()?,
        addr: ([127, 0, 0, 1], 9).into(),
    }]);
    Ok(Bed {
        books: Arc::new(Books::new(purse.clone(), ledger)),
        sidecar: fleet.get(&"desk-0".parse()?).or_fail()?,
        purse,
        me,
        budget,
        _flusher: flusher,
    })
}

impl Bed {
    async fn open(&self, request: RequestId, attempt: u64) -> Result<Receipt> {
        let wait = Millis::new(30_000);
        let reservation: Reservation = self
            .purse
            .reserve(&self.budget, RESERVED, wait)
            .await
            .or_fail()?;
        let receipt = Receipt {
            request,
            account: "league".parse()?,
            grant: reservation.grant.clone(),
            entry: self.me.clone(),
            attempt,
            service: "hire-desk".parse()?,
            tokens: USED,
            at: Millis::new(1),
        };
        let pending = Pending {
            attempt,
            target: self.sidecar.target.clone(),
            sidecar: Incarnation::new("vm-desk".parse()?, 1),
            reservation,
            in_doubt: false,
        };
        self.books.open(request, pending);
        Ok(receipt)
    }

    fn free(&self) -> Tokens {
        self.purse
            .with_wallet(|wallet| wallet.holding(&self.budget).free)
    }

    fn reserved(&self) -> Tokens {
        self.purse
            .with_wallet(|wallet| wallet.holding(&self.budget).reserved)
    }
}

fn id(n: u64) -> Result<RequestId> {
    Ok(format!("{n:032x}").parse()?)
}

#[gtest]
#[tokio::test]
async fn a_receipt_offered_many_times_at_once_is_billed_once() -> Result<()> {
    let bed = bed().await?;
    for round in 0..50 {
        let receipt = bed.open(id(round)?, round).await?;
        let offers: Vec<_> = (0..4)
            .map(|_| {
                let (books, sidecar) = (bed.books.clone(), bed.sidecar.clone());
                let receipt = receipt.clone();
                std::thread::spawn(move || books.post(&sidecar, &receipt))
            })
            .collect();
        let mut taken = 0;
        for offer in offers {
            let billed = offer.join().ok().or_fail()?;
            taken += u32::from(billed == Billed::Taken);
        }
        expect_that!(taken, eq(1), "round {round}");
        expect_that!(bed.reserved(), eq(Tokens::ZERO), "round {round}");
    }
    expect_that!(bed.books.open_attempts(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_second_run_of_a_request_is_not_billed_and_frees_its_reservation() -> Result<()> {
    let bed = bed().await?;
    let first = bed.open(id(1)?, 1).await?;
    let second = bed.open(id(1)?, 2).await?;
    expect_that!(bed.reserved(), eq(RESERVED + RESERVED));
    expect_that!(bed.books.post(&bed.sidecar, &second), eq(Billed::Taken));
    expect_that!(bed.reserved(), eq(RESERVED));
    // Nothing is awaited from here on, so that no draw comes between.
    let free = bed.free();
    expect_that!(bed.books.post(&bed.sidecar, &first), eq(Billed::Duplicate));
    expect_that!(bed.free(), eq(free + RESERVED));
    expect_that!(bed.reserved(), eq(Tokens::ZERO));
    expect_that!(bed.books.open_attempts(), eq(0));
    Ok(())
}
