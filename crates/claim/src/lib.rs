//! Durable claims of non-idempotent requests.
//!
//! Before a target sees a non-idempotent request, its sidecar makes a claim durable in a bucket
//! object of the platform. A request has at most one claim, so at most one sidecar runs it.
//! [`bucket`] defines the value of such an object and its pure operations, [`commit`] writes all
//! operations pending on a bucket in one compare-and-swap (group commit).

pub mod bucket;
pub mod commit;
mod op;
mod waiter;
mod worker;

pub use bucket::{BUCKETS, Bucket, Claim, Draft, State, bucket_of, object_key};
pub use commit::{ClaimOutcome, Committer, DoneAnswer, Options};
