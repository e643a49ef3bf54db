//! Loans between entries.

use cyc_gateway::share::{LoanRequest, Shares, Short, Wallet};
use cyc_types::{ClientAccountId, Millis, Tokens, Version};
use googletest::prelude::*;

const NOW: Millis = Millis::new(1_000);

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn tokens(count: u64) -> Tokens {
    Tokens::new(count)
}

/// Two entries: the first has drawn `first` tokens, the second `second`, of 100,000.
fn pair(first: u64, second: u64) -> (Wallet, Wallet) {
    let mut record = (None, Shares::default());
    let mut wallets = Vec::new();
    for (index, drawn) in [first, second, 0].into_iter().enumerate() {
        let mut wallet = Wallet::new(format!("vm-{index}").parse().unwrap(), 1);
        wallet.set_peers(format!("127.0.0.1:{}", 9_000 + index).parse().unwrap());
        wallet.set_prepaid([(account(), tokens(100_000))]);
        wallet.want(&account(), tokens(drawn));
        wallet.observe(record.0, record.1.clone(), NOW);
        let plan = wallet.plan(NOW).unwrap();
        let version = Version::new(index as u64 + 1);
        record = (Some(version), plan.shares);
        wallet.written(version, NOW);
        wallet.unwant(&account(), tokens(drawn));
        wallets.push(wallet);
    }
    wallets.truncate(2);
    for wallet in &mut wallets {
        wallet.observe(record.0, record.1.clone(), NOW);
    }
    let second = wallets.pop().unwrap();
    (wallets.pop().unwrap(), second)
}

fn ask(wallet: &mut Wallet, worst: u64) -> Option<LoanRequest> {
    wallet.want(&account(), tokens(worst));
    let mut requests = wallet.loan_requests(NOW);
    wallet.unwant(&account(), tokens(worst));
    requests.pop()
}

/// Pattern: the store is away, and callers of one account are spread unevenly over the entries.
#[gtest]
fn a_request_is_served_from_what_another_entry_holds() {
    let (mut lender, mut borrower) = pair(60_000, 1_000);
    expect_that!(
        borrower.lenders(&account(), NOW)[0],
        eq("127.0.0.1:9000".parse().unwrap())
    );
    let request = ask(&mut borrower, 9_000).unwrap();
    let before = lender.holding(&account()).0;
    let lent = lender.lend(&request, NOW);
    expect_that!(lent, ge(request.least));
    expect_that!(
        lender.holding(&account()).0,
        eq(before.saturating_sub(lent))
    );
    borrower.borrow(&account(), lent);
    expect_that!(
        borrower.reserve(&account(), tokens(9_000), NOW),
        ok(anything())
    );
}

#[gtest]
fn a_lender_keeps_half_or_what_its_own_requests_need() {
    let cases = [
        (60_000, 20_000, true),
        (20_000, 9_000, true),
        (20_000, 40_000, false),
    ];
    for (held, worst, is_lent) in cases {
        let (mut lender, mut borrower) = pair(held, 1_000);
        let request = ask(&mut borrower, worst).unwrap();
        let lent = lender.lend(&request, NOW);
        expect_that!(!lent.is_zero(), eq(is_lent), "{held} {worst}");
    }
}

#[gtest]
fn only_entries_get_loans() {
    let (mut lender, mut borrower) = pair(60_000, 1_000);
    let request = LoanRequest {
        key: "guess".into(),
        ..ask(&mut borrower, 9_000).unwrap()
    };
    expect_that!(lender.lend(&request, NOW), eq(Tokens::ZERO));
}

/// The record does not show yet that the borrower holds more, so that nobody may conclude that
/// the account is exhausted.
#[gtest]
fn tokens_on_loan_are_not_taken_for_used() {
    let (mut lender, mut borrower) = pair(60_000, 38_000);
    let request = ask(&mut borrower, 60_000).unwrap();
    let lent = lender.lend(&request, NOW);
    expect_that!(lent, gt(Tokens::ZERO));
    let short = lender.reserve(&account(), tokens(99_000), NOW);
    expect_that!(short, err(not(eq(&Short::Exhausted))));
}

#[gtest]
fn nothing_is_asked_for_while_nothing_waits() {
    let (_, borrower) = pair(60_000, 1_000);
    expect_that!(borrower.loan_requests(NOW), is_empty());
}
