//! Guards against tokens moved twice when an operation, loan or repayment is repeated after a lost
//! answer, and against operations, reservations and draws above the tokens that are available.

use cyc_budget::{
    Applied, Op, OpError, ReserveOutcome, Shard, Wallet, apply,
    policy::{Demand, Options, Policy},
};
use cyc_types::{Millis, PerSecond};
use googletest::prelude::*;

use super::*;

#[gtest]
fn each_operation_takes_effect_once() -> Result<()> {
    let reclaim = Op::Reclaim {
        grant: grant(1),
        unspent: tokens(40),
    };
    let credit = Op::Credit {
        budget: budget(),
        merge: 1,
        tokens: tokens(5),
    };
    let cases: &[(&[Op], Op)] = &[
        (&[], top_up("second", 7)),
        (&[], draw(1, 1, 40)),
        (&[draw(1, 1, 40)], return_tokens(1, 2, 10)),
        (&[draw(1, 1, 40)], settle(1, 2, 3, 10)),
        (
            &[draw(1, 1, 40), settle(1, 1, 1, 40)],
            Op::Close { grant: grant(1) },
        ),
        (&[draw(1, 1, 40)], reclaim),
        (&[draw(1, 1, 40), settle(1, 1, 1, 10)], credit),
    ];
    for (before, op) in cases {
        let mut shard = shard_after(before);
        let first = apply(&mut shard, op);
        expect_that!(first, ok(matches_pattern!(Applied::Now(_))), "{op:?}");
        let once = shard.clone();
        let second = apply(&mut shard, op).map(Applied::tokens);
        expect_that!(second, eq(&first.map(Applied::tokens)), "{op:?}");
        expect_that!(shard, eq(&once), "{op:?}");
        expect_that!(Shard::decode(&shard.encode()?), ok(eq(&shard)));
    }
    Ok(())
}

#[gtest]
fn overspending_operations_are_refused_and_change_nothing() -> Result<()> {
    let drawn = [draw(1, 1, 40)];
    let short = |wanted, have| OpError::Short {
        wanted: tokens(wanted),
        have: tokens(have),
    };
    let reclaim = |unspent| Op::Reclaim {
        grant: grant(1),
        unspent: tokens(unspent),
    };
    let credit = Op::Credit {
        budget: budget(),
        merge: 1,
        tokens: tokens(1),
    };
    // A receipt never exceeds its reservation, and a reservation is debited from the grant once.
    // A settlement above the grant therefore means a receipt that is counted twice; it must not
    // be paid from other grants.
    let cases = [
        (settle(1, 1, 1, 41), short(41, 40)),
        (return_tokens(1, 2, 41), short(41, 40)),
        (settle(2, 1, 1, 1), OpError::GrantNotFound(grant(2))),
        (reclaim(39), OpError::Stale { have: tokens(40) }),
        (
            Op::Close { grant: grant(1) },
            OpError::Stale { have: tokens(40) },
        ),
        (credit, short(1, 0)),
        (top_up("first", 1), OpError::TopUpMismatch(tokens(100))),
        (top_up("huge", u64::MAX), OpError::Overflow),
    ];
    for (op, error) in cases {
        let mut shard = shard_after(&drawn);
        expect_that!(apply(&mut shard, &op), err(eq(&error)), "{op:?}");
        expect_that!(shard, eq(&shard_after(&drawn)), "{op:?}");
    }
    Ok(())
}

#[gtest]
fn a_draw_grants_at_most_the_free_tokens_and_a_closed_holder_cannot_draw() -> Result<()> {
    let mut shard = shard_after(&[draw(1, 1, 70)]);
    expect_that!(
        apply(&mut shard, &draw(2, 1, 70)),
        ok(eq(&Applied::Now(tokens(30))))
    );
    expect_that!(
        apply(&mut shard, &draw(3, 1, 70)),
        ok(eq(&Applied::Unchanged))
    );
    let reclaim = Op::Reclaim {
        grant: grant(1),
        unspent: tokens(70),
    };
    apply(&mut shard, &reclaim)?;
    for number in [1, 2] {
        let late = apply(&mut shard, &draw(1, number, 5));
        expect_that!(late, err(eq(&OpError::Closed(grant(1)))));
    }
    Ok(())
}

