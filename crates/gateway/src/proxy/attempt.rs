//! Attempts of one request at targets, until one responds or no further attempt is allowed.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use cadence::CountedExt as _;
use cyc_intake::Direction;
use cyc_signal::ServiceWait;
use cyc_types::{ErrorKind, Millis, Refusal, ServiceId, TargetId};
use http::{Request, Response, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{AdmittedRequest, Bill, RETRY_AFTER_REFUSED_PROMPT, RequestLog, retry_after};
use crate::{
    call::{Prompt, PromptPart, PromptSize, RequestDigest},
    choose::Choice,
    config::{RouteKind, Service},
    conn::{Conn, Pool},
    control::{self, BrokenAnswer},
    crash::SOUND_AFTER,
    fleet::{FinishedPrefill, Requirements, Verdict},
    member::TargetIncarnation,
    port::{Protocol, ResponseInfo, TargetRequestInfo},
    state::{ColdSource, State},
    timely::Pauses,
};

/// A request whose connection fails moves to another target until this many of its attempts have
/// failed. Nothing is sent in that case, so it does not count as an attempt of the route.
pub const MAX_CONNECTS: u32 = 4;
/// Base of `Retry-After` if no target takes the request.
pub const RETRY_AFTER_TARGET: Millis = Millis::new(350);
/// Part of a target's connections that entries use: the number of entries is known with a delay,
/// and a target accepts fewer connections while many requests are queued there.
const CONNECTIONS_PERCENT: u64 = 90;
/// Part of an announced wait that is added to it at random.
const JITTER_DIVISOR: u64 = 4;
/// A request that was denied by this many limited targets is sent to targets without a limit only.
const MAX_DENIALS: u32 = 3;
/// Prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// With less time left than this, a target could not respond before the deadline.
const MIN_TIME_LEFT: Millis = Millis::new(20);

/// An attempt at one target; reports its outcome to the fleet on drop.
pub struct ActiveAttempt<P> {
    state: Rc<State<P>>,
    target: TargetId,
    /// The run of the target that gets the request.
    incarnation: TargetIncarnation,
    /// Prompt tokens that the target has not prefilled.
    pending_tokens: u64,
    /// Prompt tokens that the target had to prefill before.
    ahead: u64,
    service: ServiceId,
    /// What the request holds in the target's memory; `None` at plain services.
    size: Option<PromptSize>,
    sent_at: Millis,
    expected: Millis,
    verdict: Verdict,
    /// Id of the request, for the log.
    request: SmolStr,
    /// Identifies requests that are the same.
    digest: RequestDigest,
    /// The shared parts of the prompt.
    shared: Vec<PromptPart>,
    /// When the first event of the answer arrived.
    first_event_at: Option<Millis>,
    /// Another target has broken off the request before.
    is_repeat: bool,
    /// The target has answered, if only with a failure.
    has_answered: bool,
    /// The target is known to have answered the request and not crashed.
    is_cleared: bool,
    /// The end of the answer cannot be told from a crash of the target.
    has_unframed_end: bool,
}

impl<P> ActiveAttempt<P> {
    fn new(
        state: Rc<State<P>>,
        service: ServiceId,
        incarnation: TargetIncarnation,
        choice: &Choice,
        request: &AdmittedRequest,
        is_repeat: bool,
    ) -> Self {
        let call = &request.call;
        let now = state.now();
        let mut fleet = state.fleet.borrow_mut();
        fleet.start_attempt(&incarnation.id, choice.uncached, now);
        let size = call.prompt.as_ref().map(Prompt::size);
        if let Some(size) = size {
            fleet.start_generation(&incarnation.id, size, choice.uncached, now);
        }
        drop(fleet);
        Self {
            state,
            target: incarnation.id.clone(),
            incarnation,
            pending_tokens: choice.uncached,
            ahead: choice.ahead,
            service,
            size,
            sent_at: now,
            expected: choice.estimate,
            verdict: Verdict::Abandoned,
            request: call.id.clone(),
            digest: request.digest,
            shared: call
                .prompt
                .as_ref()
                .map_or_else(Vec::new, |prompt| prompt.shared().to_vec()),
            first_event_at: None,
            is_repeat,
            has_answered: false,
            is_cleared: false,
            has_unframed_end: false,
        }
    }

    /// Records that events of the answer have arrived.
    pub fn record_events(&mut self) {
        let now = self.state.now();
        let since = *self.first_event_at.get_or_insert(now);
        if now.saturating_sub(since) >= SOUND_AFTER {
            self.clear();
        }
    }

    /// The target.
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    /// Returns true if events of the answer have arrived.
    pub fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Records that the target has answered, so that it has not crashed on a request without a prompt.
    pub fn record_answer(&mut self) {
        self.has_answered = true;
        if self.shared.is_empty() {
            self.clear();
        }
    }

    /// Records the end of a successful answer. `is_framed` tells whether the answer itself marks its
    /// end, or ends with its connection.
    pub fn record_complete(&mut self, is_framed: bool) {
        match is_framed {
            true => self.clear(),
            false => self.has_unframed_end = true,
        }
    }

    fn clear(&mut self) {
        if !self.is_cleared {
            self.is_cleared = true;
            self.state.clear_request(&self.shared, self.digest);
        }
    }

    /// Records that the target has started to respond.
    pub fn record_prefilled(&mut self, request: &AdmittedRequest) {
        let now = self.state.now();
        let prefill = FinishedPrefill {
            uncached: self.pending_tokens,
            ahead: self.ahead,
            prompt: request.call.prompt.as_ref(),
            took: now.saturating_sub(self.sent_at),
            expected: self.expected,
        };
        self.state
            .fleet
            .borrow_mut()
            .finish_prefill(&self.target, &prefill, now);
        self.pending_tokens = 0;
    }

    /// Ends the attempt with this outcome.
    pub fn end(mut self, verdict: Verdict) {
        self.verdict = verdict;
    }

    /// The outcome for a target that did not respond in time.
    pub fn no_response(&self) -> Verdict {
        Verdict::Timeout(self.sent_at)
    }
}

impl<P> Drop for ActiveAttempt<P> {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut fleet = self.state.fleet.borrow_mut();
        if let Some(size) = self.size {
            fleet.end_generation(&self.service, &self.target, size);
        }
        let was_ejected = fleet.is_ejected(&self.target, now);
        let is_ejected = fleet.end_attempt(&self.target, self.pending_tokens, self.verdict, now);
        let has_returned = was_ejected && !fleet.is_ejected(&self.target, now);
        let is_cold = fleet.cold(&self.target, now).is_some();
        drop(fleet);
        if has_returned && is_cold {
            self.state.log_cold(&self.target, ColdSource::Ejection);
        }
        if is_ejected {
            let verdict = format!("{:?}", self.verdict);
            spdlog::warn!("target_ejected", kv: {
                target = self.target.as_str(),
                reason = verdict,
            });
        }
        if self.verdict == Verdict::Failed {
            self.log_broken(now);
        }
        let has_answered = self.has_answered && self.shared.is_empty();
        if (self.verdict == Verdict::Failed && !has_answered) || self.has_unframed_end {
            self.report_broken_answer();
        }
    }
}

