//! Attempts of one request at targets, until one responds or no further attempt is allowed.

use std::rc::Rc;

use bytes::Bytes;
use cyc_types::{ErrorKind, Millis, Refusal, ServiceId, TargetId};
use http::{Request, Response, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{Accepted, Bill, Trace, retry_after};
use crate::{
    choose::Choice,
    config::{RouteKind, Service},
    conn::{Conn, Pool},
    fleet::{Read, Verdict, Wanted},
    port::{AnswerFacts, Sending, Wire},
    state::State,
};

/// Maximum targets to which one request attempts to connect; nothing is sent if a connection fails.
pub const MAX_CONNECTS: u32 = 4;
/// Base of `Retry-After` if no target takes the request.
pub const RETRY_AFTER_TARGET: Millis = Millis::new(350);
/// Part of a target's connections that entries use: the number of entries is known with a delay,
/// and a target accepts fewer connections while many requests are queued there.
const CONNECTIONS_PERCENT: u64 = 90;
/// With less time left than this, a target could not respond before the deadline.
const MIN_LEFT: Millis = Millis::new(20);

/// An attempt at one target; reports its outcome to the fleet on drop.
pub struct Run<W> {
    state: Rc<State<W>>,
    target: TargetId,
    /// Prompt tokens that the target has not prefilled.
    unread: u64,
    sent: Millis,
    expected: Millis,
    verdict: Verdict,
}

impl<W> Run<W> {
    fn new(state: Rc<State<W>>, target: TargetId, choice: &Choice) -> Self {
        let now = state.now();
        let mut fleet = state.fleet.borrow_mut();
        fleet.start(&target, choice.uncached, now);
        drop(fleet);
        Self {
            state,
            target,
            unread: choice.uncached,
            sent: now,
            expected: choice.estimate,
            verdict: Verdict::Abandoned,
        }
    }

    /// Records that the target has started to respond.
    pub fn note_read(&mut self, accepted: &Accepted) {
        let now = self.state.now();
        let read = Read {
            uncached: self.unread,
            prompt: accepted.call.prompt.as_ref(),
            took: now.saturating_sub(self.sent),
            expected: self.expected,
        };
        self.state.fleet.borrow_mut().read(&self.target, &read, now);
        self.unread = 0;
    }

    /// Ends the attempt with this outcome.
    pub fn end(mut self, verdict: Verdict) {
        self.verdict = verdict;
    }

    /// The outcome for a target that did not respond.
    pub fn silent(&self) -> Verdict {
        Verdict::Silent(self.sent)
    }
}

impl<W> Drop for Run<W> {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut fleet = self.state.fleet.borrow_mut();
        let is_out = fleet.end(&self.target, self.unread, self.verdict, now);
        drop(fleet);
        if is_out {
            let verdict = format!("{:?}", self.verdict);
            spdlog::warn!("target_out", kv: {
                target = self.target.as_str(),
                cause = verdict,
            });
        }
    }
}

/// A response whose head was read and matches the request.
pub struct Opened<W> {
    /// The response head.
    pub head: response::Parts,
    /// The unread body.
    pub body: Incoming,
    /// Decoded fields of the head.
    pub facts: AnswerFacts,
    /// The connection, in use until the body is read.
    pub conn: Conn,
    /// The pool that the connection returns to.
    pub pool: Rc<Pool>,
    /// The attempt at the target.
    pub run: Run<W>,
}

/// How an attempt ended without a response.
enum Missed {
    /// The target was unreachable; nothing was sent.
    NotSent(String),
    /// The target has not run the request and will not run it.
    NotRun(String),
    /// The target may have run the request.
    Unknown(String),
    /// The deadline has passed.
    Late,
}

/// The attempts of one request.
pub struct Attempts<W> {
    /// State of the entry.
    pub state: Rc<State<W>>,
    /// The request.
    pub accepted: Accepted,
    /// The tokens of the request.
    pub bill: Bill<W>,
    /// Number of targets that the request was sent to.
    pub sends: u32,
    /// Targets already tried, whether reachable or not.
    pub tried: Vec<TargetId>,
    /// Estimate for the last target.
    pub estimate: Millis,
    service: ServiceId,
    /// A target may have run the request.
    may_have_run: bool,
}

impl<W: Wire> Attempts<W> {
    /// Creates the state of a request without attempts.
    pub fn new(state: Rc<State<W>>, accepted: Accepted, bill: Bill<W>) -> Self {
        let service = accepted.route.service(rand::random()).clone();
        Self {
            state,
            accepted,
            bill,
            sends: 0,
            tried: Vec::new(),
            estimate: Millis::ZERO,
            service,
            may_have_run: false,
        }
    }

