//! The value of a bucket object and the operations on it.

use std::collections::BTreeMap;

use cyc_store::{Kind, ObjectKey};
use cyc_types::{Incarnation, Millis, RequestId, ServiceId, TargetId, Tokens, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Bytes that an open claim keeps free for its later end without a body.
const END_RESERVE_BYTES: usize = 512;
/// The longest content type that is kept, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// Returns which bucket of its service `request` falls into.
pub fn bucket_of(request: RequestId, buckets: u32) -> u32 {
    hash::bucket(request.to_string().as_bytes(), buckets)
}

/// The number of buckets of each service.
///
/// A constant, since a request whose bucket changed could be claimed twice.
pub const BUCKETS: u32 = 64;

/// Names the object of a bucket.
pub fn object_key(service: &ServiceId, bucket: u32) -> ObjectKey {
    ObjectKey::new(Kind::Claim, format!("{service}.{bucket}"))
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The claimant may run the request, or has run it and has not recorded the end.
    Claimed,
    /// The run has ended.
    Done {
        /// HTTP status code of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: SmolStr,
        /// The answer. `None` if it was too long to be kept.
        body: Option<String>,
        /// The tokens billed.
        tokens: Tokens,
    },
    /// The claimant has not run the request and will not; anybody may claim it again.
    NotRun,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the body of the request.
    pub fingerprint: u64,
    /// The sidecar incarnation that made the claim.
    pub by: Incarnation,
    /// Number of the claim within that incarnation. Invariant: no two claims share both.
    pub serial: u64,
    /// The target of that sidecar.
    pub target: TargetId,
    /// What became of the request.
    pub state: State,
    /// Wall-clock time of the last change, for expiry.
    pub at: Millis,
}

impl Claim {
    /// Returns true if `me` made this claim and has not ended it.
    pub fn is_open_of(&self, me: &Incarnation) -> bool {
        self.by == *me && self.state == State::Claimed
    }

    /// Bytes to count for this claim, with room for its end.
    fn cost(&self) -> usize {
        let reserve = match self.state {
            State::Claimed => END_RESERVE_BYTES,
            State::Done { .. } | State::NotRun => 0,
        };
        // The key and the punctuation around it take 36 bytes.
        36 + reserve + serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}

/// The claims of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The claims by request.
    pub claims: BTreeMap<RequestId, Claim>,
}

/// The result of trying to add a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Added {
    /// The claim is in the bucket, as this very claim.
    Claimed,
    /// Another claim of the same request stands in the way.
    Taken(Claim),
    /// The request was claimed with another body.
    KeyReused,
    /// There is no room without dropping live claims.
    Full,
}

impl Bucket {
    /// Drops claims that have not changed within `window`; open claims of `me` stay.
    pub fn expire(&mut self, me: &Incarnation, now: Millis, window: Millis) {
        self.claims
            .retain(|_, claim| claim.is_open_of(me) || now.saturating_sub(claim.at) <= window);
    }

    /// Bytes to count for all claims, with room for the ends of the open ones.
    pub fn cost(&self) -> usize {
        let empty = r#"{"claims":{}}"#.len();
        empty + self.claims.values().map(Claim::cost).sum::<usize>()
    }
}

/// A bucket that is being changed for the next write.
#[derive(Debug)]
pub struct Draft {
    bucket: Bucket,
    /// Invariant: the cost of `bucket`.
    cost: usize,
    limit: usize,
    changed: bool,
}

impl Draft {
    /// Starts from `bucket`, which may cost up to `limit` bytes.
    pub fn new(bucket: Bucket, limit: usize) -> Self {
        let cost = bucket.cost();
        Self {
            bucket,
            cost,
            limit,
            changed: false,
        }
    }

    /// Returns true if a claim was added or ended.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Returns the changed bucket.
    pub fn into_bucket(self) -> Bucket {
        self.bucket
    }

    /// Tells what [`Draft::add`] would do.
    pub fn check(&self, request: RequestId, claim: &Claim) -> Added {
        let replaced = match self.bucket.claims.get(&request) {
            Some(found) if found.by == claim.by && found.serial == claim.serial => {
                return match found.state {
                    State::Claimed => Added::Claimed,
                    State::Done { .. } | State::NotRun => Added::Taken(found.clone()),
                };
            }
            Some(found) if found.state == State::NotRun => found.cost(),
            Some(found) if found.fingerprint != claim.fingerprint => return Added::KeyReused,
            Some(found) => return Added::Taken(found.clone()),
            None => 0,
        };
        if self.cost - replaced + claim.cost() > self.limit {
            return Added::Full;
        }
        Added::Claimed
    }

    /// Adds `claim` unless something stands in the way; adding the same claim again is harmless.
    pub fn add(&mut self, request: RequestId, claim: Claim) -> Added {
        let added = self.check(request, &claim);
        let found = self.bucket.claims.get(&request);
        let is_there = found.is_some_and(|f| f.by == claim.by && f.serial == claim.serial);
        if added == Added::Claimed && !is_there {
            self.put(request, claim);
        }
        added
    }

    /// Ends the claim of `request` that `claimant` made under this serial number, if it is open.
    ///
    /// A body that does not fit is left out.
    pub fn end(
        &mut self,
        request: RequestId,
        claimant: (&Incarnation, u64),
        state: State,
        at: Millis,
    ) {
        let (me, serial) = claimant;
        let Some(found) = self.bucket.claims.get(&request) else {
            return;
        };
        if !found.is_open_of(me) || serial != found.serial {
            return;
        }
        let mut claim = found.clone();
        let rest = self.cost - found.cost();
        claim.state = state.with_short_content_type();
        claim.at = at;
        if rest + claim.cost() > self.limit {
            claim.state.drop_body();
        }
        self.put(request, claim);
    }

    fn put(&mut self, request: RequestId, claim: Claim) {
        self.cost += claim.cost();
        if let Some(old) = self.bucket.claims.insert(request, claim) {
            self.cost -= old.cost();
        }
        self.changed = true;
    }
}

impl State {
    fn drop_body(&mut self) {
        if let Self::Done { body, .. } = self {
            *body = None;
        }
    }

    fn with_short_content_type(mut self) -> Self {
        if let Self::Done { content_type, .. } = &mut self
            && content_type.len() > MAX_CONTENT_TYPE_BYTES
        {
            *content_type = SmolStr::new_static("application/octet-stream");
        }
        self
    }
}
