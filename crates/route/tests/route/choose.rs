//! Candidates, cached prefixes, estimated load and ranking.

use std::collections::BTreeSet;

use cyc_proto::sidecar::LoadReport;
use cyc_route::{
    Availability, Load, Options, PrefixCache, RoutingRequest, Rule, Target, candidates, choose,
    prefix,
};
use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId};
use googletest::prelude::*;

struct Fixture {
    service: ServiceId,
    model: ModelId,
    zone: AvailabilityZone,
    targets: Vec<Target>,
}

impl Fixture {
    fn new(count: usize) -> Result<Self> {
        let (service, model): (ServiceId, ModelId) = ("writer".parse()?, "quill".parse()?);
        let zone: AvailabilityZone = "almaty-a".parse()?;
        let target = |n: usize| {
            let target = Target::new(
                format!("engine-{n}").parse()?,
                vec![service.clone()],
                zone.clone(),
            );
            Ok(target.with_models(vec![model.clone()]))
        };
        let targets = (0..count).map(target).collect::<Result<_>>()?;
        Ok(Self {
            service,
            model,
            zone,
            targets,
        })
    }

    fn request<'a>(&'a self, key: u64, prefixes: &'a [u64]) -> RoutingRequest<'a> {
        RoutingRequest {
            service: &self.service,
            model: Some(&self.model),
            adapter: None,
            key,
            prefixes,
            zone: &self.zone,
            now: Millis::new(1_000),
            request_number: key,
        }
    }

    fn first(&self, key: u64, prefixes: &[u64], options: &Options) -> Option<usize> {
        choose(&self.targets, &self.request(key, prefixes), options)
            .first()
            .copied()
    }

    fn candidates(&self, key: u64, count: usize) -> Vec<usize> {
        candidates(&self.targets, &self.service, Some(&self.model), key, count)
    }
}

#[gtest]
fn candidates_cover_all_targets_and_a_draining_target_moves_only_its_own_keys() -> Result<()> {
    let mut fixture = Fixture::new(20)?;
    let before: Vec<Vec<usize>> = (0..200).map(|key| fixture.candidates(key, 4)).collect();
    let firsts: BTreeSet<usize> = before.iter().map(|found| found[0]).collect();
    expect_that!(firsts.len(), eq(20));
    fixture.targets[3].draining = true;
    for (key, before) in before.iter().enumerate() {
        let after = fixture.candidates(key as u64, 4);
        let kept: Vec<usize> = before.iter().copied().filter(|index| *index != 3).collect();
        expect_that!(after[..kept.len()], eq(&kept[..]));
    }
    Ok(())
}

#[gtest]
fn candidates_have_the_model_loaded_unless_no_target_has_it() -> Result<()> {
    let mut fixture = Fixture::new(5)?;
    fixture.targets[1].services = vec!["desk".parse()?];
    for index in [0, 2, 3] {
        fixture.targets[index].models.clear();
    }
    expect_that!(fixture.candidates(7, 9), eq(&vec![4]));
    fixture.targets[4].models.clear();
    expect_that!(
        fixture.candidates(7, 9),
        unordered_elements_are![&0, &2, &3, &4]
    );
    Ok(())
}

#[gtest]
fn the_estimate_accounts_for_load_prefixes_zones_and_adapters() -> Result<()> {
    let options = Options {
        candidates: 2,
        ..Options::default()
    };
    let prompt = vec![b'x'; 10 * prefix::BLOCK_BYTES];
    let hashes = prefix::hashes(&prompt);
    let mut fixture = Fixture::new(2)?;
    let first = fixture.first(1, &hashes, &options).unwrap_or_default();
    let second = 1 - first;
    fixture.targets[second]
        .prefixes
        .record(&hashes[7..8], Millis::new(900));
    expect_that!(fixture.first(1, &hashes, &options), some(eq(second)));
    fixture.targets[second].load.record_start();
    expect_that!(fixture.first(1, &hashes, &options), some(eq(second)));
    fixture.targets[second].load.record_start();
    expect_that!(fixture.first(1, &hashes, &options), some(eq(first)));
    let mut fixture = Fixture::new(2)?;
    fixture.targets[first].zone = "almaty-b".parse()?;
    expect_that!(fixture.first(1, &[], &options), some(eq(second)));
    let adapter: ModelId = "league".parse()?;
    fixture.targets[first].models.push(adapter.clone());
    let request = RoutingRequest {
        adapter: Some(&adapter),
        ..fixture.request(1, &[])
    };
    expect_that!(
        choose(&fixture.targets, &request, &options),
        eq(&vec![first, second])
    );
    Ok(())
}

