//! Loans between entries.

use cyc_gateway::share::{GiveBack, LoanRequest, Need, Record, Role, Short, Wallet};
use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use googletest::prelude::*;

const NOW: Millis = Millis::new(1_000);

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn tokens(count: u64) -> Tokens {
    Tokens::new(count)
}

/// The home of the account, which has drawn `drawn` of 100,000 tokens.
fn home(drawn: u64) -> Wallet {
    let mut wallet = guest("vm-1", 0);
    wallet.observe(&account(), None, Record::default(), NOW);
    wallet.want(&account(), tokens(drawn));
    wallet.stand_in(&account(), NOW);
    let plan = wallet.plan(&account(), Role::Guest, NOW);
    expect_that!(plan.map(|plan| plan.drawn), some(eq(tokens(drawn))));
    wallet.written(&account(), Version::new(1), NOW);
    wallet.unwant(&account(), tokens(drawn));
    wallet
}

/// An entry that has borrowed `free` tokens.
fn guest(name: &str, free: u64) -> Wallet {
    let mut wallet = Wallet::new(vm(name), 1);
    wallet.set_prepaid([(account(), tokens(100_000))]);
    wallet.borrow(&account(), tokens(free));
    wallet
}

fn need(wallet: &mut Wallet, worst: u64) -> Need {
    wallet.want(&account(), tokens(worst));
    let need = wallet.need(&account(), NOW).unwrap();
    wallet.unwant(&account(), tokens(worst));
    need
}

fn request(from: &str, need: Need) -> LoanRequest {
    LoanRequest {
        key: "key".into(),
        from: vm(from),
        account: need.account,
        least: need.least,
        want: need.want,
        should_draw: true,
    }
}

