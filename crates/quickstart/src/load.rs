//! Generates load on a deployment, with the retries that a caller of the API should make.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cyc_standin::{client, engine::expected_text};
use cyc_types::{ErrorKind, Outcome};
use strum::IntoEnumIterator as _;
use tokio::task::JoinSet;

use crate::caller::{Caller, Reply};

/// Delay before a request is retried at the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Attempts after which a request counts as failed.
const MAX_ATTEMPTS: usize = 500;

/// Kind of a generated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter)]
pub enum RequestKind {
    /// A streamed draft.
    Draft,
    /// A status check.
    Status,
    /// A booking.
    Booking,
}

/// Results as seen by the callers.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    /// Completely answered requests, by kind.
    pub answered: BTreeMap<RequestKind, u64>,
    /// Idempotency keys of the answered bookings.
    pub booking_keys: Vec<String>,
    /// Billed tokens of drafts as reported in the answers. Bookings and status checks are billed by
    /// price and are not included.
    pub draft_tokens: u64,
    /// Refusals with outcome `not_run`, by kind of error; each request was retried.
    pub refused: BTreeMap<&'static str, u64>,
    /// Connections that an entry did not accept; each request was retried.
    pub connect_failures: u64,
    /// Descriptions of failures: truncated or wrong answers, errors that do not say `not_run`,
    /// exhausted budgets and exhausted attempts.
    pub failures: Vec<String>,
}

/// Callers of one account that send requests to several entries until stopped.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    callers: Vec<Caller>,
    tokens: u64,
    stopped: AtomicBool,
    next_number: AtomicU64,
    stats: Mutex<LoadStats>,
}

impl Shared {
    fn stats(&self) -> MutexGuard<'_, LoadStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    /// Starts `callers_per_kind` callers for each kind of request. A draft has `tokens` tokens.
    pub fn start(
        entries: &[SocketAddr],
        account: &str,
        callers_per_kind: usize,
        tokens: u64,
    ) -> Self {
        let callers = entries.iter().map(|addr| Caller::new(*addr, account));
        let shared = Arc::new(Shared {
            callers: callers.collect(),
            tokens,
            stopped: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            stats: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for kind in RequestKind::iter() {
            for first_entry in 0..callers_per_kind {
                tasks.spawn(send_until_stopped(shared.clone(), kind, first_entry));
            }
        }
        Self { shared, tasks }
    }

    /// Results so far.
    pub fn stats(&self) -> LoadStats {
        self.shared.stats().clone()
    }

    /// Waits for the requests in progress, and returns the final results.
    pub async fn stop(mut self) -> LoadStats {
        self.shared.stopped.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
        self.stats()
    }
}

/// Sends requests one after the other, each first to the entry that answered the last one.
async fn send_until_stopped(shared: Arc<Shared>, kind: RequestKind, first_entry: usize) {
    let mut entry = first_entry;
    while !shared.stopped.load(Ordering::SeqCst) {
        let number = shared.next_number.fetch_add(1, Ordering::SeqCst);
        entry = send_until_answered(&shared, kind, number, entry).await;
        tokio::task::yield_now().await;
    }
}

/// Sends one request, retrying at the next entry; returns the index of the entry that answered, or
/// `first_entry` if none did.
async fn send_until_answered(
    shared: &Shared,
    kind: RequestKind,
    number: u64,
    first_entry: usize,
) -> usize {
    for entry in (first_entry..).take(MAX_ATTEMPTS) {
        let caller = &shared.callers[entry % shared.callers.len()];
        let sent = send(shared, caller, kind, number).await;
        match sent {
            Ok(reply) if reply.complete => {
                shared.stats().count(kind, number, &reply, shared.tokens);
                return entry;
            }
            Ok(reply) if reply.outcome() == Some(Outcome::NotRun) => {
                let error_kind = reply.kind().map_or("none", <&str>::from);
                *shared.stats().refused.entry(error_kind).or_default() += 1;
                if reply.kind() == Some(ErrorKind::BudgetExhausted) {
                    shared
                        .stats()
                        .failures
                        .push(format!("{kind:?} {number}: budget exhausted"));
                    return entry;
                }
            }
            Ok(reply) => {
                let answer = &reply.answer;
                let text = format!("{kind:?} {number}: {} {:?}", answer.status, reply.problem);
                shared.stats().failures.push(text);
                return entry;
            }
            Err(client::Error::NoResponse(error)) if error.is_connect() => {
                shared.stats().connect_failures += 1;
            }
            Err(error) => {
                let text = format!("{kind:?} {number}: {error:?}");
                shared.stats().failures.push(text);
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let text = format!("{kind:?} {number}: not answered after {MAX_ATTEMPTS} attempts");
    shared.stats().failures.push(text);
    first_entry
}

async fn send(
    shared: &Shared,
    caller: &Caller,
    kind: RequestKind,
    number: u64,
) -> Result<Reply, client::Error> {
    match kind {
        RequestKind::Draft => {
            let key = format!("draft-{number}");
            let headers = [("idempotency-key", key.as_str())];
            caller
                .chat("Ten questions on rivers.", shared.tokens, true, &headers)
                .await
        }
        RequestKind::Status => caller.status("kit-7", &[]).await,
        RequestKind::Booking => caller.book(&format!("booking-{number}"), "kit-7").await,
    }
}

impl LoadStats {
    fn count(&mut self, kind: RequestKind, number: u64, reply: &Reply, tokens: u64) {
        *self.answered.entry(kind).or_default() += 1;
        match kind {
            RequestKind::Draft => {
                self.draft_tokens += reply.tokens_used;
                let prompt = format!("Ten questions on rivers. len={tokens}");
                if reply.text != expected_text(&prompt, tokens) {
                    self.failures.push(format!(
                        "draft {number}: the text differs from the expected text"
                    ));
                }
            }
            RequestKind::Booking => self.booking_keys.push(format!("booking-{number}")),
            RequestKind::Status => {}
        }
    }

    /// Number of answered requests of all kinds.
    pub fn total_answered(&self) -> u64 {
        self.answered.values().sum()
    }
}