impl<P> ActiveAttempt<P> {
    /// Has the target checked if the request may have crashed it.
    fn report_broken_answer(&mut self) {
        let fleet = self.state.fleet.borrow();
        let target = fleet.get(&self.target);
        let Some(target) = target.map(|target| target.record.incarnation()) else {
            return;
        };
        drop(fleet);
        let answer = BrokenAnswer {
            target,
            request: self.digest,
            shared: std::mem::take(&mut self.shared),
            is_suspect: !self.is_cleared,
            is_repeat: self.is_repeat,
            may_be_complete: self.has_unframed_end,
        };
        if !answer.is_suspect && !answer.may_be_complete {
            return;
        }
        self.state.broken_answers.borrow_mut().push(answer);
        self.state.answer_broken.notify_one();
    }

    /// Logs what a target was working on when it broke off, so that the requests that break on
    /// several targets can be compared.
    fn log_broken(&self, now: Millis) {
        if self.shared.is_empty() {
            spdlog::info!("request_broken", kv: {
                id = self.request.as_str(),
                target = self.target.as_str(),
                request = self.digest.to_string(),
                took_ms = now.saturating_sub(self.sent_at).get(),
            });
            return;
        }
        let parts = self.shared.iter().take(MAX_LOGGED_PARTS);
        let parts: Vec<String> = parts.map(|part| part.id.to_string()).collect();
        let events_for = self.first_event_at.map(|at| now.saturating_sub(at));
        spdlog::info!("prompt_broken", kv: {
            id = self.request.as_str(),
            target = self.target.as_str(),
            request = self.digest.to_string(),
            parts = parts.join(","),
            events_for_ms = events_for.map_or_else(|| "none".into(), |time| time.get().to_string()),
        });
    }
}