    /// Copies the results so far into the log fields.
    pub fn note(&self, trace: &mut Trace) {
        trace.sends = self.sends;
        trace.estimate = self.estimate.get();
        trace.billed = self.bill.used().get();
        if let Some(target) = self.tried.last() {
            trace.target = target.as_str().into();
        }
    }

    /// Returns true if the request may be sent to another target after one may have run it.
    pub fn may_repeat(&self) -> bool {
        self.accepted.route.kind.is_repeatable() && self.sends < self.accepted.route.attempts
    }

    /// Sends the request until a target responds.
    ///
    /// # Errors
    /// A refusal if no target has run the request, otherwise an error that leaves the outcome open.
    pub async fn open(&mut self, resume_after: Option<u64>) -> Result<Opened<W>, Refusal> {
        let mut connects = 0;
        loop {
            if self.accepted.left() < MIN_LEFT {
                return Err(self.late());
            }
            let chosen = self.choose();
            let Some((target, choice)) = chosen else {
                return Err(self.unserved("no target of the service can take it"));
            };
            self.estimate = choice.estimate;
            let missed = match self.send(&target, &choice, resume_after).await {
                Ok(opened) => return Ok(opened),
                Err(missed) => missed,
            };
            connects += 1;
            self.log_missed(&target, &missed);
            let why = match missed {
                Missed::Late => return Err(self.late()),
                Missed::NotSent(why) if connects < MAX_CONNECTS => {
                    drop(why);
                    continue;
                }
                Missed::NotSent(why) => return Err(self.unserved(&why)),
                Missed::NotRun(why) => why,
                Missed::Unknown(why) => {
                    self.may_have_run = true;
                    self.bill.set_run(true);
                    if !self.accepted.route.kind.is_repeatable() {
                        return Err(self.unserved(&why));
                    }
                    why
                }
            };
            if self.sends >= self.accepted.route.attempts || !self.take_repeat() {
                return Err(self.unserved(&why));
            }
        }
    }

    /// Takes one retry from this entry's part of the retry budget.
    pub fn take_repeat(&self) -> bool {
        let now = self.state.now();
        let entries = self.state.entries();
        let mut repeats = self.state.repeats.borrow_mut();
        repeats.take(&self.service, entries, now)
    }

    fn choose(&self) -> Option<(TargetId, Choice)> {
        let prompt = self.accepted.call.prompt.as_ref();
        let entries = self.state.entries();
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.set_entries(entries);
        let service = self.accepted.config.service(&self.service);
        let wanted = Wanted {
            service: &self.service,
            connections: connections(service, entries),
        };
        fleet.choose(&wanted, prompt, &self.tried, self.state.now())
    }

    fn log_missed(&self, target: &TargetId, missed: &Missed) {
        let (outcome, why) = match missed {
            Missed::NotSent(why) => ("not_sent", why.as_str()),
            Missed::NotRun(why) => ("not_run", why.as_str()),
            Missed::Unknown(why) => ("unknown", why.as_str()),
            Missed::Late => ("late", ""),
        };
        spdlog::info!("send_failed", kv: {
            id = self.accepted.call.id.as_str(),
            target = target.as_str(),
            sends = self.sends,
            estimate_ms = self.estimate.get(),
            outcome = outcome,
            why = why,
        });
    }