/// Requests with one hot prefix share their candidates. Without widening, these would be overloaded
/// while other targets are idle.
#[gtest]
fn a_hot_prefix_spills_over_and_ejected_targets_are_ranked_last() -> Result<()> {
    let options = Options {
        candidates: 2,
        ..Options::default()
    };
    let mut fixture = Fixture::new(8)?;
    let hot_targets = fixture.candidates(1, 2);
    for _ in 0..50 {
        hot_targets
            .iter()
            .for_each(|index| fixture.targets[*index].load.record_start());
    }
    let spill_target = fixture.first(1, &[], &options);
    expect_that!(
        spill_target.is_some_and(|index| !hot_targets.contains(&index)),
        eq(true)
    );
    for target in &mut fixture.targets {
        target.availability = Availability::Ejected;
    }
    expect_that!(
        choose(&fixture.targets, &fixture.request(1, &[]), &options).len(),
        eq(8)
    );
    fixture.targets[hot_targets[0]].availability = Availability::Available;
    expect_that!(fixture.first(1, &[], &options), some(eq(hot_targets[0])));
    Ok(())
}

#[gtest]
fn round_robin_and_least_loaded_rank_all_targets() -> Result<()> {
    let mut fixture = Fixture::new(4)?;
    let round_robin = Options {
        rule: Rule::RoundRobin,
        ..Options::default()
    };
    let seen: BTreeSet<_> = (0..4)
        .map(|number| fixture.first(number, &[], &round_robin))
        .collect();
    expect_that!(seen.len(), eq(4));
    for index in [0, 1, 3] {
        fixture.targets[index].load.record_start();
    }
    let least_loaded = Options {
        rule: Rule::LeastLoaded,
        ..Options::default()
    };
    expect_that!(fixture.first(9, &[], &least_loaded), some(eq(2)));
    Ok(())
}

/// Reports are late. Without the correction, all requests between two reports would go to the
/// target that was least loaded in the last one.
#[gtest]
fn load_counts_requests_that_the_report_cannot_include() {
    let mut load = Load::default();
    let report = |sequence, running, reported| LoadReport {
        sequence,
        running: [running, 0, 0],
        reported,
        ..LoadReport::default()
    };
    load.record_start();
    load.record_start();
    let mark = load.mark();
    load.record_start();
    load.apply_report(&report(1, 2, 1.0), mark);
    expect_that!(load.estimate(), eq(3.0));
    load.record_end();
    expect_that!(load.estimate(), eq(2.0));
    load.apply_report(&report(1, 9, 0.0), load.mark());
    expect_that!(load.estimate(), eq(2.0));
    load.apply_report(&report(2, 2, 6.5), load.mark());
    expect_that!(load.estimate(), eq(6.5));
    load.clear();
    load.apply_report(&report(1, 1, 0.0), load.mark());
    expect_that!(load.estimate(), eq(1.0));
}

#[gtest]
fn prefixes_tolerate_lost_events_and_expire() {
    let prompt: Vec<u8> = (0..5 * prefix::BLOCK_BYTES)
        .map(|n| (n / 7) as u8)
        .collect();
    let hashes = prefix::hashes(&prompt);
    let mut other = prompt.clone();
    other[0] ^= 1;
    expect_that!(
        prefix::hashes(&other)
            .iter()
            .any(|hash| hashes.contains(hash)),
        eq(false)
    );
    let mut cache = PrefixCache::new(3, Millis::new(100));
    cache.record(&hashes[2..3], Millis::new(10));
    expect_that!(cache.cached_blocks(&hashes, Millis::new(110)), eq(3));
    expect_that!(cache.cached_blocks(&hashes, Millis::new(111)), eq(0));
    cache.record(&[1, 2, 3], Millis::new(50));
    expect_that!(cache.cached_blocks(&hashes, Millis::new(60)), eq(0));
    for now in 60..200 {
        cache.record(&[7, 8], Millis::new(now));
    }
    expect_that!(cache.cached_blocks(&[7, 8], Millis::new(200)), eq(2));
}
