//! Candidates by rendezvous hashing: every entry finds the same ones in the same order.

use std::cmp::Reverse;

use cyc_types::{ModelId, RequestId, ServiceId, hash};

use crate::target::Target;

/// Returns the key of a non-idempotent request: all requests of a claim bucket share it.
pub fn bucket_key(service: &ServiceId, bucket: u32) -> u64 {
    hash::stable(format!("{service}.{bucket}").as_bytes())
}

/// Returns a key for requests without affinity, which spreads them.
pub fn spread_key(request: RequestId) -> u64 {
    hash::stable(&request.get().to_be_bytes())
}

/// Returns the indexes of the first `count` candidates for `key`, in rendezvous order.
///
/// Candidates serve `service`, are not draining and hold `model`. Where no target holds it, all
/// that serve the service are candidates, since each may load it. The order depends on nothing
/// that entries see at different times, but for those conditions.
pub fn candidates(
    targets: &[Target],
    service: &ServiceId,
    model: Option<&ModelId>,
    key: u64,
    count: usize,
) -> Vec<usize> {
    let serves = |target: &Target| !target.draining && target.service == *service;
    let holds = |target: &Target| model.is_none_or(|model| target.has(model));
    let mut found = weigh(targets, key, |target| serves(target) && holds(target));
    if found.is_empty() {
        found = weigh(targets, key, serves);
    }
    if count < found.len() {
        found.select_nth_unstable(count);
        found.truncate(count);
    }
    found.sort_unstable();
    found.into_iter().map(|(_, index)| index).collect()
}

fn weigh(
    targets: &[Target],
    key: u64,
    is_candidate: impl Fn(&Target) -> bool,
) -> Vec<(Reverse<u64>, usize)> {
    let all = targets.iter().enumerate();
    let kept = all.filter(|(_, target)| is_candidate(target));
    let weighed =
        kept.map(|(index, target)| (Reverse(hash::rendezvous(key, target.id.as_str())), index));
    weighed.collect()
}