/// A response whose head was read and matches the request.
pub struct TargetResponse<P> {
    /// The response head.
    pub head: response::Parts,
    /// The unread body.
    pub body: Incoming,
    /// Decoded fields of the head.
    pub info: ResponseInfo,
    /// The connection, in use until the body is read.
    pub conn: Conn,
    /// The pool that the connection returns to.
    pub pool: Rc<Pool>,
    /// The attempt at the target.
    pub attempt: ActiveAttempt<P>,
}

/// How an attempt ended without a response.
enum AttemptError {
    /// The target was unreachable; nothing was sent.
    NotSent(String),
    /// The target has not run the request and will not run it.
    NotRun(String),
    /// The target may have run the request.
    Unknown(String),
    /// The deadline has passed.
    DeadlineExceeded,
}

/// The attempts of one request.
pub struct Attempts<P> {
    /// State of the entry.
    pub state: Rc<State<P>>,
    /// The request.
    pub request: AdmittedRequest,
    /// The tokens of the request.
    pub bill: Bill<P>,
    /// Number of targets that the request was sent to.
    pub sends: u32,
    /// Targets already tried, whether reachable or not.
    pub tried: Vec<TargetId>,
    /// Estimate for the last target.
    pub estimate: Millis,
    /// A target may have run the request.
    may_have_run: bool,
    /// Updated with each send, in case that the caller disconnects before the response.
    progress: Rc<RefCell<RequestLog>>,
}

impl<P: Protocol> Attempts<P> {
    /// Creates the state of a request without attempts.
    pub fn new(
        state: Rc<State<P>>,
        request: AdmittedRequest,
        bill: Bill<P>,
        progress: Rc<RefCell<RequestLog>>,
    ) -> Self {
        Self {
            state,
            request,
            bill,
            sends: 0,
            tried: Vec::new(),
            estimate: Millis::ZERO,
            may_have_run: false,
            progress,
        }
    }

    /// Copies the results so far into the log fields.
    pub fn update_log(&self, log: &mut RequestLog) {
        log.sends = self.sends;
        log.estimated_wait_ms = self.estimate.get();
        log.billed_tokens = self.bill.used().get();
        if let Some(target) = self.tried.last() {
            log.target = target.as_str().into();
        }
    }

    /// Returns true if the request may be sent to another target after one may have run it.
    pub fn may_retry(&self) -> bool {
        self.request.route.kind.is_retryable() && self.sends < self.request.route.attempts
    }

    /// Sends the request until a target responds.
    ///
    /// # Errors
    /// A refusal if no target has run the request, otherwise an error that leaves the outcome open.
    pub async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<TargetResponse<P>, Refusal> {
        let mut connects = 0;
        let mut denials = 0;
        loop {
            if self.request.time_left() < MIN_TIME_LEFT {
                return Err(self.deadline_refusal());
            }
            if self.has_refused_part() {
                return Err(self.prompt_refusal());
            }
            let chosen = self.choose(denials < MAX_DENIALS);
            let Some((target, choice)) = chosen else {
                return Err(self.no_target_refusal());
            };
            if !control::acquire_grant(&self.state, &target).await {
                denials += 1;
                continue;
            }
            self.estimate = choice.estimate;
            let error = match self.send(&target, &choice, resume_after).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            connects += 1;
            self.log_failure(&target, &error);
            let reason = match error {
                AttemptError::DeadlineExceeded => return Err(self.deadline_refusal()),
                AttemptError::NotSent(reason) if connects < MAX_CONNECTS => {
                    drop(reason);
                    continue;
                }
                AttemptError::NotSent(reason) => return Err(self.failure_refusal(&reason)),
                AttemptError::NotRun(reason) => reason,
                AttemptError::Unknown(reason) => {
                    self.may_have_run = true;
                    self.bill.record_broken(&target);
                    if !self.request.route.kind.is_retryable() {
                        return Err(self.failure_refusal(&reason));
                    }
                    reason
                }
            };
            if self.sends >= self.request.route.attempts || !self.take_retry() {
                return Err(self.failure_refusal(&reason));
            }
        }
    }

