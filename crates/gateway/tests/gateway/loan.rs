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
fn a_lender_keeps_half_unless_only_more_helps() {
    // Held, least, wanted by requests of the lender, and what is lent.
    let cases = [
        (60_000, 20_000, 0, 18_000..=30_000),
        (20_000, 15_000, 0, 13_000..=15_000),
        (20_000, 15_000, 10_000, 10_000..=11_000),
        (20_000, 15_000, 20_000, 0..=0),
        (1_000, 30_000, 0, 0..=0),
    ];
    for (held, worst, wanted, expected) in cases {
        let (mut lender, mut borrower) = pair(held, 500);
        lender.want(&account(), tokens(wanted));
        let request = ask(&mut borrower, worst).unwrap();
        let lent = lender.lend(&request, NOW).get();
        expect_true!(expected.contains(&lent), "{held} {worst} {wanted}: {lent}");
    }
}

/// Pattern: near the end of a budget each of several entries holds less than one request needs.
#[gtest]
fn remainders_of_several_entries_serve_one_request_together() {
    let (mut first, mut borrower) = pair(6_000, 500);
    let (mut second, _) = pair(6_000, 500);
    borrower.want(&account(), tokens(10_000));
    let mut request = borrower.loan_requests(NOW).pop().unwrap();
    for lender in [&mut first, &mut second] {
        let of_lender = LoanRequest {
            key: lender_key(lender),
            ..request.clone()
        };
        let lent = lender.lend(&of_lender, NOW);
        expect_that!(lent, gt(Tokens::ZERO));
        borrower.borrow(&account(), lent);
        match borrower.rest_of(&request, NOW) {
            Some(rest) => request = rest,
            None => break,
        }
    }
    expect_that!(
        borrower.reserve(&account(), tokens(10_000), NOW),
        ok(anything())
    );
}

/// Pattern: the last tokens of an account lie at two entries, both of which have requests that
/// wait for more than they hold.
#[gtest]
fn tokens_go_to_the_entry_that_lacks_fewer() {
    let (mut first, mut second) = pair(3_000, 3_000);
    let (of_first, of_second) = (
        ask(&mut first, 9_000).unwrap(),
        ask(&mut second, 5_000).unwrap(),
    );
    first.want(&account(), tokens(9_000));
    second.want(&account(), tokens(5_000));
    expect_that!(second.lend(&of_first, NOW), eq(Tokens::ZERO));
    let lent = first.lend(&of_second, NOW);
    expect_that!(lent, eq(of_second.least));
    second.borrow(&account(), lent);
    expect_that!(
        second.reserve(&account(), tokens(5_000), NOW),
        ok(anything())
    );
}

/// Returns the key of the record that `lender` has read; each pair has its own.
fn lender_key(lender: &mut Wallet) -> smol_str::SmolStr {
    ask(lender, 1_000_000).unwrap().key
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
