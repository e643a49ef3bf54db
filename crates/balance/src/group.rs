//! The ready targets of a service, and which of them are considered for a request.
//!
//! Weighing 10,000 targets for each request would cost an entry more than the request itself. Of a
//! large service an entry therefore considers the preferred targets of the prompt's prefix and a
//! random sample of the others, a new one for each request, so that the requests of all entries
//! spread evenly however many targets and entries there are.

use std::collections::BTreeMap;

use cyc_route::Availability;
use cyc_types::{TargetId, hash};
use rand::{rngs::StdRng, seq::index};

use crate::{
    affinity::{self, MIN_PREFERRED},
    lane::Lane,
    prompt::Prompt,
};

/// Targets of a lane that are considered beside the preferred ones; all, if there are not more.
const SAMPLE_SIZE: usize = 64;
/// Targets of the other lane that are considered, in case those of the prompt's lane are full.
const OTHER_LANE_SAMPLE_SIZE: usize = 16;
/// Preferred targets that are ranked in addition, in case that some of them cannot be used.
const SPARE_PREFERRED: usize = 4;
/// Fraction of the shared parts that are assumed to be cached on the second preferred target:
/// some of the prefix's requests were sent there while the first one was busy.
const SECOND_AFFINITY: f64 = 0.5;

/// Targets that accept the same prompts.
#[derive(Debug, Clone, Default)]
struct Group {
    ids: Vec<TargetId>,
    /// Hashes of the ids.
    hashes: Vec<u64>,
    /// Indexes of the targets in the entry's availability zone.
    same_zone: Vec<usize>,
}

/// The ready targets of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceTargets {
    by_lane: BTreeMap<Lane, Group>,
}

/// The targets considered for a request.
#[derive(Debug)]
pub struct Considered<'a> {
    /// Targets with the fraction of the shared parts that are assumed to be cached there.
    pub targets: Vec<(&'a TargetId, f64)>,
    /// An ejected target that is due for a probe.
    pub probe: Option<&'a TargetId>,
}

impl Considered<'_> {
    fn contains(&self, id: &TargetId) -> bool {
        self.targets
            .iter()
            .any(|(other, _)| std::ptr::eq(*other, id))
    }
}

impl Group {
    fn add(&mut self, id: TargetId, is_same_zone: bool) {
        if is_same_zone {
            self.same_zone.push(self.ids.len());
        }
        self.hashes.push(hash::stable(id.as_str().as_bytes()));
        self.ids.push(id);
    }

    /// Draws up to `count` targets in random order, half of them from the entry's zone if there
    /// are more targets.
    fn sample(&self, count: usize, rng: &mut StdRng) -> Vec<&TargetId> {
        let of = |indexes: Vec<usize>| indexes.into_iter().map(|index| &self.ids[index]);
        if self.ids.len() <= count {
            return of(index::sample(rng, self.ids.len(), self.ids.len()).into_vec()).collect();
        }
        let near = self.same_zone.len().min(count / 2);
        let near = index::sample(rng, self.same_zone.len(), near);
        let near: Vec<usize> = near
            .into_iter()
            .map(|index| self.same_zone[index])
            .collect();
        let any = index::sample(rng, self.ids.len(), count - near.len()).into_vec();
        of(near).chain(of(any)).collect()
    }
}

impl ServiceTargets {
    /// Adds a target.
    pub fn add(&mut self, id: TargetId, lane: Lane, is_same_zone: bool) {
        let group = self.by_lane.entry(lane).or_default();
        group.add(id, is_same_zone);
    }

    /// Number of targets in a lane.
    pub fn lane_len(&self, lane: Lane) -> usize {
        self.by_lane.get(&lane).map_or(0, |group| group.ids.len())
    }

    /// Selects the targets to consider for a request: the first `preferred` ones for the prefix of
    /// its prompt, and a sample. `usable` returns the availability of a target that the request
    /// could be sent to. Ejected targets are among them only if there are no others.
    pub fn consider(
        &self,
        prompt: Option<&Prompt>,
        preferred: usize,
        rng: &mut StdRng,
        usable: impl Fn(&TargetId) -> Option<Availability>,
    ) -> Considered<'_> {
        let input = prompt.map(|prompt| prompt.input.get());
        let accepts = |lane: &Lane| input.is_none_or(|input| lane.accepts(input));
        let mut considered = Considered {
            targets: Vec::new(),
            probe: None,
        };
        let prefix = prompt.and_then(|prompt| prompt.shared().last());
        if let Some(prefix) = prefix.filter(|_| preferred > 0) {
            let lanes = self.by_lane.iter().filter(|(lane, _)| accepts(lane));
            let lanes: Vec<&Group> = lanes.map(|(_, group)| group).collect();
            let hashes = lanes.iter().flat_map(|group| group.hashes.iter().copied());
            let ranked = affinity::rank(prefix.id.get(), hashes, preferred + SPARE_PREFERRED);
            let member = |index: usize| {
                let mut rest = index;
                lanes.iter().find_map(|group| {
                    let id = group.ids.get(rest);
                    rest = rest.saturating_sub(group.ids.len());
                    id
                })
            };
            let ranked = ranked.into_iter().filter_map(member);
            let available = ranked.filter(|id| usable(id) == Some(Availability::Available));
            let available: Vec<&TargetId> = available.take(preferred).collect();
            considered.add_preferred(available, rng);
        }
        let mut ejected = Vec::new();
        for (lane, group) in &self.by_lane {
            let count = match accepts(lane) {
                true => SAMPLE_SIZE,
                false => OTHER_LANE_SAMPLE_SIZE,
            };
            for id in group.sample(count, rng) {
                match usable(id) {
                    Some(Availability::Available) if !considered.contains(id) => {
                        considered.targets.push((id, 0.0));
                    }
                    Some(Availability::Available) | None => {}
                    Some(Availability::Probe) => {
                        considered.probe = Some(id);
                        ejected.push((id, 0.0));
                    }
                    Some(Availability::Ejected) => ejected.push((id, 0.0)),
                }
            }
        }
        if considered.targets.is_empty() {
            considered.targets = ejected;
        }
        if considered.targets.is_empty() {
            // Few targets can be used, and none of them is in the samples.
            let all = self.by_lane.values().flat_map(|group| &group.ids);
            let usable = all.filter(|id| usable(id).is_some());
            considered.targets = usable.map(|id| (id, 0.0)).collect();
        }
        considered
    }
}

impl<'a> Considered<'a> {
    /// Adds the preferred targets of a prefix, best first.
    fn add_preferred(&mut self, ranked: Vec<&'a TargetId>, rng: &mut StdRng) {
        if ranked.len() <= MIN_PREFERRED {
            let affinities = [1.0, SECOND_AFFINITY];
            self.targets.extend(ranked.into_iter().zip(affinities));
            return;
        }
        // Entries that all began with the first one would send it the requests of all.
        let order = index::sample(rng, ranked.len(), ranked.len());
        let shuffled = order.into_iter().map(|index| (ranked[index], 1.0));
        self.targets.extend(shuffled);
    }
}
