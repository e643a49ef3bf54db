//! The task that writes one bucket while operations wait for it.

use std::{collections::HashMap, mem, sync::Arc};

use cyc_store::{Error, Expect, ObjectKey};
use cyc_types::{Millis, RequestId, Version};
use tokio::sync::oneshot;

use crate::{
    bucket::{Added, Bucket, Claim, Draft, State},
    commit::{ClaimOutcome, Inner},
    op::{Op, drop_abandoned},
    waiter::Stage,
};

/// A bucket as last read or written.
#[derive(Debug, Clone)]
pub(crate) struct Cached {
    version: Version,
    bucket: Bucket,
}

/// The state of a worker between rounds.
struct Worker {
    cx: Arc<Inner>,
    key: ObjectKey,
    /// Operations taken from the queue, in order, that have no definite outcome yet.
    ops: Vec<Op>,
    cached: Option<Cached>,
    /// The version that a write without an answer expected. While the object has this version,
    /// that write may still take effect, so only another write bars it.
    doubt: Option<Version>,
    limit: usize,
    wait: Millis,
}

/// How a round ended.
enum Round {
    Settled,
    Again,
    Wait,
}

/// Writes the bucket `key` until nothing waits for it.
pub(crate) async fn work(cx: Arc<Inner>, key: ObjectKey) {
    let cached = cx
        .queues()
        .get_mut(&key)
        .and_then(|queue| queue.cached.take());
    let (limit, wait) = (cx.options.bucket_bytes, cx.options.retry_min);
    let mut worker = Worker {
        cx,
        key,
        ops: Vec::new(),
        cached,
        doubt: None,
        limit,
        wait,
    };
    while worker.take() {
        match worker.round().await {
            Round::Settled => worker.wait = worker.cx.options.retry_min,
            Round::Again => {}
            Round::Wait => worker.back_off().await,
        }
    }
    worker.cx.idle.notify_waiters();
}

impl Worker {
    /// Takes the waiting operations; returns false, with the queue marked idle, if there is none.
    fn take(&mut self) -> bool {
        let mut queues = self.cx.queues();
        let queue = queues.entry(self.key.clone()).or_default();
        self.ops.append(&mut queue.ops);
        drop_abandoned(&mut self.ops);
        // A write in doubt may carry a claim; its operation stays in `ops` until it is resolved.
        if self.ops.is_empty() {
            queue.busy = false;
            queue.cached = self.cached.take();
        }
        !self.ops.is_empty()
    }

    async fn back_off(&mut self) {
        tokio::time::sleep(self.wait.duration()).await;
        self.wait = (self.wait + self.wait).min(self.cx.options.retry_max);
    }

    async fn round(&mut self) -> Round {
        let is_fresh = self.cached.is_none();
        let now = match self.cached.take() {
            Some(cached) => cached,
            None => match self.read().await {
                Some(read) => read,
                None => return Round::Wait,
            },
        };
        let mut bucket = now.bucket.clone();
        bucket.expire(
            &self.cx.me,
            self.cx.clock.wall(),
            self.cx.options.retry_window,
        );
        let mut draft = Draft::new(bucket, self.limit);
        let outcomes = self.apply(&mut draft);
        let is_changed = draft.is_changed();
        if !is_changed && !is_fresh {
            return Round::Again;
        }
        if !is_changed && self.doubt != Some(now.version) {
            self.settle(now, outcomes);
            return Round::Settled;
        }
        self.write(now.version, draft.into_bucket(), outcomes).await
    }

    async fn read(&self) -> Option<Cached> {
        match self.cx.platform.get(&self.key).await {
            Ok(None) => Some(Cached {
                version: Version::ZERO,
                bucket: Bucket::default(),
            }),
            Ok(Some(object)) => {
                let bucket = serde_json::from_slice(&object.body).ok()?;
                Some(Cached {
                    version: object.version,
                    bucket,
                })
            }
            Err(_) => None,
        }
    }

