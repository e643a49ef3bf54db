//! Tests of the ledger: segments, flush, merge, reclaim and report.

#[path = "ledger/collect.rs"]
mod collect;
#[path = "../../budget/tests/budget/fake.rs"]
mod fake;
#[path = "ledger/flush.rs"]
mod flush;
#[path = "ledger/level.rs"]
mod level;
#[path = "ledger/merge.rs"]
mod merge;
#[path = "ledger/proxy.rs"]
mod proxy;
#[path = "ledger/reclaim.rs"]
mod reclaim;

use std::sync::Arc;

use cyc_budget::{
    BudgetController, Payment, Record, Shard, WalletHandle, controller, shard::shard_key, shard_of,
    top_up,
};
use cyc_proto::{GrantId, Receipt};
use cyc_store::Platform;
use cyc_types::{BudgetId, Clock, Incarnation, Millis, RequestId, Tokens};
use fake::{FakePlatform, runtime_clock};

const SHARDS: u32 = 4;
const TIMEOUT: Millis = Millis::new(60_000);

fn budget() -> BudgetId {
    "league".parse().unwrap()
}

fn entry(number: u64) -> Incarnation {
    Incarnation::new("entry-a".parse().unwrap(), number)
}

fn grant(number: u64) -> GrantId {
    GrantId {
        budget: budget(),
        holder: entry(number),
    }
}

/// A receipt of a run that entry `writer` started and the grant of entry `holder` pays for.
fn receipt(request: u128, writer: u64, holder: u64, tokens: u64) -> Receipt {
    Receipt {
        request: RequestId::new(request),
        account: "dala".parse().unwrap(),
        grant: grant(holder),
        entry: entry(writer),
        attempt: 0,
        service: "drafts".parse().unwrap(),
        tokens: Tokens::new(tokens),
        at: Millis::ZERO,
    }
}

async fn pay(fake: &FakePlatform, id: &str, tokens: u64) {
    let payment = Payment {
        budget: budget(),
        account: "dala".parse().unwrap(),
        id: id.into(),
        tokens: Tokens::new(tokens),
        at: Millis::ZERO,
    };
    top_up(fake, SHARDS, payment).await.unwrap();
}

fn wallet(platform: Arc<dyn Platform>, number: u64, clock: &Clock) -> WalletHandle {
    let options = controller::Options {
        shards: SHARDS,
        ..controller::Options::default()
    };
    let (wallet, controller) =
        BudgetController::new(platform, entry(number), clock.clone(), options);
    tokio::spawn(controller.run());
    wallet
}

fn record(fake: &FakePlatform) -> Record {
    let body = fake.read(&shard_key(shard_of(&budget(), SHARDS))).unwrap();
    Shard::decode(&body).unwrap().budgets[&budget()].clone()
}
