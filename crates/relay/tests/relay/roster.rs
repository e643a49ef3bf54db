//! Heartbeats of the entries that use a relay.

use cyc_gateway::{
    crash::CrashReport,
    member::TargetIncarnation,
    peers::{Heartbeat, Peers},
};
use cyc_relay::roster::Roster;
use cyc_types::Millis;
use googletest::prelude::*;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn entry(index: usize, start: u64) -> Peers {
    Peers::new(format!("vm-{index}").parse().unwrap(), start)
}

fn starts(heartbeats: &[Heartbeat]) -> Vec<(String, u64)> {
    let start = |heartbeat: &Heartbeat| (heartbeat.vm.to_string(), heartbeat.start);
    heartbeats.iter().map(start).collect()
}

/// The relay writes one object for all its entries. An entry that starts again or shuts down must
/// be known to the others soon: they borrow tokens from it.
#[gtest]
fn only_changes_of_entries_are_urgent() {
    let mut roster = Roster::default();
    let mut first = entry(1, 1);
    expect_true!(roster.record(first.next_heartbeat(), at(0)));
    expect_false!(roster.record(first.next_heartbeat(), at(2_000)));
    first.begin_shutdown();
    expect_true!(roster.record(first.next_heartbeat(), at(2_100)));
    expect_true!(roster.record(entry(1, 2).next_heartbeat(), at(3_000)));
    expect_that!(
        starts(&roster.members(at(3_000))),
        eq(&vec![("vm-1".to_string(), 2)])
    );
}

/// An entry that uses another path writes its heartbeat there; the copy here would be older.
#[gtest]
fn an_entry_that_left_is_no_member() {
    let mut roster = Roster::default();
    roster.record(entry(1, 1).next_heartbeat(), at(0));
    roster.record(entry(2, 1).next_heartbeat(), at(4_000));
    expect_that!(roster.members(at(5_000)), len(eq(2)));
    expect_that!(roster.members(at(5_001)), len(eq(1)));
    expect_that!(roster.members(at(9_001)), is_empty());
    expect_true!(roster.is_empty());
}

/// Members are newer than what the store has of them.
#[gtest]
fn all_entries_are_those_of_the_store_and_the_members() {
    let mut roster = Roster::default();
    roster.set_stored(vec![
        entry(1, 1).next_heartbeat(),
        entry(2, 1).next_heartbeat(),
    ]);
    roster.record(entry(1, 7).next_heartbeat(), at(0));
    roster.record(entry(3, 1).next_heartbeat(), at(0));
    let expected = [("vm-1", 7), ("vm-2", 1), ("vm-3", 1)];
    let expected = expected.map(|(vm, start)| (vm.to_string(), start));
    expect_that!(starts(&roster.all()), eq(&expected.to_vec()));
}

/// Guards against an object that outgrows the store because each of hundreds of entries tells of the
/// same crashes, and against entries that learn late that prompts are refused.
#[gtest]
fn crashes_are_urgent_and_kept_for_a_few_members_only() {
    let crash = CrashReport {
        target: TargetIncarnation {
            id: "i-1".parse().unwrap(),
            started_at: Some(1),
        },
        age: at(10),
        idle: at(10),
        suspects: Vec::new(),
    };
    let mut roster = Roster::default();
    for index in 0..300 {
        let mut entry = entry(index, 1);
        roster.record(entry.next_heartbeat(), at(0));
        entry.set_crashes(vec![crash.clone()]);
        expect_true!(roster.record(entry.next_heartbeat(), at(10)));
        expect_false!(roster.record(entry.next_heartbeat(), at(20)));
    }
    let members = roster.members(at(20));
    expect_that!(members, len(eq(300)));
    let telling = members.iter().filter(|member| !member.crashes.is_empty());
    expect_that!(telling.count(), all!(ge(1), le(5)));
}
