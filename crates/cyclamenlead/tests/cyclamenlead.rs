//! Tests that a program can do its work with the public library as its only dependency.

use std::sync::Arc;

use cyc_standin::{platform, serve::Server, store::Store};
use cyclamenlead::{
    budget::{BudgetController, Payment, SHARDS, controller, top_up},
    burn,
    config::{Account, ApiKey, Builder, store},
    ledger::{self, Flusher, flush, report},
    member::{Registration, Role, register},
    platform::HttpPlatform,
    types::{Clock, Millis, Tokens},
};
use googletest::prelude::*;

const TIMEOUT: Millis = Millis::new(30_000);

#[gtest]
#[tokio::test]
async fn a_program_registers_spends_and_reports() -> Result<()> {
    let server = Server::start(platform::router(Store::default())).await?;
    let platform = Arc::new(HttpPlatform::new(server.addr()));
    let account = Account::new("league".parse()?)
        .with_budget("league".parse()?)
        .with_key(ApiKey::new("key", "league".parse()?));
    let doc = Builder::new().with_account(account).build().or_fail()?;
    store::submit(platform.as_ref(), &doc, None).await?;
    let payment = Payment {
        budget: "league".parse()?,
        account: "league".parse()?,
        id: "inv-1".into(),
        tokens: Tokens::new(1_000),
        at: Clock::System.wall_time(),
    };
    top_up(platform.as_ref(), SHARDS, payment).await.or_fail()?;

    let registration = Registration {
        role: Role::Entry,
        vm: "vm-a".parse()?,
        zone: "almaty-a".parse()?,
        addr: server.addr(),
        target: None,
    };
    let me = register(platform.as_ref(), &registration).await?;
    let options = controller::Options::default();
    let (wallet, controller) =
        BudgetController::new(platform.clone(), me.clone(), Clock::System, options);
    tokio::spawn(controller.run());
    let options = flush::Options::default();
    let (ledger, flusher, _released) =
        Flusher::new(platform.clone(), wallet.clone(), me, Clock::System, options);
    tokio::spawn(flusher.run());
    let budget = "league".parse()?;
    let reservation = wallet.reserve(&budget, Tokens::new(50), TIMEOUT).await?;
    wallet.release(reservation);
    ledger.close(TIMEOUT).await;
    wallet.close(TIMEOUT).await;

    let spend = report(&collect_objects(&platform).await?);
    let balance = spend.accounts[&"league".parse()?].balance;
    expect_that!(balance.is_balanced(), eq(true));
    expect_that!(balance.paid, eq(Tokens::new(1_000)));
    expect_that!(balance.free, eq(Tokens::new(1_000)));
    let counts = burn::report::load_counts(platform.as_ref()).await?;
    expect_that!(counts.series().count(), eq(0));
    Ok(())
}

async fn collect_objects(platform: &Arc<HttpPlatform>) -> Result<ledger::report::Objects> {
    Ok(ledger::report::collect(platform.as_ref()).await?)
}