/// Pattern: callers of one account are spread over many entries, one of which draws.
#[gtest]
fn a_request_is_served_from_what_another_entry_holds() {
    let mut lender = home(60_000);
    let mut borrower = guest("vm-2", 1_000);
    let request = request("vm-2", need(&mut borrower, 9_000));
    let before = lender.holding(&account()).0;
    let lent = lender.lend(&request, NOW);
    expect_that!(lent, ge(request.least));
    let after = lender.holding(&account()).0;
    expect_that!(after, eq(before.saturating_sub(lent)));
    borrower.borrow(&account(), lent);
    let reserved = borrower.reserve(&account(), tokens(9_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// Pattern: an account whose use comes from loans alone. Its home draws ahead for them.
#[gtest]
fn loans_count_as_use_of_the_home() {
    let mut lender = home(20_000);
    let request = request("vm-2", need(&mut guest("vm-2", 0), 4_000));
    while !lender.lend(&request, NOW).is_zero() {}
    // The borrower has used most of it by then.
    let later = NOW + Millis::new(4_000);
    let plan = lender.plan(&account(), Role::Home, later);
    // Up to 15 percent of the 80,000 that are left; without use it would be a first draw of 666.
    expect_that!(plan.map(|plan| plan.drawn), some(ge(tokens(5_000))));
}

#[gtest]
fn a_lender_keeps_half_unless_only_more_helps() {
    // Held, least, wanted by requests of the lender, and what is lent.
    let cases = [
        (60_000, 20_000, 0, 20_000..=30_000),
        (20_000, 15_000, 0, 15_000..=15_000),
        (20_000, 15_000, 10_000, 10_000..=10_000),
        (20_000, 15_000, 20_000, 0..=0),
        (1_000, 30_000, 0, 0..=0),
    ];
    for (held, worst, wanted, expected) in cases {
        let mut lender = home(held);
        lender.want(&account(), tokens(wanted));
        let request = request("vm-2", need(&mut guest("vm-2", 0), worst));
        let lent = lender.lend(&request, NOW).get();
        expect_true!(expected.contains(&lent), "{held} {worst} {wanted}: {lent}");
    }
}

/// Pattern: near the end of a budget each of several entries holds less than one request needs.
#[gtest]
fn remainders_of_several_entries_serve_one_request_together() {
    let mut first = home(6_000);
    let mut second = guest("vm-2", 6_000);
    let mut borrower = guest("vm-3", 500);
    borrower.want(&account(), tokens(10_000));
    for lender in [&mut first, &mut second] {
        let Some(need) = borrower.need(&account(), NOW) else {
            break;
        };
        let lent = lender.lend(&request("vm-3", need), NOW);
        expect_that!(lent, gt(Tokens::ZERO));
        borrower.borrow(&account(), lent);
    }
    let reserved = borrower.reserve(&account(), tokens(10_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// Pattern: the last tokens of an account lie at two entries, both of which have requests that
/// wait for more than they hold.
#[gtest]
fn tokens_go_to_the_entry_that_lacks_fewer() {
    let mut first = guest("vm-1", 3_000);
    let mut second = guest("vm-2", 3_000);
    let of_first = request("vm-1", need(&mut first, 9_000));
    let of_second = request("vm-2", need(&mut second, 5_000));
    first.want(&account(), tokens(9_000));
    second.want(&account(), tokens(5_000));
    expect_that!(second.lend(&of_first, NOW), eq(Tokens::ZERO));
    let lent = first.lend(&of_second, NOW);
    expect_that!(lent, eq(of_second.least));
    second.borrow(&account(), lent);
    let reserved = second.reserve(&account(), tokens(5_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// Pattern: the home lacks tokens that it has lent. It knows whom to ask.
#[gtest]
fn borrowers_can_be_asked_in_turn() {
    let mut lender = home(60_000);
    for from in ["vm-2", "vm-3"] {
        let request = request(from, need(&mut guest(from, 0), 9_000));
        lender.lend(&request, NOW);
    }
    let known = lender.lenders(&account(), NOW);
    expect_that!(
        known,
        unordered_elements_are![eq(&vm("vm-2")), eq(&vm("vm-3"))]
    );
    let given = GiveBack {
        key: "key".into(),
        from: vm("vm-2"),
        account: account(),
        tokens: tokens(9_000),
    };
    let before = lender.holding(&account()).0;
    lender.take_back(&given);
    expect_that!(lender.holding(&account()).0, eq(before + tokens(9_000)));
    expect_that!(
        lender.lenders(&account(), NOW),
        elements_are![eq(&vm("vm-3"))]
    );
}

/// The record does not show that borrowers hold more, so that nobody may conclude that the
/// account is exhausted.
#[gtest]
fn tokens_on_loan_are_not_taken_for_used() {
    let mut lender = home(98_000);
    let request = request("vm-2", need(&mut guest("vm-2", 0), 40_000));
    expect_that!(lender.lend(&request, NOW), gt(Tokens::ZERO));
    let short = lender.reserve(&account(), tokens(99_000), NOW);
    expect_that!(short, err(eq(&Short::Elsewhere)));
    let short = lender.reserve(&account(), tokens(100_001), NOW);
    expect_that!(short, err(eq(&Short::Exhausted)));
}

/// Pattern: an account is used up. Entries that do not read its record believe its home for a
/// while, and ask again then.
#[gtest]
fn a_home_tells_that_an_account_is_exhausted() {
    let mut borrower = guest("vm-2", 1_000);
    let need = need(&mut borrower, 9_000);
    borrower.note_exhausted(&need, NOW);
    let short = |wallet: &mut Wallet, worst, now| wallet.reserve(&account(), tokens(worst), now);
    expect_that!(short(&mut borrower, 9_000, NOW), err(eq(&Short::Exhausted)));
    expect_that!(short(&mut borrower, 8_999, NOW), err(eq(&Short::Unknown)));
    let later = NOW + Millis::new(1_001);
    expect_that!(short(&mut borrower, 9_000, later), err(eq(&Short::Unknown)));
    borrower.note_exhausted(&need, later);
    borrower.set_prepaid([(account(), tokens(200_000))]);
    expect_that!(short(&mut borrower, 9_000, later), err(eq(&Short::Unknown)));
}

/// Pattern: callers of an account move to other entries. What they leave does not stay behind.
#[gtest]
fn an_entry_gives_back_what_its_use_does_not_need() {
    let mut wallet = guest("vm-2", 20_000);
    let reservation = wallet.reserve(&account(), tokens(8_000), NOW).unwrap();
    wallet.settle(&reservation, tokens(8_000), NOW);
    let all = |wallet: &mut Wallet, now| {
        let given = wallet.give_back(|_| Role::Guest, now);
        given.into_iter().map(|(_, tokens)| tokens).sum::<Tokens>()
    };
    expect_that!(wallet.give_back(|_| Role::Home, NOW), is_empty());
    let first = all(&mut wallet, NOW);
    expect_that!(first, lt(tokens(12_000)));
    let rest = all(&mut wallet, NOW + Millis::new(30_000));
    expect_that!(first + rest, ge(tokens(11_900)));
}

#[gtest]
fn nothing_is_asked_for_while_nothing_waits() {
    expect_that!(guest("vm-2", 1_000).needs(NOW), is_empty());
}

/// Pattern: all entries lose power again and again. What the home has lent is lost like what it
/// holds, so both together are bounded.
#[gtest]
fn loans_are_part_of_what_a_home_may_hold() {
    let mut lender = guest("vm-1", 0);
    lender.observe(&account(), None, Record::default(), NOW);
    let mut out = Tokens::ZERO;
    let mut version = 0;
    // Many borrowers, each of which asks for much more than it needs at once.
    for index in 0..40 {
        let need = Need {
            account: account(),
            least: tokens(10),
            want: tokens(20_000),
        };
        out += lender.lend(&request(&format!("vm-{index}"), need), NOW);
        if lender.plan(&account(), Role::Home, NOW).is_some() {
            version += 1;
            lender.written(&account(), Version::new(version), NOW);
        }
    }
    let held = out + lender.holding(&account()).0;
    // 15 percent of 100,000, and a quarter of that by which a home draws late.
    expect_that!(held, gt(tokens(0)));
    expect_that!(held, le(tokens(19_000)));
}
