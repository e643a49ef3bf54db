//! The stored form of a bucket and the pure operations on it.

use std::collections::BTreeMap;

use cyc_store::{Kind, ObjectKey};
use cyc_types::{Incarnation, Millis, RequestId, ServiceId, TargetId, Tokens, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Bytes reserved by an open claim, so that its end fits later, at least without a body.
const END_RESERVE_BYTES: usize = 512;
/// Longest content type that is stored; a longer one is replaced.
const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// Number of the bucket of its service that stores the claim of `request`, below `buckets`.
pub fn bucket_of(request: RequestId, buckets: u32) -> u32 {
    hash::bucket(request.to_string().as_bytes(), buckets)
}

/// Number of buckets of each service.
///
/// A constant, since a request whose bucket changed could be claimed twice.
pub const BUCKETS: u32 = 64;

/// Key of the object that stores a bucket.
pub fn object_key(service: &ServiceId, bucket: u32) -> ObjectKey {
    ObjectKey::new(Kind::Claim, format!("{service}.{bucket}"))
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Open: the claimant may run the request, or has run it and not recorded the end yet.
    Claimed,
    /// The request was run.
    Done {
        /// HTTP status code of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: SmolStr,
        /// Body of the answer, or `None` if it was too long to be stored.
        body: Option<String>,
        /// The tokens billed.
        tokens: Tokens,
    },
    /// The claimant has not run the request and never will; any sidecar may claim it again.
    NotRun,
}

/// The claim of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the request body.
    pub fingerprint: u64,
    /// The sidecar incarnation that claimed the request.
    pub by: Incarnation,
    /// Number of the claim within `by`. Invariant: no two claims have the same `by` and `serial`.
    pub serial: u64,
    /// The target of that sidecar.
    pub target: TargetId,
    /// State of the request.
    pub state: State,
    /// Wall-clock time of the last change, for expiry.
    pub at: Millis,
}

impl Claim {
    /// True if `incarnation` made this claim and has not ended it.
    pub fn is_open_claim_of(&self, incarnation: &Incarnation) -> bool {
        self.by == *incarnation && self.state == State::Claimed
    }

    /// Upper bound of the encoded size of this claim, including the reserve for its end.
    fn accounted_bytes(&self) -> usize {
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

/// The result of [`Draft::add`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AddOutcome {
    /// The bucket holds this claim, with the same claimant and serial number.
    Claimed,
    /// The request already has this claim, which cannot be replaced.
    Taken(Claim),
    /// The request was claimed with a different body.
    KeyReused,
    /// The claim does not fit into the size limit of the bucket.
    Full,
}

impl Bucket {
    /// Removes claims that have not changed within `window`, but no open claims of `incarnation`.
    pub fn expire(&mut self, incarnation: &Incarnation, now: Millis, window: Millis) {
        self.claims.retain(|_, claim| {
            claim.is_open_claim_of(incarnation) || now.saturating_sub(claim.at) <= window
        });
    }

    /// Upper bound of the encoded size, including the reserves for the ends of open claims.
    pub fn accounted_bytes(&self) -> usize {
        let empty_bytes = r#"{"claims":{}}"#.len();
        empty_bytes
            + self
                .claims
                .values()
                .map(Claim::accounted_bytes)
                .sum::<usize>()
    }
}

/// A bucket with changes for the next write.
#[derive(Debug)]
pub struct Draft {
    bucket: Bucket,
    /// Invariant: equals `bucket.accounted_bytes()`.
    accounted_bytes: usize,
    max_bytes: usize,
    changed: bool,
}

impl Draft {
    /// Starts from `bucket`, whose [`Bucket::accounted_bytes`] may grow up to `max_bytes`.
    pub fn new(bucket: Bucket, max_bytes: usize) -> Self {
        let accounted_bytes = bucket.accounted_bytes();
        Self {
            bucket,
            accounted_bytes,
            max_bytes,
            changed: false,
        }
    }

    /// True if a claim was added or ended.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// The bucket with the changes.
    pub fn into_bucket(self) -> Bucket {
        self.bucket
    }

    /// The result that [`Draft::add`] would have, without a change.
    pub fn check(&self, request: RequestId, claim: &Claim) -> AddOutcome {
        let replaced_bytes = match self.bucket.claims.get(&request) {
            Some(found) if found.by == claim.by && found.serial == claim.serial => {
                return match found.state {
                    State::Claimed => AddOutcome::Claimed,
                    State::Done { .. } | State::NotRun => AddOutcome::Taken(found.clone()),
                };
            }
            Some(found) if found.state == State::NotRun => found.accounted_bytes(),
            Some(found) if found.fingerprint != claim.fingerprint => return AddOutcome::KeyReused,
            Some(found) => return AddOutcome::Taken(found.clone()),
            None => 0,
        };
        if self.accounted_bytes - replaced_bytes + claim.accounted_bytes() > self.max_bytes {
            return AddOutcome::Full;
        }
        AddOutcome::Claimed
    }

    /// Adds `claim` if [`Draft::check`] permits it. Idempotent.
    pub fn add(&mut self, request: RequestId, claim: Claim) -> AddOutcome {
        let added = self.check(request, &claim);
        let found = self.bucket.claims.get(&request);
        let is_present = found.is_some_and(|f| f.by == claim.by && f.serial == claim.serial);
        if added == AddOutcome::Claimed && !is_present {
            self.put(request, claim);
        }
        added
    }

    /// Ends the claim of `request` by this incarnation with this serial number, if it is open.
    ///
    /// A body that does not fit is omitted.
    pub fn end(
        &mut self,
        request: RequestId,
        claimant: (&Incarnation, u64),
        state: State,
        at: Millis,
    ) {
        let (incarnation, serial) = claimant;
        let Some(found) = self.bucket.claims.get(&request) else {
            return;
        };
        if !found.is_open_claim_of(incarnation) || serial != found.serial {
            return;
        }
        let mut claim = found.clone();
        let other_bytes = self.accounted_bytes - found.accounted_bytes();
        claim.state = state.with_bounded_content_type();
        claim.at = at;
        if other_bytes + claim.accounted_bytes() > self.max_bytes {
            claim.state.drop_body();
        }
        self.put(request, claim);
    }

    fn put(&mut self, request: RequestId, claim: Claim) {
        self.accounted_bytes += claim.accounted_bytes();
        if let Some(old) = self.bucket.claims.insert(request, claim) {
            self.accounted_bytes -= old.accounted_bytes();
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

    fn with_bounded_content_type(mut self) -> Self {
        if let Self::Done { content_type, .. } = &mut self
            && content_type.len() > MAX_CONTENT_TYPE_BYTES
        {
            *content_type = SmolStr::new_static("application/octet-stream");
        }
        self
    }
}
