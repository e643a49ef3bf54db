//! The other entries, from the signs that they write.

use cyc_gateway::peers::{BEAT, BEAT_TIMEOUT, GONE_AFTER, Peers, Sign};
use cyc_types::{ClientAccountId, Millis, VmId};
use googletest::prelude::*;

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn account(index: usize) -> ClientAccountId {
    format!("club-{index}").parse().unwrap()
}

fn entries(count: usize) -> Vec<Peers> {
    let entry = |index| {
        let addr = format!("127.0.0.1:{}", 9_000 + index).parse().unwrap();
        let mut peers = Peers::new(vm(index), 1);
        peers.set_addr(addr);
        peers
    };
    (0..count).map(entry).collect()
}

/// All entries write their signs and read those of all.
fn exchange(entries: &mut [Peers], now: Millis) -> Vec<Sign> {
    let signs: Vec<Sign> = entries.iter_mut().map(Peers::beat).collect();
    for entry in entries {
        entry.observe(signs.clone(), now);
    }
    signs
}

#[gtest]
fn all_entries_agree_on_the_home_of_each_account() {
    let mut all = entries(28);
    exchange(&mut all, Millis::ZERO);
    let mut homes = std::collections::BTreeSet::new();
    for index in 0..200 {
        let ranks = all[0].ranks(&account(index));
        expect_that!(ranks, len(eq(3)));
        for entry in &all {
            expect_that!(entry.ranks(&account(index)), eq(&ranks));
        }
        let count = all.iter().filter(|entry| entry.is_home(&account(index)));
        expect_that!(count.count(), eq(1));
        homes.insert(ranks[0].clone());
    }
    expect_that!(homes.len(), ge(25));
}

/// Pattern: all entries start at once and know nobody. Each must not take itself for the home of
/// everything.
#[gtest]
fn an_entry_that_nobody_knows_yet_draws_for_nobody() {
    let mut entry = entries(1).remove(0);
    entry.observe(Vec::new(), Millis::ZERO);
    expect_false!(entry.is_home(&account(1)));
    expect_false!(entry.is_settled());
    // It reads its own sign: the others have had time to write theirs.
    let sign = entry.beat();
    entry.observe(vec![sign], Millis::new(600));
    expect_true!(entry.is_home(&account(1)));
}

#[gtest]
fn running_entries_are_counted_by_their_beats() {
    let mut all = entries(3);
    exchange(&mut all, Millis::ZERO);
    expect_that!(all[0].running(), eq(3));
    // The third ends.
    let mut now = Millis::ZERO;
    while now < BEAT_TIMEOUT {
        now += BEAT;
        let signs = exchange(&mut all[..2], now);
        expect_that!(signs, len(eq(2)));
        expect_that!(all[0].running(), eq(3));
    }
    exchange(&mut all[..2], now + BEAT);
    expect_that!(all[0].running(), eq(2));
    expect_that!(all[0].contact(&vm(2)), none());
    expect_that!(all[0].starts(now)[&vm(2)], some(eq(1)));
    let later = GONE_AFTER + Millis::new(1);
    expect_that!(all[0].starts(later)[&vm(2)], none());
}

/// Pattern: the store is away for all entries. Each must go on with its part of the shared
/// bounds, not with all of them.
#[gtest]
fn an_entry_that_is_cut_off_counts_the_others_as_before() {
    let mut all = entries(5);
    let signs = exchange(&mut all, Millis::ZERO);
    expect_that!(all[0].running(), eq(5));
    let before = all[0].ranks(&account(1));
    // Nothing is read for half a minute; then the signs are those of before.
    expect_that!(all[0].running(), eq(5));
    let later = Millis::new(30_000);
    all[0].observe(signs.clone(), later);
    expect_that!(all[0].running(), eq(5));
    all[0].observe(signs, later + BEAT);
    expect_that!(all[0].running(), eq(5));
    expect_that!(all[0].ranks(&account(1)), eq(&before));
}

/// The store may answer with signs that are seconds old.
#[gtest]
fn an_older_sign_changes_nothing() {
    let mut all = entries(2);
    let old = exchange(&mut all, Millis::ZERO);
    exchange(&mut all, BEAT);
    all[0].observe(old, BEAT + BEAT_TIMEOUT);
    let sign = all[1].beat();
    all[0].observe(vec![sign], BEAT + BEAT_TIMEOUT);
    expect_that!(all[0].running(), eq(2));
}

#[gtest]
fn a_new_start_ends_the_one_before() {
    let mut all = entries(2);
    let signs = exchange(&mut all, Millis::ZERO);
    let key = all[0].contact(&vm(1)).unwrap().key;
    expect_true!(all[1].accepts(&key));
    let mut again = Peers::new(vm(1), 2);
    expect_false!(again.accepts(&key));
    again.observe(signs, Millis::new(5));
    let sign = again.beat();
    all[0].observe(vec![sign], Millis::new(10));
    expect_that!(all[0].starts(Millis::new(10))[&vm(1)], some(eq(2)));
    // Entries that are cut off from the store can still ask it.
    expect_true!(again.accepts(&key));
    // It gives no address yet, so that it is not asked for tokens.
    expect_that!(all[0].contact(&vm(1)), none());
}

#[gtest]
fn an_entry_that_leaves_draws_for_nobody() {
    let mut all = entries(3);
    exchange(&mut all, Millis::ZERO);
    let index = (0..100).find(|index| all[1].is_home(&account(*index)));
    let account = account(index.unwrap());
    all[1].leave();
    expect_false!(all[1].is_home(&account));
    exchange(&mut all, BEAT);
    expect_false!(all[0].ranks(&account).contains(&vm(1)));
    expect_that!(all[0].running(), eq(3));
}
