//! Callers that keep a deployment busy, and that retry as a caller of the API should.

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

/// Pause of a caller before it tries the other entry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How often a caller tries before it gives a request up.
const MAX_TRIES: usize = 500;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter)]
pub enum Ask {
    /// A streamed draft.
    Draft,
    /// A status check.
    Status,
    /// A booking.
    Booking,
}

/// What the callers have seen.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests answered whole, by kind.
    pub answered: BTreeMap<Ask, u64>,
    /// The keys of the bookings that were answered.
    pub booked: Vec<String>,
    /// Tokens billed, as the answers say; bookings and status checks are counted by price.
    pub drafted: u64,
    /// Refusals that said that the request was not run, by kind; each was tried again.
    pub refused: BTreeMap<&'static str, u64>,
    /// Connections that an entry did not accept; each request was tried again.
    pub not_connected: u64,
    /// Requests that got no whole answer and no refusal, or a wrong answer.
    pub cut: Vec<String>,
}

/// Callers of one account at several entries, until they are stopped.
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
    next: AtomicU64,
    tally: Mutex<Tally>,
}

impl Shared {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    /// Starts `each` callers for each kind of request. Drafts have `tokens` tokens.
    pub fn start(entries: &[SocketAddr], account: &str, each: usize, tokens: u64) -> Self {
        let callers = entries.iter().map(|addr| Caller::new(*addr, account));
        let shared = Arc::new(Shared {
            callers: callers.collect(),
            tokens,
            stopped: AtomicBool::new(false),
            next: AtomicU64::new(0),
            tally: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for ask in Ask::iter() {
            for first in 0..each {
                tasks.spawn(keep_asking(shared.clone(), ask, first));
            }
        }
        Self { shared, tasks }
    }

    /// Returns what the callers have seen so far.
    pub fn tally(&self) -> Tally {
        self.shared.tally().clone()
    }

    /// Lets the callers finish what they are at, and returns what they have seen.
    pub async fn stop(mut self) -> Tally {
        self.shared.stopped.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
        self.tally()
    }
}

/// Sends one request after the other, at the entry that answered last.
async fn keep_asking(shared: Arc<Shared>, ask: Ask, first: usize) {
    let mut at = first;
    while !shared.stopped.load(Ordering::SeqCst) {
        let number = shared.next.fetch_add(1, Ordering::SeqCst);
        at = ask_until_answered(&shared, ask, number, at).await;
        tokio::task::yield_now().await;
    }
}

/// Returns the entry that answered.
async fn ask_until_answered(shared: &Shared, ask: Ask, number: u64, first: usize) -> usize {
    for at in (first..).take(MAX_TRIES) {
        let caller = &shared.callers[at % shared.callers.len()];
        let sent = send(shared, caller, ask, number).await;
        match sent {
            Ok(reply) if reply.complete => {
                shared.tally().count(ask, number, &reply, shared.tokens);
                return at;
            }
            Ok(reply) if reply.outcome() == Some(Outcome::NotRun) => {
                let kind = reply.kind().map_or("none", <&str>::from);
                *shared.tally().refused.entry(kind).or_default() += 1;
                if reply.kind() == Some(ErrorKind::BudgetExhausted) {
                    shared
                        .tally()
                        .cut
                        .push(format!("{ask:?} {number}: no money"));
                    return at;
                }
            }
            Ok(reply) => {
                let answer = &reply.answer;
                let text = format!("{ask:?} {number}: {} {:?}", answer.status, reply.problem);
                shared.tally().cut.push(text);
                return at;
            }
            Err(client::Error::NoAnswer(error)) if error.is_connect() => {
                shared.tally().not_connected += 1;
            }
            Err(error) => {
                let text = format!("{ask:?} {number}: {error:?}");
                shared.tally().cut.push(text);
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let text = format!("{ask:?} {number}: given up after {MAX_TRIES} tries");
    shared.tally().cut.push(text);
    first
}

async fn send(
    shared: &Shared,
    caller: &Caller,
    ask: Ask,
    number: u64,
) -> Result<Reply, client::Error> {
    match ask {
        Ask::Draft => {
            let key = format!("draft-{number}");
            let headers = [("idempotency-key", key.as_str())];
            caller
                .chat("Ten questions on rivers.", shared.tokens, true, &headers)
                .await
        }
        Ask::Status => caller.status("kit-7", &[]).await,
        Ask::Booking => caller.book(&format!("booking-{number}"), "kit-7").await,
    }
}

impl Tally {
    fn count(&mut self, ask: Ask, number: u64, reply: &Reply, tokens: u64) {
        *self.answered.entry(ask).or_default() += 1;
        match ask {
            Ask::Draft => {
                self.drafted += reply.used;
                let prompt = format!("Ten questions on rivers. len={tokens}");
                if reply.text != expected_text(&prompt, tokens) {
                    self.cut
                        .push(format!("draft {number}: the text is not whole"));
                }
            }
            Ask::Booking => self.booked.push(format!("booking-{number}")),
            Ask::Status => {}
        }
    }

    /// Returns the requests answered, of all kinds.
    pub fn total(&self) -> u64 {
        self.answered.values().sum()
    }
}
