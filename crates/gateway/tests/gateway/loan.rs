//! Loans between entries.

use cyc_gateway::prepaid::{
    Allocations, LoanRefusal, LoanRequest, Record, Role, Shortage, TokenDemand, TokenReturn,
    UnansweredReturn,
};
use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use googletest::prelude::*;

const NOW: Millis = Millis::new(1_000);
const EXHAUSTED: LoanRefusal = LoanRefusal {
    shortage: Shortage::Exhausted,
    store_outage: None,
    left: None,
    exhausted_total: None,
};

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn tokens(count: u64) -> Tokens {
    Tokens::new(count)
}

/// The owner of the account, which has drawn `drawn` of 100,000 tokens.
fn owner(drawn: u64) -> Allocations {
    let mut allocations = borrower("vm-1", 0);
    allocations.observe(&account(), None, Record::default(), NOW);
    allocations.add_waiter(&account(), tokens(drawn));
    allocations.become_acting_owner(&account(), NOW);
    let write = allocations.plan(&account(), Role::Borrower, NOW);
    expect_that!(write.map(|write| write.drawn), some(eq(tokens(drawn))));
    allocations.written(&account(), Version::new(1), NOW);
    allocations.remove_waiter(&account(), tokens(drawn));
    allocations
}

/// A borrower that holds `free` tokens.
fn borrower(name: &str, free: u64) -> Allocations {
    let mut allocations = Allocations::new(vm(name), 1);
    allocations.set_prepaid([(account(), tokens(100_000))]);
    allocations.borrow(&account(), tokens(free));
    allocations
}

fn demand(allocations: &mut Allocations, max_cost: u64) -> TokenDemand {
    allocations.add_waiter(&account(), tokens(max_cost));
    let demand = allocations.demand(&account(), NOW).unwrap();
    allocations.remove_waiter(&account(), tokens(max_cost));
    demand
}

fn request(from: &str, demand: TokenDemand) -> LoanRequest {
    LoanRequest {
        key: "key".into(),
        from: vm(from),
        account: demand.account,
        least: demand.least,
        want: demand.want,
        should_draw: true,
        delivery: None,
        rank: 0,
        waited: Millis::ZERO,
        lack: None,
    }
}

