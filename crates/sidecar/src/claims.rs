//! Durable claims of non-idempotent requests, whose bucket follows from the request id.

use cyc_claim::{BUCKETS, ClaimOutcome, Committer, DoneAnswer, bucket_of};
use cyc_proto::sidecar::RunRequest;
use cyc_types::Millis;

/// Writes claims through the committer, which groups them by bucket.
pub struct Claims {
    committer: Committer,
}

impl Claims {
    /// Creates claims that are written by `committer`.
    pub fn new(committer: Committer) -> Self {
        Self { committer }
    }

    /// Claims a request durably, waiting at most `wait`.
    pub async fn claim(&self, req: &RunRequest, wait: Millis) -> ClaimOutcome {
        let bucket = bucket_of(req.request, BUCKETS);
        self.committer
            .claim(&req.service, bucket, req.request, req.fingerprint, wait)
            .await
    }

    /// Records the answer of a claimed request in its claim.
    pub fn done(&self, req: &RunRequest, answer: DoneAnswer) {
        self.committer.done(
            &req.service,
            bucket_of(req.request, BUCKETS),
            req.request,
            answer,
        );
    }

    /// Records in its claim that a claimed request was not run.
    pub fn not_run(&self, req: &RunRequest) {
        self.committer
            .not_run(&req.service, bucket_of(req.request, BUCKETS), req.request);
    }

    /// Waits until all claims and ends that were queued are written.
    pub async fn flush(&self) {
        self.committer.flush().await;
    }
}