    fn late(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(ErrorKind::DeadlineWhileRunning, "the time is over");
        }
        Refusal::new(
            ErrorKind::Overloaded,
            "the time is over before a target was reached",
        )
        .with_retry_after(retry_after(RETRY_AFTER_TARGET))
    }

    fn unserved(&self, why: &str) -> Refusal {
        if self.may_have_run {
            return Refusal::new(ErrorKind::OutcomeUnknown, why);
        }
        Refusal::new(ErrorKind::NoTarget, why).with_retry_after(retry_after(RETRY_AFTER_TARGET))
    }

    async fn send(
        &mut self,
        target: &TargetId,
        choice: &Choice,
        resume_after: Option<u64>,
    ) -> Result<Opened<W>, Missed> {
        self.tried.push(target.clone());
        let pool = {
            let fleet = self.state.fleet.borrow();
            let known = fleet.get(target).map(|known| known.pool.clone());
            known.ok_or_else(|| Missed::NotSent("the target has just left".into()))?
        };
        let run = Run::new(self.state.clone(), target.clone(), choice);
        let mut conn = match pool.take_idle() {
            Some(conn) => conn,
            None => match pool.connect().await {
                Ok(conn) => conn,
                Err(error) => {
                    run.end(Verdict::NotReached);
                    return Err(Missed::NotSent(error.to_string()));
                }
            },
        };
        let req = self.request(target, resume_after);
        let req = req.map_err(|error| Missed::NotSent(error.to_string()))?;
        let sent = conn.sender.try_send_request(req);
        if self.sends == 0 {
            let mut repeats = self.state.repeats.borrow_mut();
            repeats.first(&self.service, self.state.now());
        }
        self.sends += 1;
        // From here on the target may run the request, even if the caller disconnects.
        let had_run = self.bill.set_run(true);
        let until = self.patience();
        let answer = match tokio::time::timeout_at(until, sent).await {
            Err(_) if until < self.accepted.limit => {
                let verdict = run.silent();
                run.end(verdict);
                return Err(Missed::Unknown("no answer within the usual time".into()));
            }
            Err(_) => {
                self.may_have_run = true;
                let verdict = run.silent();
                run.end(verdict);
                return Err(Missed::Late);
            }
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                let why = error.error().to_string();
                if !is_unsent {
                    run.end(Verdict::Failed);
                    return Err(Missed::Unknown(why));
                }
                // The target had closed an idle connection and is healthy; it may be tried again.
                self.bill.set_run(had_run);
                self.sends -= 1;
                self.tried.pop();
                return Err(Missed::NotSent(why));
            }
            Ok(Ok(answer)) => answer,
        };
        let opened = self.check(answer, conn, pool, run);
        match &opened {
            // A target that responds has run the request, even if the response breaks off later.
            Ok(_) => self.may_have_run = true,
            Err(Missed::NotRun(_)) => {
                self.bill.set_run(had_run);
            }
            Err(_) => {}
        }
        opened
    }

    /// Deadline of this attempt. An idempotent request moves to another target while there is time
    /// for that.
    fn patience(&self) -> Instant {
        let accepted = &self.accepted;
        let usual = accepted.route.objective.duration() * 3 / 2;
        let is_call = accepted.route.kind == RouteKind::Idempotent;
        let has_time = accepted.left().duration() > usual * 2;
        if is_call && has_time && self.may_repeat() {
            Instant::now() + usual
        } else {
            accepted.limit
        }
    }

    fn request(
        &self,
        target: &TargetId,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let accepted = &self.accepted;
        let sending = Sending {
            target,
            left: accepted.left(),
            account: accepted.account.as_ref().map(|account| &account.id),
            urgency: accepted.call.prompt.as_ref().map(|_| accepted.urgency()),
            resume_after,
        };
        let headers = self
            .state
            .wire
            .target_headers(&accepted.head.headers, &sending);
        let path = accepted.head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut req = Request::builder()
            .method(accepted.head.method.clone())
            .uri(path.parse::<Uri>()?)
            .body(Full::new(accepted.body.clone()))?;
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Accepts a response only if it belongs to this request and comes from the target itself.
    fn check(
        &self,
        answer: Response<Incoming>,
        conn: Conn,
        pool: Rc<Pool>,
        run: Run<W>,
    ) -> Result<Opened<W>, Missed> {
        let (head, body) = answer.into_parts();
        let facts = self.state.wire.decode_answer(&head);
        if let Some(load) = facts.load {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.report(&run.target, load, self.state.now());
        }
        let is_own = facts.id.as_ref() == Some(&self.accepted.call.id);
        if facts.is_misdirected {
            run.end(Verdict::NotReached);
            return Err(Missed::NotRun(
                "the address belongs to another target".into(),
            ));
        }
        if facts.is_not_run {
            run.end(Verdict::Full);
            return Err(Missed::NotRun(format!("refused with {}", head.status)));
        }
        let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
        let needs_signature = head.status.is_success() || is_promise(head.status);
        if !is_own || is_encoded || (needs_signature && !facts.is_signed) {
            run.end(Verdict::Failed);
            let why = format!(
                "not the answer to this request: {} own={is_own} encoded={is_encoded} signed={}",
                head.status, facts.is_signed
            );
            return Err(Missed::Unknown(why));
        }
        Ok(Opened {
            head,
            body,
            facts,
            conn,
            pool,
            run,
        })
    }
}

/// Connections that this entry may have open to one target of a service.
fn connections(service: Option<&Service>, entries: usize) -> u32 {
    let all = service.map_or(u32::MAX, |service| service.max_connections);
    let used = u64::from(all) * CONNECTIONS_PERCENT / 100 / entries as u64;
    used.max(1) as u32
}

/// Returns true if the status guarantees that the request has not run. Only a target itself may
/// send one.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