    /// Applies all operations and returns what each caller is told once the write is durable.
    fn apply(&self, draft: &mut Draft) -> Vec<ClaimOutcome> {
        let (me, now) = (&self.cx.me, self.cx.clock.wall());
        let mut outcomes = Vec::with_capacity(self.ops.len());
        for op in &self.ops {
            outcomes.push(match op {
                Op::Claim {
                    request,
                    fingerprint,
                    serial,
                    stage,
                    ..
                } => {
                    let claim = Claim {
                        fingerprint: *fingerprint,
                        by: me.clone(),
                        serial: *serial,
                        target: self.cx.target.clone(),
                        state: State::Claimed,
                        at: now,
                    };
                    self.add(draft, *request, claim, stage)
                }
                Op::End {
                    request,
                    serial,
                    state,
                } => {
                    draft.end(*request, (me, *serial), state.clone(), now);
                    ClaimOutcome::Unavailable
                }
            });
        }
        outcomes
    }

    fn add(&self, draft: &mut Draft, id: RequestId, claim: Claim, stage: &Stage) -> ClaimOutcome {
        if draft.check(id, &claim) == Added::Claimed && !stage.send() {
            return ClaimOutcome::Unavailable;
        }
        match draft.add(id, claim) {
            Added::Claimed => ClaimOutcome::Claimed,
            Added::KeyReused => ClaimOutcome::KeyReused,
            Added::Full => ClaimOutcome::Unavailable,
            Added::Taken(found) if found.by == self.cx.me => ClaimOutcome::Mine(found.state),
            Added::Taken(found) => ClaimOutcome::Other {
                by: found.by,
                target: found.target,
                state: found.state,
                fingerprint: found.fingerprint,
            },
        }
    }

    async fn write(&mut self, old: Version, next: Bucket, outcomes: Vec<ClaimOutcome>) -> Round {
        let expect = match old {
            Version::ZERO => Expect::Absent,
            version => Expect::Version(version),
        };
        let Ok(body) = serde_json::to_vec(&next) else {
            return Round::Wait;
        };
        match self.cx.platform.put(&self.key, body.into(), expect).await {
            Ok(version) => {
                self.settle(
                    Cached {
                        version,
                        bucket: next,
                    },
                    outcomes,
                );
                Round::Settled
            }
            Err(Error::Conflict) => Round::Again,
            Err(Error::TooLarge(_)) => {
                self.limit -= self.limit / 10;
                Round::Wait
            }
            Err(Error::Throttled) => Round::Wait,
            Err(Error::Unavailable(_) | Error::Malformed(_)) => {
                self.doubt = Some(old);
                Round::Wait
            }
        }
    }

    /// Tells the callers; a claim whose caller is gone is queued to end as not run.
    fn settle(&mut self, now: Cached, outcomes: Vec<ClaimOutcome>) {
        self.cached = Some(now);
        self.doubt = None;
        for (op, outcome) in mem::take(&mut self.ops).into_iter().zip(outcomes) {
            if let Op::Claim {
                request,
                serial,
                tx,
                ..
            } = op
            {
                self.tell(request, serial, tx, outcome);
            }
        }
    }

    fn tell(
        &mut self,
        request: RequestId,
        serial: u64,
        tx: oneshot::Sender<ClaimOutcome>,
        outcome: ClaimOutcome,
    ) {
        if outcome == ClaimOutcome::Claimed {
            // Before the caller knows, so that its `done` finds the number.
            self.held(|held| held.insert(request, serial));
        }
        if let Err(ClaimOutcome::Claimed) = tx.send(outcome) {
            self.held(|held| held.remove(&request));
            self.ops.push(Op::End {
                request,
                serial,
                state: State::NotRun,
            });
        }
    }

    fn held<T>(&self, change: impl FnOnce(&mut HashMap<RequestId, u64>) -> T) -> T {
        let mut queues = self.cx.queues();
        change(&mut queues.entry(self.key.clone()).or_default().held)
    }
}
