//! Accounts that run short, at fleets of several sizes.

use googletest::prelude::*;

use crate::sim::{Scenario, Sim};

fn scenario(entries: usize) -> Scenario {
    Scenario {
        entries,
        paid: 2_500_000,
        rate: 30.0,
        seconds: 75,
        outages: Vec::new(),
        kills: Vec::new(),
        seed: 1,
    }
}

/// Remainders of loans stayed at the borrowers, so that requests were refused although they would
/// have covered them together: 271 at 25 entries and 418 at 103.
#[gtest]
fn the_last_tokens_are_found_by_whichever_entry_is_reached() {
    for (entries, max_refused) in [(25, 50), (103, 140)] {
        let outcome = Sim::run(scenario(entries));
        let refused = outcome.early_402 + outcome.refused_with_tokens;
        expect_that!(refused, le(max_refused), "{entries} {outcome:?}");
        expect_that!(outcome.used, ge(2_500_000 * 9_995 / 10_000), "{entries}");
        // Before: 56 writes and 2,075 messages at 25 entries, 54 and 2,515 at 103.
        expect_that!(outcome.writes, le(58), "{entries}");
        expect_that!(outcome.messages, le(2_600), "{entries}");
        for (rank, (served, refused)) in &outcome.by_rank {
            expect_that!(*served, ge(refused * 2), "rank {rank} of {entries}");
        }
    }
}

/// After kills, callers of a used-up account got 503 from most entries (653 and 14 with 402) and came
/// back in vain.
#[gtest]
fn an_exhausted_account_is_refused_with_402_by_all_entries() {
    let kills = Scenario {
        kills: vec![15_000, 30_000, 45_000],
        ..scenario(103)
    };
    let outcome = Sim::run(kills);
    let unavailable = outcome.refused_with_tokens + outcome.refused_in_vain;
    expect_that!(outcome.exhausted, gt(unavailable), "{outcome:?}");
    expect_that!(outcome.early_402, le(20), "{outcome:?}");
}
