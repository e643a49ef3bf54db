//! The controller that makes claims durable.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use cyc_store::{MAX_VALUE, ObjectKey, Platform};
use cyc_types::{Clock, Incarnation, Millis, RequestId, ServiceId, TargetId, Tokens};
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::{
    bucket::{State, object_key},
    op::Op,
    waiter::{Stage, Waiter},
    worker::{Cached, work},
};

/// How claims are kept.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a claim is kept after its last change.
    pub retry_window: Millis,
    /// The longest answer that is kept, in bytes.
    pub answer_bytes: usize,
    /// The most bytes of a bucket object.
    pub bucket_bytes: usize,
    /// Wait before the first repetition of a failed call to the platform.
    pub retry_min: Millis,
    /// Longest wait between repetitions.
    pub retry_max: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_window: Millis::new(24 * 60 * Millis::MINUTE.get()),
            answer_bytes: 16 * 1024,
            bucket_bytes: MAX_VALUE.get() as usize,
            retry_min: Millis::new(20),
            retry_max: Millis::new(1_000),
        }
    }
}

/// The result of [`Committer::claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is durable and the caller, and nobody else, may run the request.
    Claimed,
    /// This sidecar incarnation claimed the request before. With [`State::Claimed`] and no such
    /// run in the sidecar, that claim was given up and is being ended as not run.
    Mine(State),
    /// Another sidecar incarnation claimed the request.
    Other {
        /// That incarnation.
        by: Incarnation,
        /// Its target.
        target: TargetId,
        /// What became of the request, as recorded.
        state: State,
        /// Hash of the body of the claimed request.
        fingerprint: u64,
    },
    /// The request was claimed with another body.
    KeyReused,
    /// The claim is not durable and will not be.
    Unavailable,
    /// The claim may be or become durable; the committer ends it as not run.
    Unknown,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: SmolStr,
    /// The answer.
    pub body: String,
    /// The tokens billed.
    pub tokens: Tokens,
}

/// The operations that wait for one bucket.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) ops: Vec<Op>,
    /// True while a worker writes this bucket. Invariant: at most one does.
    pub(crate) busy: bool,
    pub(crate) cached: Option<Cached>,
    /// Serial numbers of the claims that a caller was told to hold and has not ended.
    pub(crate) held: HashMap<RequestId, u64>,
}

pub(crate) struct Inner {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) me: Incarnation,
    pub(crate) target: TargetId,
    pub(crate) clock: Clock,
    pub(crate) options: Options,
    pub(crate) queues: Mutex<HashMap<ObjectKey, Queue>>,
    pub(crate) idle: Notify,
    serial: AtomicU64,
}

impl Inner {
    pub(crate) fn queues(&self) -> MutexGuard<'_, HashMap<ObjectKey, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes claims durable and records their ends. Cheap to clone; needs a `tokio` runtime.
#[derive(Clone)]
pub struct Committer(Arc<Inner>);

impl Committer {
    /// Creates the committer of the sidecar incarnation `me` of `target`.
    pub fn new(
        platform: Arc<dyn Platform>,
        me: Incarnation,
        target: TargetId,
        clock: Clock,
        options: Options,
    ) -> Self {
        Self(Arc::new(Inner {
            platform,
            me,
            target,
            clock,
            options,
            queues: Mutex::default(),
            idle: Notify::new(),
            serial: AtomicU64::new(1),
        }))
    }

    /// Claims `request` and waits for the outcome, at most until `deadline` from now.
    ///
    /// Dropping the returned future is safe: a claim that took effect ends as not run.
    pub async fn claim(
        &self,
        service: &ServiceId,
        bucket: u32,
        request: RequestId,
        fingerprint: u64,
        deadline: Millis,
    ) -> ClaimOutcome {
        let key = object_key(service, bucket);
        let (tx, rx) = oneshot::channel();
        let stage = Stage::default();
        let serial = self.0.serial.fetch_add(1, Ordering::Relaxed);
        self.push(
            key.clone(),
            Op::Claim {
                request,
                fingerprint,
                serial,
                stage: stage.clone(),
                tx,
            },
        );
        let abandon = || self.end(key.clone(), request, Some(serial), State::NotRun);
        let mut waiter = Waiter {
            stage,
            rx,
            abandon,
            taken: false,
        };
        match tokio::time::timeout(deadline.duration(), waiter.outcome()).await {
            Ok(outcome) => outcome,
            Err(_) => waiter.at_deadline(),
        }
    }

    /// Records the end of a run whose claim this committer handed out; kept until it is durable.
    /// Without such a claim nothing is recorded.
    pub fn done(&self, service: &ServiceId, bucket: u32, request: RequestId, answer: DoneAnswer) {
        let fits = answer.body.len() <= self.0.options.answer_bytes;
        let state = State::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: fits.then_some(answer.body),
            tokens: answer.tokens,
        };
        self.end(object_key(service, bucket), request, None, state);
    }

    /// Records that a request whose claim this committer handed out was not run and will not be.
    pub fn not_run(&self, service: &ServiceId, bucket: u32, request: RequestId) {
        self.end(object_key(service, bucket), request, None, State::NotRun);
    }

    /// Returns true if nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.0.queues().values().all(|queue| !queue.busy)
    }

    /// Waits until nothing waits to be written.
    pub async fn flush(&self) {
        loop {
            let notified = self.0.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_idle() {
                return;
            }
            notified.await;
        }
    }

    /// Ends the claim that a caller was told to hold, if it is the one of `serial`.
    fn end(&self, key: ObjectKey, request: RequestId, serial: Option<u64>, state: State) {
        let held = {
            let mut queues = self.0.queues();
            let held = queues.get_mut(&key).map(|queue| &mut queue.held);
            held.and_then(|held| match held.get(&request) {
                Some(found) if serial.is_none_or(|serial| serial == *found) => {
                    held.remove(&request)
                }
                _ => None,
            })
        };
        if let Some(serial) = held {
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
            tokio::spawn(work(self.0.clone(), key));
        }
    }
}
