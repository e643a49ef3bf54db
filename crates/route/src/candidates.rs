//! Candidates by rendezvous hashing: all entries compute the same candidates in the same order.

use std::cmp::Reverse;

use cyc_types::{ModelId, RequestId, ServiceId, hash};

use crate::target::Target;

/// Returns the rendezvous key of a non-idempotent request. All requests of a claim bucket share it.
pub fn bucket_key(service: &ServiceId, bucket: u32) -> u64 {
    hash::stable(format!("{service}.{bucket}").as_bytes())
}

/// Returns a rendezvous key that spreads requests without affinity over all targets.
pub fn spread_key(request: RequestId) -> u64 {
    hash::stable(&request.get().to_be_bytes())
}

/// Returns the indexes of the first `count` candidates for `key`, in rendezvous order.
///
/// Candidates serve `service`, are not draining and have loaded `model`. If no target has loaded
/// it, all targets that serve the service are candidates, since each may load it. The result
/// depends on no other state, so that entries that agree on these conditions agree on the order.
pub fn candidates(
    targets: &[Target],
    service: &ServiceId,
    model: Option<&ModelId>,
    key: u64,
    count: usize,
) -> Vec<usize> {
    let serves = |target: &Target| !target.draining && target.services.contains(service);
    let has_loaded = |target: &Target| model.is_none_or(|model| target.has_loaded(model));
    let mut found = rendezvous_scores(targets, key, |target| serves(target) && has_loaded(target));
    if found.is_empty() {
        found = rendezvous_scores(targets, key, serves);
    }
    if count < found.len() {
        found.select_nth_unstable(count);
        found.truncate(count);
    }
    found.sort_unstable();
    found.into_iter().map(|(_, index)| index).collect()
}

fn rendezvous_scores(
    targets: &[Target],
    key: u64,
    is_candidate: impl Fn(&Target) -> bool,
) -> Vec<(Reverse<u64>, usize)> {
    let all = targets.iter().enumerate();
    let kept = all.filter(|(_, target)| is_candidate(target));
    let scored = kept.map(|(index, target)| {
        (
            Reverse(hash::rendezvous_weight(key, target.id.as_str())),
            index,
        )
    });
    scored.collect()
}
