//! The list of targets: starts, leaving, lapses while the store is away, unreadable entries.

use cyc_gateway::member::{
    Change, LAPSE_HOLD, LAPSE_WINDOW, Members, Outcome, Record, TargetState,
};
use cyc_types::{Millis, TargetId};
use googletest::prelude::*;

fn record(id: &str, born: u64, state: TargetState) -> Record {
    Record {
        id: id.parse().unwrap(),
        born: Some(born),
        service: "writer".parse().unwrap(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 8,
        state,
    }
}

fn ready(id: &str) -> Change {
    Change::Updated(record(id, 1, TargetState::Ready))
}

fn id(id: &str) -> TargetId {
    id.parse().unwrap()
}

fn names(members: &Members) -> Vec<&str> {
    members.records().map(|record| record.id.as_str()).collect()
}

#[gtest]
fn each_change_has_its_outcome() {
    let now = Millis::new(1_000);
    let mut members = Members::new();
    let steps = [
        (ready("i-1"), Outcome::Started),
        (ready("i-1"), Outcome::Same),
        (
            Change::Updated(record("i-1", 2, TargetState::Ready)),
            Outcome::Started,
        ),
        (
            Change::Updated(record("i-1", 2, TargetState::Draining)),
            Outcome::Leaving,
        ),
        (Change::Removed(id("i-1")), Outcome::Gone),
        (Change::Removed(id("i-1")), Outcome::Same),
        (ready("i-2"), Outcome::Started),
        (Change::Unreadable(id("i-2")), Outcome::Gone),
        (Change::Unreadable(id("i-3")), Outcome::Same),
    ];
    for (change, expected) in steps {
        expect_that!(
            members.apply(change.clone(), now),
            eq(expected),
            "{change:?}"
        );
    }
}

#[gtest]
fn a_removal_in_quiet_times_counts_at_once() {
    let mut members = Members::new();
    members.apply(ready("i-1"), Millis::ZERO);
    members.store_returned(Millis::ZERO);
    let later = LAPSE_WINDOW + Millis::new(1);
    expect_that!(
        members.apply(Change::Removed(id("i-1")), later),
        eq(Outcome::Gone)
    );
    expect_that!(names(&members), is_empty());
}

#[gtest]
fn entries_that_lapse_with_the_store_are_kept_until_they_are_back() {
    let returned = Millis::new(50_000);
    let mut members = Members::new();
    for id in ["i-1", "i-2"] {
        members.apply(ready(id), Millis::ZERO);
    }
    members.store_returned(returned);
    let outcomes = members.replace(Vec::new(), returned);
    expect_true!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Outcome::Held)
    );
    expect_that!(names(&members), elements_are![eq(&"i-1"), eq(&"i-2")]);

    members.apply(ready("i-1"), returned + Millis::new(500));
    let due = members.next_expiry().unwrap();
    expect_that!(due, eq(returned + LAPSE_HOLD));
    expect_that!(
        members.expire(due.saturating_sub(Millis::new(1))),
        is_empty()
    );
    expect_that!(members.expire(due), elements_are![eq(&id("i-2"))]);
    expect_that!(names(&members), elements_are![eq(&"i-1")]);
    expect_that!(members.next_expiry(), none());
}

#[gtest]
fn a_list_removes_what_it_lacks() {
    let mut members = Members::new();
    members.apply(ready("i-1"), Millis::ZERO);
    members.replace(vec![ready("i-2")], Millis::new(10));
    expect_that!(names(&members), elements_are![eq(&"i-2")]);
}