/// With callers of one account on many entries, of which one draws, requests must be served from
/// the tokens of the owner.
#[gtest]
fn a_request_is_served_from_tokens_of_another_entry() {
    let mut lender = owner(60_000);
    let mut borrower = borrower("vm-2", 1_000);
    let request = request("vm-2", demand(&mut borrower, 9_000));
    let before = lender.holding(&account()).0;
    let lent = lender.lend(&request, NOW);
    expect_that!(lent, ge(request.least));
    let after = lender.holding(&account()).0;
    expect_that!(after, eq(before.saturating_sub(lent)));
    borrower.borrow(&account(), lent);
    let reserved = borrower.reserve(&account(), tokens(9_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// An owner whose account is used only through loans must still draw in advance.
#[gtest]
fn loans_count_as_use_of_the_owner() {
    let mut lender = owner(20_000);
    let request = request("vm-2", demand(&mut borrower("vm-2", 0), 4_000));
    while !lender.lend(&request, NOW).is_zero() {}
    // The borrower has used most of the loan by then.
    let later = NOW + Millis::new(4_000);
    let write = lender.plan(&account(), Role::Owner, later);
    // Up to 15 percent of the remaining 80,000 tokens; without measured use, a first draw would be
    // 666.
    expect_that!(write.map(|write| write.drawn), some(ge(tokens(5_000))));
}

#[gtest]
fn a_lender_keeps_half_unless_the_smallest_useful_loan_is_larger() {
    // Tokens held by the lender, maximum cost of the borrower's request, tokens that requests of
    // the lender wait for, and the lent tokens.
    let cases = [
        (60_000, 20_000, 0, 20_000..=30_000),
        (20_000, 15_000, 0, 15_000..=15_000),
        (20_000, 15_000, 10_000, 10_000..=10_000),
        (20_000, 15_000, 20_000, 0..=0),
        (1_000, 30_000, 0, 0..=0),
    ];
    for (held, max_cost, wanted, expected) in cases {
        let mut lender = owner(held);
        lender.add_waiter(&account(), tokens(wanted));
        let request = request("vm-2", demand(&mut borrower("vm-2", 0), max_cost));
        let lent = lender.lend(&request, NOW).get();
        expect_true!(
            expected.contains(&lent),
            "{held} {max_cost} {wanted}: {lent}"
        );
    }
}

/// Near the end of a budget, each of several entries may hold less than one request needs. The
/// request would be refused although they hold enough together.
#[gtest]
fn remainders_of_several_entries_serve_one_request_together() {
    let mut first = owner(6_000);
    let mut second = borrower("vm-2", 6_000);
    let mut borrower = borrower("vm-3", 500);
    borrower.add_waiter(&account(), tokens(10_000));
    for lender in [&mut first, &mut second] {
        let Some(demand) = borrower.demand(&account(), NOW) else {
            break;
        };
        let lent = lender.lend(&request("vm-3", demand), NOW);
        expect_that!(lent, gt(Tokens::ZERO));
        borrower.borrow(&account(), lent);
    }
    let reserved = borrower.reserve(&account(), tokens(10_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// When two entries hold the last tokens of an account and both have requests that need more,
/// neither request would run if each kept its tokens.
#[gtest]
fn tokens_go_to_the_entry_that_lacks_fewer() {
    let mut first = borrower("vm-1", 3_000);
    let mut second = borrower("vm-2", 3_000);
    let of_first = request("vm-1", demand(&mut first, 9_000));
    let of_second = request("vm-2", demand(&mut second, 5_000));
    first.add_waiter(&account(), tokens(9_000));
    second.add_waiter(&account(), tokens(5_000));
    expect_that!(second.lend(&of_first, NOW), eq(Tokens::ZERO));
    let lent = first.lend(&of_second, NOW);
    expect_that!(lent, eq(of_second.least));
    second.borrow(&account(), lent);
    let reserved = second.reserve(&account(), tokens(5_000), NOW);
    expect_that!(reserved, ok(anything()));
}

/// An owner that lacks tokens that it has lent must find the borrowers.
#[gtest]
fn an_owner_can_ask_its_borrowers() {
    let mut lender = owner(60_000);
    for from in ["vm-2", "vm-3"] {
        let request = request(from, demand(&mut borrower(from, 0), 9_000));
        lender.lend(&request, NOW);
    }
    let known = lender.lenders(&account(), NOW);
    expect_that!(
        known,
        unordered_elements_are![eq(&vm("vm-2")), eq(&vm("vm-3"))]
    );
    let given = TokenReturn {
        key: "key".into(),
        from: vm("vm-2"),
        account: account(),
        tokens: tokens(9_000),
        delivery: None,
    };
    let before = lender.holding(&account()).0;
    lender.accept_return(&given, NOW);
    expect_that!(lender.holding(&account()).0, eq(before + tokens(9_000)));
    expect_that!(
        lender.lenders(&account(), NOW),
        elements_are![eq(&vm("vm-3"))]
    );
}

/// The record does not contain the tokens of borrowers; the account must not count as exhausted
/// because of that.
#[gtest]
fn lent_tokens_do_not_count_as_exhausted() {
    let mut lender = owner(98_000);
    let request = request("vm-2", demand(&mut borrower("vm-2", 0), 40_000));
    expect_that!(lender.lend(&request, NOW), gt(Tokens::ZERO));
    let shortage = lender.reserve(&account(), tokens(99_000), NOW);
    expect_that!(shortage, err(eq(&Shortage::Elsewhere)));
    let shortage = lender.reserve(&account(), tokens(100_001), NOW);
    expect_that!(shortage, err(eq(&Shortage::Exhausted)));
}

/// Entries that do not read the record of an exhausted account rely on its owner's report, but only
/// for a limited time and until a top-up: it would otherwise hide tokens that are available again.
#[gtest]
fn an_owner_reports_that_an_account_is_exhausted() {
    let mut borrower = borrower("vm-2", 1_000);
    let demand = demand(&mut borrower, 9_000);
    borrower.record_loan_refusal(&demand, EXHAUSTED, NOW);
    let shortage = |allocations: &mut Allocations, max_cost, now| {
        allocations.reserve(&account(), tokens(max_cost), now)
    };
    expect_that!(
        shortage(&mut borrower, 9_000, NOW),
        err(eq(&Shortage::Exhausted))
    );
    expect_that!(
        shortage(&mut borrower, 8_999, NOW),
        err(eq(&Shortage::Unknown))
    );
    let later = NOW + Millis::new(1_001);
    expect_that!(
        shortage(&mut borrower, 9_000, later),
        err(eq(&Shortage::Unknown))
    );
    borrower.record_loan_refusal(&demand, EXHAUSTED, later);
    borrower.set_prepaid([(account(), tokens(200_000))]);
    expect_that!(
        shortage(&mut borrower, 9_000, later),
        err(eq(&Shortage::Unknown))
    );
}

/// When the callers of an account move to other entries, the tokens of the entry that they left
/// must become available there.
#[gtest]
fn an_entry_returns_tokens_beyond_its_expected_use() {
    let mut allocations = borrower("vm-2", 20_000);
    // An entry that uses the account often keeps tokens for its next requests.
    for _ in 0..10 {
        let reservation = allocations.reserve(&account(), tokens(800), NOW).unwrap();
        allocations.settle(&reservation, tokens(800), NOW);
    }
    let all = |allocations: &mut Allocations, now| {
        let given = allocations.return_surplus(|_| Role::Borrower, 2, now);
        given.into_iter().map(|(_, tokens)| tokens).sum::<Tokens>()
    };
    expect_that!(
        allocations.return_surplus(|_| Role::Owner, 2, NOW),
        is_empty()
    );
    let first = all(&mut allocations, NOW);
    expect_that!(first, lt(tokens(12_000)));
    let rest = all(&mut allocations, NOW + Millis::new(30_000));
    expect_that!(first + rest, ge(tokens(11_900)));
}

/// Callers of one account on a hundred entries: if each entry kept tokens for its next request, a
/// large part of the account would lie idle, and be lost when the entries are killed.
#[gtest]
fn borrowers_of_a_large_fleet_hold_few_tokens() {
    const ENTRIES: usize = 100;
    const PAID: u64 = 20_000_000;
    let (max_cost, used) = (tokens(5_000), tokens(4_700));
    let mut lender = Allocations::new(vm("owner"), 1);
    lender.set_prepaid([(account(), tokens(PAID))]);
    lender.observe(&account(), None, Record::default(), NOW);
    let mut borrowers: Vec<Allocations> = (0..ENTRIES)
        .map(|index| borrower(&format!("vm-{index}"), 0))
        .collect();
    let mut version = 0;
    let mut most_idle = 0;
    // 40 requests per second, each at another entry.
    for step in 0..800_u64 {
        let now = NOW + Millis::new(step * 25);
        let index = (step as usize * 37) % ENTRIES;
        let entry = &mut borrowers[index];
        entry.add_waiter(&account(), max_cost);
        for _ in 0..2 {
            if let Some(demand) = entry.demand(&account(), now) {
                let lent = lender.lend(&request(&format!("vm-{index}"), demand), now);
                entry.borrow(&account(), lent);
            }
            if lender.plan(&account(), Role::Owner, now).is_some() {
                version += 1;
                lender.written(&account(), Version::new(version), now);
            }
        }
        entry.remove_waiter(&account(), max_cost);
        let reservation = entry.reserve(&account(), max_cost, now).unwrap();
        entry.settle(&reservation, used, now);
        if step % 40 == 0 {
            for (index, entry) in borrowers.iter_mut().enumerate() {
                for (account, tokens) in entry.return_surplus(|_| Role::Borrower, ENTRIES, now) {
                    let token_return = TokenReturn {
                        key: "key".into(),
                        from: vm(&format!("vm-{index}")),
                        account,
                        tokens,
                        delivery: None,
                    };
                    lender.accept_return(&token_return, now);
                }
            }
        }
        let idle: Tokens = borrowers
            .iter()
            .map(|entry| entry.holding(&account()).0)
            .sum();
        most_idle = most_idle.max(idle.get());
    }
    expect_that!(most_idle, le(PAID / 100));
}

/// Near the end of a budget most lent tokens are used by the requests that they were lent for.
/// Callers must be told at once that the account is exhausted, instead of coming back in vain.
#[gtest]
fn loans_that_will_be_used_do_not_count_as_left() {
    let mut lender = owner(100_000);
    for _ in 0..20 {
        let reservation = lender.reserve(&account(), tokens(1_000), NOW).unwrap();
        lender.settle(&reservation, tokens(950), NOW);
    }
    let rest = lender.holding(&account()).0;
    let demand = TokenDemand {
        account: account(),
        least: rest,
        want: rest,
    };
    let lent = lender.lend(&request("vm-2", demand), NOW);
    expect_that!(lent, eq(rest));
    // A twentieth of the loan of 81,000 tokens is likely to be returned.
    let cases = [(3_000, Shortage::Elsewhere), (6_000, Shortage::Exhausted)];
    for (max_cost, expected) in cases {
        let shortage = lender.reserve(&account(), tokens(max_cost), NOW);
        expect_that!(shortage, err(eq(&expected)), "{max_cost}");
    }
}

#[gtest]
fn no_loan_is_requested_without_waiting_requests() {
    expect_that!(borrower("vm-2", 1_000).demands(NOW), is_empty());
}

/// When all entries lose power repeatedly, tokens lent by the owner are lost like those that it
/// holds, so both together must be bounded.
#[gtest]
fn loans_count_towards_what_an_owner_may_hold() {
    let mut lender = borrower("vm-1", 0);
    lender.observe(&account(), None, Record::default(), NOW);
    let mut out = Tokens::ZERO;
    let mut version = 0;
    // Many borrowers, each of which asks for much more than its waiting requests need.
    for index in 0..40 {
        let demand = TokenDemand {
            account: account(),
            least: tokens(10),
            want: tokens(20_000),
        };
        out += lender.lend(&request(&format!("vm-{index}"), demand), NOW);
        if lender.plan(&account(), Role::Owner, NOW).is_some() {
            version += 1;
            lender.written(&account(), Version::new(version), NOW);
        }
    }
    let held = out + lender.holding(&account()).0;
    // 15 percent of 100,000, plus a quarter of that because an owner draws only below 75 percent.
    expect_that!(held, gt(tokens(0)));
    expect_that!(held, le(tokens(19_000)));
}

/// A loan whose reply is lost was lost to the account; it must come back to the lender with the next
/// request, but not if the borrower has got it.
#[gtest]
fn a_loan_whose_reply_was_lost_goes_back_to_the_lender() {
    for is_reply_lost in [true, false] {
        let mut lender = owner(60_000);
        let mut borrower = borrower("vm-2", 0);
        let ask = |borrower: &mut Allocations, lender: &mut Allocations, has_reply| {
            let mut request = request("vm-2", demand(borrower, 9_000));
            let delivery = borrower.loan_delivery(&account(), &vm("vm-1"));
            request.delivery = Some(delivery);
            let lent = lender.lend(&request, NOW);
            borrower.record_loan_reply(&account(), &vm("vm-1"), delivery, has_reply);
            if has_reply {
                borrower.borrow(&account(), lent);
            }
            (request, lent)
        };
        let (late, lent) = ask(&mut borrower, &mut lender, !is_reply_lost);
        expect_that!(lent, ge(tokens(9_000)));
        let taken = borrower.reserve(&account(), tokens(9_000), NOW);
        expect_that!(taken.is_ok(), eq(!is_reply_lost));
        ask(&mut borrower, &mut lender, true);
        let reserved = borrower.holding(&account()).1;
        let all = lender.holding(&account()).0 + borrower.holding(&account()).0 + reserved;
        expect_that!(all, eq(tokens(60_000)));
        // The first request arrives once more; nobody reads the reply.
        expect_that!(lender.lend(&late, NOW), eq(Tokens::ZERO));
    }
}

/// A return without response is sent again; if it was credited twice, the tokens would be used twice,
/// also by an incarnation that did not get the first one.
#[gtest]
fn a_repeated_return_is_credited_once() {
    let mut lender = owner(60_000);
    let mut sender = borrower("vm-2", 9_000);
    let given = sender.return_surplus(|_| Role::Borrower, 2, NOW);
    expect_that!(given, elements_are![(eq(&account()), eq(&tokens(9_000)))]);
    let token_return = TokenReturn {
        key: "key".into(),
        from: vm("vm-2"),
        account: account(),
        tokens: tokens(9_000),
        delivery: Some(sender.return_delivery(1)),
    };
    sender.record_unanswered_return(UnansweredReturn {
        to: vm("vm-1"),
        token_return: token_return.clone(),
    });
    sender.borrow(&account(), tokens(5_000));
    // No other return of the account is sent before the first one is resolved.
    let given = sender.return_surplus(|_| Role::Borrower, 2, NOW);
    expect_that!(given, is_empty());
    expect_that!(sender.take_unanswered_returns(), len(eq(1)));
    for _ in 0..3 {
        expect_true!(lender.accept_return(&token_return, NOW));
        expect_that!(lender.holding(&account()).0, eq(tokens(69_000)));
    }
    let mut restarted = Allocations::new(vm("vm-1"), 2);
    expect_false!(restarted.accept_return(&token_return, NOW));
    expect_that!(restarted.holding(&account()).0, eq(Tokens::ZERO));
}

/// During a shortage, an owner that cannot draw must still say so: another entry draws in its place. If
/// it only serves other requests first, no other entry must draw.
#[gtest]
fn an_owner_that_cannot_draw_says_so_during_a_shortage() {
    let mut lender = owner(99_000);
    let reserved = lender.reserve(&account(), tokens(98_500), NOW);
    expect_that!(reserved, ok(anything()));
    lender.settle(&reserved.unwrap(), tokens(98_500), NOW);
    expect_true!(lender.is_short(&account(), NOW));
    let large = request("vm-2", demand(&mut borrower("vm-2", 0), 900));
    expect_that!(lender.lend(&large, NOW), eq(Tokens::ZERO));
    expect_that!(lender.loan_shortage(&large, NOW), eq(Shortage::Drawable));
    let mut small = request("vm-2", demand(&mut borrower("vm-2", 0), 400));
    small.rank = 1;
    lender.add_waiter(&account(), tokens(300));
    expect_that!(lender.lend(&small, NOW), eq(Tokens::ZERO));
    expect_that!(lender.loan_shortage(&small, NOW), eq(Shortage::Elsewhere));
}