    /// Takes one retry from this entry's part of the retry budget.
    pub fn take_retry(&self) -> bool {
        let now = self.state.now();
        let entries = self.state.entries();
        let mut retry_budget = self.state.retry_budget.borrow_mut();
        retry_budget.take(&self.request.service, entries, now)
    }

    /// Returns true if targets have crashed on the request, or on a part of its prompt, since it was
    /// admitted.
    fn has_refused_part(&self) -> bool {
        if self.is_probe() {
            return false;
        }
        let prompt = self.request.call.prompt.as_ref();
        let shared = prompt.map_or(&[][..], Prompt::shared);
        let crashes = &self.state.knowledge.borrow().crashes;
        crashes.is_refused(shared) || crashes.is_refused(&[self.request.digest.part()])
    }

    /// Returns true if the request has a refused part and is let through to one target.
    fn is_probe(&self) -> bool {
        self.request.is_probe && self.sends == 0
    }

    fn no_target_refusal(&self) -> Refusal {
        let reason = "no target of the service can take it";
        if self.may_have_run {
            return self.failure_refusal(reason);
        }
        let (now, service) = (self.state.now(), &self.request.service);
        let fleet = self.state.fleet.borrow();
        let wait = match (
            fleet.service_wait(service, now),
            fleet.limit_wait(service, now),
        ) {
            (ServiceWait::Open, Some(wait)) => retry_after(wait.max(RETRY_AFTER_TARGET)),
            (wait, _) => return_time(wait),
        };
        Refusal::new(ErrorKind::NoTarget, reason).with_retry_after(wait)
    }

    /// `Retry-After` of a request that a target has rejected.
    pub fn retry_after_target(&self) -> Millis {
        let fleet = self.state.fleet.borrow();
        return_time(fleet.service_wait(&self.request.service, self.state.now()))
    }

    fn choose(&self, may_ask: bool) -> Option<(TargetId, Choice)> {
        let prompt = self.request.call.prompt.as_ref();
        let entries = self.state.entries();
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.set_entries(entries);
        let service = self.request.config.service(&self.request.service);
        fleet.set_memory(
            &self.request.service,
            service.and_then(|service| service.memory),
        );
        let required = Requirements {
            service: &self.request.service,
            connections: connection_limit(service, entries),
            objective: Some(self.request.route.objective),
            pauses: self.pauses(service),
            tried: &self.tried,
            may_probe: true,
            may_ask,
        };
        let now = self.state.now();
        let chosen = fleet.choose(&required, prompt, now);
        let evenness = fleet.take_evenness(&self.request.service, now);
        drop(fleet);
        if let Some(evenness) = evenness {
            self.state.show_evenness(&self.request.service, &evenness);
        }
        chosen
    }

    /// The pauses that matter to the caller, if the answer is a stream.
    fn pauses(&self, service: Option<&Service>) -> Option<Pauses> {
        let route = &self.request.route;
        let longest = route.longest_pause.filter(|_| route.kind.is_stream())?;
        Some(Pauses {
            longest,
            tokens_per_event: service.map_or(1, |service| service.tokens_per_event),
        })
    }

    fn log_failure(&self, target: &TargetId, error: &AttemptError) {
        let (outcome, reason) = match error {
            AttemptError::NotSent(reason) => ("not_sent", reason.as_str()),
            AttemptError::NotRun(reason) => ("not_run", reason.as_str()),
            AttemptError::Unknown(reason) => ("unknown", reason.as_str()),
            AttemptError::DeadlineExceeded => ("late", ""),
        };
        spdlog::info!("attempt_failed", kv: {
            id = self.request.call.id.as_str(),
            target = target.as_str(),
            sends = self.sends,
            estimated_wait_ms = self.estimate.get(),
            outcome = outcome,
            reason = reason,
        });
    }

    fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(ErrorKind::DeadlineWhileRunning, "the time is over");
        }
        Refusal::new(
            ErrorKind::Overloaded,
            "the time is over before a target was reached",
        )
        .with_retry_after(self.retry_after_target())
    }

    fn prompt_refusal(&self) -> Refusal {
        let detail = "targets crashed on the request or on a part of its prompt";
        if self.may_have_run {
            return Refusal::new(ErrorKind::OutcomeUnknown, detail);
        }
        Refusal::new(ErrorKind::PromptRefused, detail)
            .with_retry_after(retry_after(RETRY_AFTER_REFUSED_PROMPT))
    }

    fn failure_refusal(&self, reason: &str) -> Refusal {
        if self.may_have_run {
            return Refusal::new(ErrorKind::OutcomeUnknown, reason);
        }
        Refusal::new(ErrorKind::NoTarget, reason).with_retry_after(self.retry_after_target())
    }

    async fn send(
        &mut self,
        target: &TargetId,
        choice: &Choice,
        resume_after: Option<u64>,
    ) -> Result<TargetResponse<P>, AttemptError> {
        self.tried.push(target.clone());
        let (pool, incarnation) = {
            let fleet = self.state.fleet.borrow();
            let known = fleet.get(target);
            let known = known.map(|known| (known.pool.clone(), known.record.incarnation()));
            known.ok_or_else(|| AttemptError::NotSent("the target has just left".into()))?
        };
        let attempt = ActiveAttempt::new(
            self.state.clone(),
            self.request.service.clone(),
            incarnation,
            choice,
            &self.request,
            self.bill.has_broken(),
        );
        let begun = self.state.now();
        let mut conn = match pool.take_idle() {
            Some(conn) => conn,
            None => match pool.connect().await {
                Ok(conn) => {
                    self.state.record_delay(begun);
                    conn
                }
                Err(error) => {
                    attempt.end(Verdict::NotReached);
                    return Err(AttemptError::NotSent(error.to_string()));
                }
            },
        };
        let req = self.build_request(target, resume_after);
        let req = req.map_err(|error| AttemptError::NotSent(error.to_string()))?;
        // The grant and the connection may have taken time, in which other answers have arrived.
        let now = self.state.now();
        if !self
            .state
            .fleet
            .borrow()
            .may_send(&attempt.incarnation, now)
        {
            self.state.metrics.incr(cyc_obs::names::SENDS_WITHHELD).ok();
            attempt.end(Verdict::Abandoned);
            let reason = "the target takes no requests any more";
            return Err(AttemptError::NotSent(reason.into()));
        }
        let is_first = conn.start_request();
        let sent = conn.sender.try_send_request(req);
        if self.sends == 0 {
            let mut retry_budget = self.state.retry_budget.borrow_mut();
            retry_budget.record_first_attempt(&self.request.service, self.state.now());
        }
        self.sends += 1;
        self.state
            .record_message(Direction::Out, self.request.body.len());
        self.update_log(&mut self.progress.borrow_mut());
        // From here on the target may run the request, even if the caller disconnects.
        self.bill.start_run();
        let until = self.response_deadline();
        let received = match tokio::time::timeout_at(until, sent).await {
            Err(_) if until < self.request.deadline => {
                let verdict = attempt.no_response();
                attempt.end(verdict);
                return Err(AttemptError::Unknown(
                    "no answer within the usual time".into(),
                ));
            }
            Err(_) => {
                self.may_have_run = true;
                let verdict = attempt.no_response();
                attempt.end(verdict);
                return Err(AttemptError::DeadlineExceeded);
            }
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.error().to_string();
                if !is_unsent {
                    attempt.end(Verdict::Failed);
                    return Err(AttemptError::Unknown(reason));
                }
                // The target had closed an idle connection and is healthy; it may be tried again.
                self.bill.cancel_run();
                self.sends -= 1;
                self.tried.pop();
                return Err(AttemptError::NotSent(reason));
            }
            Ok(Ok(received)) => received,
        };
        let response = self.check(received, is_first, conn, pool, attempt);
        match &response {
            // A target that responds has run the request, even if the response breaks off later.
            Ok(_) => self.may_have_run = true,
            Err(AttemptError::NotRun(_)) => {
                self.bill.cancel_run();
            }
            Err(_) => {}
        }
        response
    }

    /// Deadline of this attempt. An idempotent request moves to another target while there is time
    /// for that.
    fn response_deadline(&self) -> Instant {
        let request = &self.request;
        let typical = request.route.objective.duration() * 3 / 2;
        let is_idempotent = request.route.kind == RouteKind::Idempotent;
        let has_time = request.time_left().duration() > typical * 2;
        if is_idempotent && has_time && self.may_retry() {
            Instant::now() + typical
        } else {
            request.deadline
        }
    }

    fn build_request(
        &self,
        target: &TargetId,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let request = &self.request;
        let info = TargetRequestInfo {
            target,
            time_left: request.time_left(),
            account: request.account.as_ref().map(|account| &account.id),
            urgency: request.call.prompt.as_ref().map(|_| request.urgency()),
            resume_after,
        };
        let headers = self
            .state
            .protocol
            .target_headers(&request.head.headers, &info);
        let path = request.head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut req = Request::builder()
            .method(request.head.method.clone())
            .uri(path.parse::<Uri>()?)
            .body(Full::new(request.body.clone()))?;
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Accepts a response only if it belongs to this request and comes from the target itself. Nothing
    /// in another one is acted upon: the request may have run. `is_first` tells whether the request is
    /// the first one on its connection, so that a response without an id can only be its own.
    fn check(
        &self,
        received: Response<Incoming>,
        is_first: bool,
        conn: Conn,
        pool: Rc<Pool>,
        mut attempt: ActiveAttempt<P>,
    ) -> Result<TargetResponse<P>, AttemptError> {
        let (head, body) = received.into_parts();
        let info = self.state.protocol.decode_response(&head);
        let is_own = match &info.id {
            Some(id) => *id == self.request.call.id,
            None => is_first,
        };
        attempt.has_answered = true;
        if !is_final(head.status) {
            attempt.end(Verdict::Failed);
            let reason = format!("not a final answer: {}", head.status);
            return Err(AttemptError::Unknown(reason));
        }
        if !is_own {
            attempt.end(Verdict::Failed);
            let reason = format!("not the answer to this request: {}", head.status);
            return Err(AttemptError::Unknown(reason));
        }
        if info.is_misdirected {
            attempt.end(Verdict::NotReached);
            return Err(AttemptError::NotRun(
                "the address belongs to another target".into(),
            ));
        }
        if let Some(load) = info.load {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.record_load(&attempt.target, load, self.state.now());
        }
        self.state
            .record_limit(&attempt.target, info.limit, attempt.sent_at);
        self.state
            .record_signals(&attempt.incarnation, info.signals);
        if let Some(left) = info.cold_left {
            self.state
                .mark_cold(&attempt.incarnation, left, ColdSource::Answer);
        }
        if info.is_not_run {
            attempt.end(Verdict::Full);
            return Err(AttemptError::NotRun(format!(
                "refused with {}",
                head.status
            )));
        }
        let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
        let needs_signature = head.status.is_success() || guarantees_not_run(head.status);
        // An answer that is passed on names its request, so that the caller can check it.
        let is_named = info.id.is_some();
        if !is_named || is_encoded || (needs_signature && !info.is_signed) {
            attempt.end(Verdict::Failed);
            let reason = format!(
                "not an answer of the target itself: {} named={is_named} encoded={is_encoded} signed={}",
                head.status, info.is_signed
            );
            return Err(AttemptError::Unknown(reason));
        }
        if self.may_have_run && guarantees_not_run(head.status) {
            // True of this target only: passed on, it would promise that no target has run it.
            attempt.end(Verdict::Full);
            return Err(AttemptError::NotRun(format!(
                "refused with {} after another target may have run it",
                head.status
            )));
        }
        // The body may still break off.
        attempt.has_answered = false;
        Ok(TargetResponse {
            head,
            body,
            info,
            conn,
            pool,
            attempt,
        })
    }
}

/// When a caller may return: not before the first of the targets takes requests again, if all of them
/// have announced that they take none. A random part is added, so that callers do not return
/// together; it does not double long waits.
fn return_time(wait: ServiceWait) -> Millis {
    match wait {
        ServiceWait::Until(wait) => {
            let most = RETRY_AFTER_TARGET.get().max(wait.get() / JITTER_DIVISOR);
            wait + Millis::new(rand::random_range(0..=most))
        }
        ServiceWait::Open | ServiceWait::Leaving => retry_after(RETRY_AFTER_TARGET),
    }
}

/// Connections that this entry may have open to one target of a service.
fn connection_limit(service: Option<&Service>, entries: usize) -> u32 {
    let all = service.map_or(u32::MAX, |service| service.max_connections);
    let used = u64::from(all) * CONNECTIONS_PERCENT / 100 / entries as u64;
    used.max(1) as u32
}

/// Returns true if the status is one of an answer: an interim one belongs to a request that asked for
/// another protocol, and HTTP has none above.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns true if the status guarantees that the request has not run. Only a target itself may
/// send one.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
