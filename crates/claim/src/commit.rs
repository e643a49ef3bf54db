//! The committer, which makes claims and their ends durable by group commit.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use cyc_store::{MAX_VALUE_SIZE, ObjectKey, Platform};
use cyc_types::{Clock, Incarnation, Millis, RequestId, ServiceId, TargetId, Tokens};
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::{
    bucket::{State, object_key},
    op::Op,
    waiter::{SendState, Waiter},
    worker::{CachedBucket, run_worker},
};

/// Settings of the committer.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time that a claim is kept after its last change.
    pub retry_window: Millis,
    /// Longest body of an answer that is stored; a longer one is omitted.
    pub max_body_bytes: usize,
    /// Size limit of a bucket object.
    pub max_bucket_bytes: usize,
    /// Backoff before the first retry of a failed call to the platform.
    pub first_backoff: Millis,
    /// Upper bound of the backoff.
    pub max_backoff: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_window: Millis::new(24 * 60 * Millis::MINUTE.get()),
            max_body_bytes: 16 * 1024,
            max_bucket_bytes: MAX_VALUE_SIZE.get() as usize,
            first_backoff: Millis::new(20),
            max_backoff: Millis::new(1_000),
        }
    }
}

/// The result of [`Committer::claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is durable and the caller, and nobody else, may run the request.
    Claimed,
    /// This sidecar incarnation has claimed the request before. If the state is [`State::Claimed`]
    /// and the sidecar is not running the request, the claim was abandoned and is being ended
    /// as not run.
    ClaimedBySelf(State),
    /// Another sidecar incarnation has claimed the request.
    ClaimedByOther {
        /// The incarnation that claimed the request.
        by: Incarnation,
        /// Its target.
        target: TargetId,
        /// Recorded state of the request.
        state: State,
        /// Hash of the body of the claimed request.
        fingerprint: u64,
    },
    /// The request was claimed with a different body.
    KeyReused,
    /// The claim is not durable and never will be: no write contained it before the deadline, or
    /// the bucket is full.
    Unavailable,
    /// The claim may be durable or become so; the committer ends it as not run.
    Unknown,
}

/// The answer to a request that was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: SmolStr,
    /// Body of the answer.
    pub body: String,
    /// The tokens billed.
    pub tokens: Tokens,
}

/// Queued operations and state of one bucket.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) ops: Vec<Op>,
    /// True while a worker writes this bucket. Invariant: at most one worker does.
    pub(crate) busy: bool,
    pub(crate) cached: Option<CachedBucket>,
    /// Serial numbers of the claims that callers were granted and have not ended.
    pub(crate) held_claims: HashMap<RequestId, u64>,
}

pub(crate) struct Shared {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) incarnation: Incarnation,
    pub(crate) target: TargetId,
    pub(crate) clock: Clock,
    pub(crate) options: Options,
    pub(crate) queues: Mutex<HashMap<ObjectKey, Queue>>,
    pub(crate) became_idle: Notify,
    next_serial: AtomicU64,
}

impl Shared {
    pub(crate) fn queues(&self) -> MutexGuard<'_, HashMap<ObjectKey, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes claims durable and records their ends. Cheap to clone; needs a `tokio` runtime.
#[derive(Clone)]
pub struct Committer(Arc<Shared>);

impl Committer {
    /// Creates the committer of the sidecar incarnation `incarnation` of `target`.
    pub fn new(
        platform: Arc<dyn Platform>,
        incarnation: Incarnation,
        target: TargetId,
        clock: Clock,
        options: Options,
    ) -> Self {
        Self(Arc::new(Shared {
            platform,
            incarnation,
            target,
            clock,
            options,
            queues: Mutex::default(),
            became_idle: Notify::new(),
            next_serial: AtomicU64::new(1),
        }))
    }

    /// Claims `request` and waits at most `timeout` for the outcome.
    ///
    /// Dropping the returned future is safe: a claim that took effect is ended as not run.
    pub async fn claim(
        &self,
        service: &ServiceId,
        bucket: u32,
        request: RequestId,
        fingerprint: u64,
        timeout: Millis,
    ) -> ClaimOutcome {
        let key = object_key(service, bucket);
        let (tx, rx) = oneshot::channel();
        let send_state = SendState::default();
        let serial = self.0.next_serial.fetch_add(1, Ordering::Relaxed);
        self.push(
            key.clone(),
            Op::Claim {
                request,
                fingerprint,
                serial,
                send_state: send_state.clone(),
                tx,
            },
        );
        let end_as_not_run = || self.end(key.clone(), request, Some(serial), State::NotRun);
        let mut waiter = Waiter {
            send_state,
            rx,
            end_as_not_run,
            received: false,
        };
        match tokio::time::timeout(timeout.duration(), waiter.outcome()).await {
            Ok(outcome) => outcome,
            Err(_) => waiter.at_deadline(),
        }
    }

    /// Records the answer to a request whose claim this committer has granted; retried until it is
    /// durable. Has no effect without such a claim.
    pub fn done(&self, service: &ServiceId, bucket: u32, request: RequestId, answer: DoneAnswer) {
        let is_body_stored = answer.body.len() <= self.0.options.max_body_bytes;
        let state = State::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: is_body_stored.then_some(answer.body),
            tokens: answer.tokens,
        };
        self.end(object_key(service, bucket), request, None, state);
    }

    /// Records that a request whose claim this committer has granted was not run and never will be.
    pub fn not_run(&self, service: &ServiceId, bucket: u32, request: RequestId) {
        self.end(object_key(service, bucket), request, None, State::NotRun);
    }

    /// True if no operations are queued or being written.
    pub fn is_idle(&self) -> bool {
        self.0.queues().values().all(|queue| !queue.busy)
    }

    /// Waits until no operations are queued or being written.
    pub async fn flush(&self) {
        loop {
            let notified = self.0.became_idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_idle() {
                return;
            }
            notified.await;
        }
    }

    /// Ends the claim that a caller was granted, if its serial number is `serial` or `serial` is
    /// `None`.
    fn end(&self, key: ObjectKey, request: RequestId, serial: Option<u64>, state: State) {
        let serial_to_end = {
            let mut queues = self.0.queues();
            let held_claims = queues.get_mut(&key).map(|queue| &mut queue.held_claims);
            held_claims.and_then(|held_claims| match held_claims.get(&request) {
                Some(found) if serial.is_none_or(|serial| serial == *found) => {
                    held_claims.remove(&request)
                }
                _ => None,
            })
        };
        if let Some(serial) = serial_to_end {
            self.push(
                key,
                Op::End {
                    request,
                    serial,
                    state,
                },
            );
        }
    }

    fn push(&self, key: ObjectKey, op: Op) {
        let mut queues = self.0.queues();
        let queue = queues.entry(key.clone()).or_default();
        queue.ops.push(op);
        if !queue.busy {
            queue.busy = true;
            tokio::spawn(run_worker(self.0.clone(), key));
        }
    }
}
