//! The task that writes one bucket as long as operations are queued for it.

use std::{collections::HashMap, mem, sync::Arc};

use cyc_store::{Error, ObjectKey, Precondition};
use cyc_types::{Millis, RequestId, Version};
use tokio::sync::oneshot;

use crate::{
    bucket::{AddOutcome, Bucket, Claim, Draft, State},
    commit::{ClaimOutcome, Shared},
    op::{Op, resolve_abandoned},
    waiter::SendState,
};

/// A bucket as last read or written by this process.
#[derive(Debug, Clone)]
pub(crate) struct CachedBucket {
    version: Version,
    bucket: Bucket,
}

/// State of a worker between rounds. A round is one attempt to write all its operations.
struct Worker {
    shared: Arc<Shared>,
    key: ObjectKey,
    /// Operations taken from the queue, in order, whose outcome is not known yet.
    ops: Vec<Op>,
    cached: Option<CachedBucket>,
    /// The version expected by a write whose answer was lost. While the object has this version,
    /// that write may still take effect; only another write to the object rules this out.
    unconfirmed_base: Option<Version>,
    /// Size limit of the bucket; lowered when the platform refuses a write as too large.
    max_bytes: usize,
    backoff: Millis,
}

/// The result of a round, which decides when the next one starts.
enum Round {
    Resolved,
    RetryNow,
    BackOff,
}

/// Writes the bucket `key` until no operations are queued for it.
pub(crate) async fn run_worker(shared: Arc<Shared>, key: ObjectKey) {
    let cached = shared
        .queues()
        .get_mut(&key)
        .and_then(|queue| queue.cached.take());
    let (max_bytes, backoff) = (
        shared.options.max_bucket_bytes,
        shared.options.first_backoff,
    );
    let mut worker = Worker {
        shared,
        key,
        ops: Vec::new(),
        cached,
        unconfirmed_base: None,
        max_bytes,
        backoff,
    };
    while worker.take_queued() {
        match worker.round().await {
            Round::Resolved => worker.backoff = worker.shared.options.first_backoff,
            Round::RetryNow => {}
            Round::BackOff => worker.back_off().await,
        }
    }
    worker.shared.became_idle.notify_waiters();
}

impl Worker {
    /// Takes the queued operations. If none is left, marks the queue as idle and returns false.
    fn take_queued(&mut self) -> bool {
        let mut queues = self.shared.queues();
        let queue = queues.entry(self.key.clone()).or_default();
        self.ops.append(&mut queue.ops);
        resolve_abandoned(&mut self.ops);
        // The operations of an unconfirmed write stay in `ops`, so there is none if `ops` is empty.
        if self.ops.is_empty() {
            queue.busy = false;
            queue.cached = self.cached.take();
        }
        !self.ops.is_empty()
    }

    async fn back_off(&mut self) {
        tokio::time::sleep(self.backoff.duration()).await;
        self.backoff = (self.backoff + self.backoff).min(self.shared.options.max_backoff);
    }

    async fn round(&mut self) -> Round {
        let is_newly_read = self.cached.is_none();
        let current = match self.cached.take() {
            Some(cached) => cached,
            None => match self.read().await {
                Some(read) => read,
                None => return Round::BackOff,
            },
        };
        let mut bucket = current.bucket.clone();
        bucket.expire(
            &self.shared.incarnation,
            self.shared.clock.wall_time(),
            self.shared.options.retry_window,
        );
        let mut draft = Draft::new(bucket, self.max_bytes);
        let outcomes = self.apply(&mut draft);
        let is_changed = draft.is_changed();
        // A cached bucket may be stale; outcomes that need no write are taken from a new read.
        if !is_changed && !is_newly_read {
            return Round::RetryNow;
        }
        if !is_changed && self.unconfirmed_base != Some(current.version) {
            self.resolve(current, outcomes);
            return Round::Resolved;
        }
        self.write(current.version, draft.into_bucket(), outcomes)
            .await
    }

    async fn read(&self) -> Option<CachedBucket> {
        match self.shared.platform.get(&self.key).await {
            Ok(None) => Some(CachedBucket {
                version: Version::ZERO,
                bucket: Bucket::default(),
            }),
            Ok(Some(object)) => {
                let bucket = serde_json::from_slice(&object.body).ok()?;
                Some(CachedBucket {
                    version: object.version,
                    bucket,
                })
            }
            Err(_) => None,
        }
    }

