//! Tests of claims: bucket operations, group commit, and races with lost and delayed writes.

#[path = "claim/bucket.rs"]
mod bucket;
#[path = "claim/commit.rs"]
mod commit;
#[path = "claim/fake.rs"]
mod fake;
#[path = "claim/race.rs"]
mod race;