#[gtest]
fn a_settlement_after_reclaim_is_paid_from_free_tokens_or_refused() -> Result<()> {
    let reclaim = Op::Reclaim {
        grant: grant(1),
        unspent: tokens(40),
    };
    let mut shard = shard_after(&[draw(1, 1, 40), reclaim]);
    for _ in 0..2 {
        apply(&mut shard, &settle(1, 2, 1, 40))?;
        expect_that!(shard.budgets[&budget()].settled, eq(tokens(40)));
    }
    apply(&mut shard, &draw(2, 1, 50))?;
    let refused = apply(&mut shard, &settle(1, 2, 2, 11));
    expect_that!(refused, err(matches_pattern!(OpError::Short { .. })));
    Ok(())
}

#[gtest]
fn a_reservation_is_made_in_one_grant() -> Result<()> {
    let mut wallet = Wallet::new(entry(1));
    let op = wallet.start_draw(&budget(), tokens(10)).or_fail()?;
    expect_that!(wallet.start_draw(&budget(), tokens(10)), none());
    wallet.finish_draw(&op, tokens(10), Millis::ZERO);
    wallet.finish_draw(&op, tokens(10), Millis::ZERO);
    for _ in 0..2 {
        wallet.receive_loan(1, &grant(2), tokens(8));
    }
    let short = wallet.reserve(&budget(), tokens(12), Millis::ZERO);
    expect_that!(short, eq(&ReserveOutcome::Short { missing: tokens(2) }));
    let holders = [2, 1].map(|holder| (holder, wallet.reserve(&budget(), tokens(8), Millis::ZERO)));
    for (holder, result) in holders {
        let ReserveOutcome::Granted(reservation) = result else {
            return fail!("short of {holder}");
        };
        expect_that!(reservation.grant, eq(&grant(holder)));
        wallet.settle(reservation, tokens(3), Millis::ZERO);
    }
    expect_that!(wallet.holding(&budget()).free, eq(tokens(12)));
    expect_that!(wallet.start_repay(&grant(2)), eq(tokens(5)));
    wallet.fence();
    expect_that!(wallet.own_free(&budget()), eq(tokens(0)));
    let after = wallet.reserve(&budget(), tokens(1), Millis::ZERO);
    expect_that!(after, eq(&ReserveOutcome::Short { missing: tokens(1) }));
    Ok(())
}

#[gtest]
fn repeated_loans_and_repayments_are_counted_once() -> Result<()> {
    let mut wallet = Wallet::new(entry(1));
    let op = wallet.start_draw(&budget(), tokens(10)).or_fail()?;
    wallet.finish_draw(&op, tokens(10), Millis::ZERO);
    let too_few_free = wallet.lend((entry(2), 1), &budget(), tokens(20), tokens(11));
    expect_that!(too_few_free, none());
    for _ in 0..2 {
        let loan = wallet.lend((entry(2), 2), &budget(), tokens(6), tokens(1));
        expect_that!(loan, some(eq(&(grant(1), tokens(6)))));
        expect_that!(wallet.own_free(&budget()), eq(tokens(4)));
    }
    for _ in 0..2 {
        wallet.receive_repayment((entry(2), 1), &grant(1), tokens(5));
        expect_that!(wallet.own_free(&budget()), eq(tokens(9)));
    }
    Ok(())
}

#[gtest]
fn no_policy_draws_more_than_is_free_or_less_than_needed() -> Result<()> {
    for policy in [Policy::Equal, Policy::Fixed, Policy::Adaptive] {
        for weight in [0, 50, 100] {
            let options = Options {
                policy,
                weight,
                ..Options::default()
            };
            let mut last = u64::MAX;
            for free in [1_000_000, 50_000, 400, 10, 0] {
                let demand = Demand {
                    need: tokens(100),
                    rate: PerSecond::new(10_000.0),
                    free: tokens(free),
                    holders: 4,
                };
                let drawn = options.draw_size(&demand).get();
                expect_that!(
                    drawn,
                    all!(le(free), ge(free.min(100)), le(last)),
                    "{options:?}"
                );
                last = drawn;
            }
        }
    }
    Ok(())
}
