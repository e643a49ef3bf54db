//! Claims as this sidecar makes them: the bucket comes from the request.

use cyc_claim::{BUCKETS, ClaimOutcome, Committer, DoneAnswer, bucket_of};
use cyc_proto::sidecar::RunRequest;
use cyc_types::Millis;

/// Names the bucket of each request for the committer.
pub struct Claims {
    committer: Committer,
}

impl Claims {
    /// Wraps a committer.
    pub fn new(committer: Committer) -> Self {
        Self { committer }
    }

    /// Makes the claim of a request durable.
    pub async fn claim(&self, req: &RunRequest, wait: Millis) -> ClaimOutcome {
        let bucket = bucket_of(req.request, BUCKETS);
        self.committer
            .claim(&req.service, bucket, req.request, req.fingerprint, wait)
            .await
    }

    /// Records the answer of a claimed request.
    pub fn done(&self, req: &RunRequest, answer: DoneAnswer) {
        self.committer.done(
            &req.service,
            bucket_of(req.request, BUCKETS),
            req.request,
            answer,
        );
    }

    /// Records that a claimed request was not run.
    pub fn not_run(&self, req: &RunRequest) {
        self.committer
            .not_run(&req.service, bucket_of(req.request, BUCKETS), req.request);
    }

    /// Waits until every end is recorded.
    pub async fn flush(&self) {
        self.committer.flush().await;
    }
}