    /// Applies all operations and returns the outcome of each, valid once the write is durable. The
    /// outcome of an [`Op::End`] is not used.
    fn apply(&self, draft: &mut Draft) -> Vec<ClaimOutcome> {
        let (incarnation, now) = (&self.shared.incarnation, self.shared.clock.wall_time());
        let mut outcomes = Vec::with_capacity(self.ops.len());
        for op in &self.ops {
            outcomes.push(match op {
                Op::Claim {
                    request,
                    fingerprint,
                    serial,
                    send_state,
                    ..
                } => {
                    let claim = Claim {
                        fingerprint: *fingerprint,
                        by: incarnation.clone(),
                        serial: *serial,
                        target: self.shared.target.clone(),
                        state: State::Claimed,
                        at: now,
                    };
                    self.add(draft, *request, claim, send_state)
                }
                Op::End {
                    request,
                    serial,
                    state,
                } => {
                    draft.end(*request, (incarnation, *serial), state.clone(), now);
                    ClaimOutcome::Unavailable
                }
            });
        }
        outcomes
    }

    fn add(
        &self,
        draft: &mut Draft,
        request: RequestId,
        claim: Claim,
        send_state: &SendState,
    ) -> ClaimOutcome {
        if draft.check(request, &claim) == AddOutcome::Claimed && !send_state.mark_sent() {
            return ClaimOutcome::Unavailable;
        }
        match draft.add(request, claim) {
            AddOutcome::Claimed => ClaimOutcome::Claimed,
            AddOutcome::KeyReused => ClaimOutcome::KeyReused,
            AddOutcome::Full => ClaimOutcome::Unavailable,
            AddOutcome::Taken(found) if found.by == self.shared.incarnation => {
                ClaimOutcome::ClaimedBySelf(found.state)
            }
            AddOutcome::Taken(found) => ClaimOutcome::ClaimedByOther {
                by: found.by,
                target: found.target,
                state: found.state,
                fingerprint: found.fingerprint,
            },
        }
    }

    async fn write(
        &mut self,
        base: Version,
        new_bucket: Bucket,
        outcomes: Vec<ClaimOutcome>,
    ) -> Round {
        let expect = match base {
            Version::ZERO => Precondition::Absent,
            version => Precondition::Version(version),
        };
        let Ok(body) = serde_json::to_vec(&new_bucket) else {
            return Round::BackOff;
        };
        match self
            .shared
            .platform
            .put(&self.key, body.into(), expect)
            .await
        {
            Ok(version) => {
                self.resolve(
                    CachedBucket {
                        version,
                        bucket: new_bucket,
                    },
                    outcomes,
                );
                Round::Resolved
            }
            Err(Error::Conflict) => Round::RetryNow,
            Err(Error::TooLarge(_)) => {
                self.max_bytes -= self.max_bytes / 10;
                Round::BackOff
            }
            Err(Error::Throttled) => Round::BackOff,
            Err(Error::Unavailable(_) | Error::Malformed(_)) => {
                self.unconfirmed_base = Some(base);
                Round::BackOff
            }
        }
    }

    /// Reports the outcomes. A durable claim whose caller was cancelled is ended as not run.
    fn resolve(&mut self, current: CachedBucket, outcomes: Vec<ClaimOutcome>) {
        self.cached = Some(current);
        self.unconfirmed_base = None;
        for (op, outcome) in mem::take(&mut self.ops).into_iter().zip(outcomes) {
            if let Op::Claim {
                request,
                serial,
                tx,
                ..
            } = op
            {
                self.notify_caller(request, serial, tx, outcome);
            }
        }
    }

    fn notify_caller(
        &mut self,
        request: RequestId,
        serial: u64,
        tx: oneshot::Sender<ClaimOutcome>,
        outcome: ClaimOutcome,
    ) {
        if outcome == ClaimOutcome::Claimed {
            // Recorded before the caller is notified, so that its `done` finds the serial number.
            self.update_held_claims(|held_claims| held_claims.insert(request, serial));
        }
        if let Err(ClaimOutcome::Claimed) = tx.send(outcome) {
            self.update_held_claims(|held_claims| held_claims.remove(&request));
            self.ops.push(Op::End {
                request,
                serial,
                state: State::NotRun,
            });
        }
    }

    fn update_held_claims<T>(&self, change: impl FnOnce(&mut HashMap<RequestId, u64>) -> T) -> T {
        let mut queues = self.shared.queues();
        change(&mut queues.entry(self.key.clone()).or_default().held_claims)
    }
}
