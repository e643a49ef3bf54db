//! Subsets of large services.

use std::collections::{BTreeMap, BTreeSet};

use cyc_gateway::{
    call::{Prompt, PromptPart},
    choose::Options,
    fleet::{Fleet, ServiceLimits},
    member::{Record, TargetState},
    subset::{SUBSET_THRESHOLD, Subset},
};
use cyc_types::{Millis, TargetId, Tokens, VmId};
use googletest::prelude::*;

const TARGETS: usize = 1_000;
const ENTRIES: u64 = 110;

fn target(index: usize) -> TargetId {
    format!("i-{index}").parse().unwrap()
}

fn subset(key: u64, count: usize) -> Subset {
    Subset::new(key, (0..count).map(target).collect())
}

#[gtest]
fn entries_consider_all_targets_of_a_small_service() {
    expect_true!(subset(1, SUBSET_THRESHOLD).includes_all());
    expect_false!(subset(1, SUBSET_THRESHOLD + 1).includes_all());
}

/// Targets in no subset would stay idle, and targets in many more subsets than others would be
/// overloaded. 110 entries and 1,000 targets are a tenth of the intended size.
#[gtest]
fn the_subsets_of_all_entries_cover_all_targets_evenly() {
    let mut entry_counts: BTreeMap<TargetId, usize> = BTreeMap::new();
    for entry in 0..ENTRIES {
        // Any well distributed key works; an entry uses a hash of its VM id.
        let key = entry.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for id in subset(key, TARGETS).selected() {
            *entry_counts.entry(id.clone()).or_default() += 1;
        }
    }
    // 7 on average.
    expect_that!(entry_counts.len(), ge(TARGETS * 99 / 100));
    expect_that!(entry_counts.values().max(), some(le(&25)));
}

/// Callers of many entries share a long prefix, while the subsets of these entries have few targets
/// in common. Each entry would cache the prefix on another target.
#[gtest]
fn entries_with_different_subsets_choose_the_same_target() {
    let record = |index| Record {
        id: target(index),
        started_at: None,
        service: "writer".parse().unwrap(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 128,
        state: TargetState::Ready,
    };
    let records: Vec<Record> = (0..1_000).map(record).collect();
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens::new(tokens),
    };
    let prompt = Prompt {
        input: Tokens::new(9_190),
        max_output: Tokens::new(100),
        parts: vec![part(1 << 60, 6_300), part(7, 2_890)],
    };
    let service = "writer".parse().unwrap();
    let limits = ServiceLimits {
        service: &service,
        connections: 100,
    };
    let mut preferred = BTreeSet::new();
    for entry in 0..20 {
        let vm: VmId = format!("vm-{entry}").parse().unwrap();
        let mut fleet = Fleet::new("a".parse().unwrap(), Options::default()).with_entry(&vm);
        fleet.set_targets(records.iter(), Millis::ZERO);
        let chosen = fleet.choose(&limits, Some(&prompt), &[], Millis::ZERO);
        preferred.insert(chosen.unwrap().0);
    }
    expect_that!(preferred.len(), eq(1));
}
