//! Who gets the last tokens.

use cyc_prepaid::last_tokens::{Claim, is_served, next};
use cyc_types::{Millis, Tokens};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

fn claim(rank: u8, tokens: u64, since: u64) -> Claim {
    Claim {
        rank,
        tokens: Tokens::new(tokens),
        since: Millis::new(since),
    }
}

/// Tokens that several requests wait for went to whichever entry asked first, also to requests of a
/// less urgent route.
#[gtest]
fn rank_comes_first_then_worth_then_waiting_time() {
    let free = Tokens::new(1_000);
    let cases = [
        (vec![claim(1, 10, 0), claim(0, 900, 5)], Some(1)),
        (vec![claim(0, 900, 0), claim(0, 200, 5)], Some(1)),
        (vec![claim(0, 200, 7), claim(0, 200, 5)], Some(1)),
        (vec![claim(0, 1_001, 0), claim(3, 1_000, 5)], Some(1)),
        (vec![claim(0, 1_001, 0)], None),
        (vec![], None),
    ];
    for (claims, expected) in cases {
        expect_that!(next(free, &claims, 0), eq(expected), "{claims:?}");
    }
    // The fourth turn goes to the request that has waited longest.
    let claims = [claim(0, 200, 5), claim(2, 900, 0)];
    expect_that!(next(free, &claims, 3), some(eq(1)));
}

#[gtest]
fn requests_are_served_while_the_tokens_last() {
    let claims = [claim(0, 400, 0), claim(0, 500, 0), claim(0, 600, 0)];
    let served = |free: u64| -> Vec<bool> {
        let free = Tokens::new(free);
        (0..3)
            .map(|index| is_served(index, free, &claims, 0))
            .collect()
    };
    expect_that!(
        served(399),
        elements_are![eq(&false), eq(&false), eq(&false)]
    );
    expect_that!(
        served(1_000),
        elements_are![eq(&true), eq(&true), eq(&false)]
    );
    expect_that!(
        served(1_500),
        elements_are![eq(&true), eq(&true), eq(&true)]
    );
}

/// Small urgent requests arrive faster than tokens come back; large and less urgent ones must be
/// served too.
#[gtest]
fn no_rank_or_size_is_starved() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut waiting: Vec<Claim> = Vec::new();
    let (mut free, mut turn) = (0, 0);
    let mut served = [[0; 2]; 3];
    for step in 0..4_000 {
        free += 1_500;
        for _ in 0..3 {
            let tokens = if rng.random_bool(0.2) { 4_000 } else { 500 };
            waiting.push(claim(rng.random_range(0..3), tokens, step));
        }
        while let Some(index) = next(Tokens::new(free), &waiting, turn) {
            let next = waiting.swap_remove(index);
            free -= next.tokens.get();
            turn += 1;
            served[usize::from(next.rank)][usize::from(next.tokens.get() > 500)] += 1;
        }
        // Callers give up after 20 steps.
        waiting.retain(|claim| claim.since.get() + 20 > step);
        // Requests that cost less do not keep the tokens below what a large one needs for ever.
        free = free.min(6_000);
    }
    for (rank, [small, large]) in served.iter().enumerate() {
        expect_that!(*small, gt(20), "small requests of rank {rank}");
        expect_that!(*large, gt(0), "large requests of rank {rank}");
    }
}
