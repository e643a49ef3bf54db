//! Relay of responses to callers: buffered bodies, and event streams event by event.

use bytes::{Bytes, BytesMut};
use cyc_types::{ErrorKind, Refusal};
use futures::stream;
use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Limited};
use tokio::time::Instant;

use crate::{
    answer::{Cut, Reply},
    config::RouteKind,
    event::Splitter,
    fleet::Verdict,
    port::Wire,
    proxy::{Attempts, Opened, Trace, log_end},
};

/// Maximum body size of a response that is not a stream.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TRAILER,
    header::TE,
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Turns a target's response into the response to the caller.
///
/// # Errors
/// An error that leaves the outcome open, if the response broke off before its first bytes were
/// relayed.
pub async fn respond<W: Wire>(
    mut attempts: Attempts<W>,
    mut opened: Opened<W>,
    trace: &mut Trace,
) -> Result<Response<Reply>, Refusal> {
    loop {
        let is_stream = attempts.accepted.route.kind.is_stream();
        let result = if is_stream && opened.head.status.is_success() {
            first_event(attempts, opened, trace).await
        } else {
            whole(attempts, opened, trace).await
        };
        match result {
            Ok(response) => return Ok(response),
            Err(Broken::Failed(failure)) => return Err(failure),
            Err(Broken::Again(again, why)) => {
                attempts = *again;
                if !attempts.may_repeat() || !attempts.take_repeat() {
                    return Err(Refusal::new(ErrorKind::AnswerIncomplete, why));
                }
                let reopened = attempts.open(None).await;
                attempts.note(trace);
                opened = reopened?;
            }
        }
    }
}

/// Why a response could not be relayed.
enum Broken<W> {
    /// Another target may be tried.
    Again(Box<Attempts<W>>, String),
    /// No further attempt is possible.
    Failed(Refusal),
}

async fn whole<W: Wire>(
    mut attempts: Attempts<W>,
    opened: Opened<W>,
    trace: &mut Trace,
) -> Result<Response<Reply>, Broken<W>> {
    let Opened {
        mut head,
        body,
        facts,
        conn,
        pool,
        mut run,
    } = opened;
    run.note_read(&attempts.accepted);
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = match tokio::time::timeout_at(attempts.accepted.limit, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            run.end(Verdict::Failed);
            return Err(Broken::Again(Box::new(attempts), error.to_string()));
        }
        Err(_) => {
            let verdict = run.silent();
            run.end(verdict);
            let kind = ErrorKind::DeadlineWhileRunning;
            return Err(Broken::Failed(Refusal::new(kind, "the time is over")));
        }
    };
    if closes(&head.headers) {
        drop(conn);
    } else {
        pool.give_back(conn, facts.keep_alive);
    }
    let is_failure = head.status.is_server_error();
    run.end(if is_failure {
        Verdict::Failed
    } else {
        Verdict::Answered
    });
    if is_failure && attempts.may_repeat() && attempts.take_repeat() {
        let again = attempts.open(None).await;
        if let Ok(opened) = again {
            attempts.note(trace);
            return Box::pin(whole(attempts, opened, trace)).await;
        }
    }
    attempts.bill.set_run(true);
    strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let arrived = attempts.accepted.arrived;
    trace.first = attempts.state.now().saturating_sub(arrived).get();
    attempts.note(trace);
    log_end(&attempts.state, trace, arrived, head.status, "answered", "");
    Ok(Response::from_parts(head, Reply::Whole(Some(body))))
}

fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// An event stream being relayed to the caller.
struct Relay<W: Wire> {
    attempts: Attempts<W>,
    /// The target's response; `None` after its end.
    opened: Option<Opened<W>>,
    splitter: Splitter,
    last_id: Option<u64>,
    trace: Trace,
    status: StatusCode,
    outcome: &'static str,
    detail: String,
    /// The caller gets an error response instead of a stream, which is logged separately.
    is_refused: bool,
}

impl<W: Wire> Drop for Relay<W> {
    fn drop(&mut self) {
        if self.is_refused {
            return;
        }
        self.attempts.note(&mut self.trace);
        log_end(
            &self.attempts.state,
            &self.trace,
            self.attempts.accepted.arrived,
            self.status,
            self.outcome,
            &self.detail,
        );
    }
}

/// Result of reading the target's stream.
enum Next {
    /// Complete events.
    Events(Bytes),
    /// The target ended the stream.
    End,
    /// The stream broke off.
    Broken(String),
    /// The deadline has passed.
    Late,
}

impl<W: Wire> Relay<W> {
    fn new(attempts: Attempts<W>, opened: Opened<W>) -> Self {
        Self {
            last_id: attempts.accepted.call.resume_after,
            status: opened.head.status,
            attempts,
            opened: Some(opened),
            splitter: Splitter::new(),
            trace: Trace::default(),
            outcome: "caller_left",
            detail: String::new(),
            is_refused: false,
        }
    }

    /// Waits for the next complete events of the target's response.
    async fn next(&mut self) -> Next {
        loop {
            if let Some(events) = self.take_events() {
                return Next::Events(events);
            }
            let Some(opened) = &mut self.opened else {
                return Next::End;
            };
            let frame = tokio::time::timeout_at(self.attempts.accepted.limit, opened.body.frame());
            match frame.await {
                Err(_) => return Next::Late,
                Ok(None) if self.splitter.is_empty() => return Next::End,
                Ok(None) => return Next::Broken("the stream ended inside an event".into()),
                Ok(Some(Err(error))) => return Next::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if self.splitter.push(&data).is_err() {
                        return Next::Broken("an event is too long".into());
                    }
                }
            }
        }
    }

    /// Takes all complete events from the splitter, without those that the caller already has.
    fn take_events(&mut self) -> Option<Bytes> {
        let mut all = BytesMut::new();
        let mut first: Option<Bytes> = None;
        while let Some(event) = self.splitter.pop() {
            if let Some(id) = event.id {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
                self.attempts.bill.events += 1;
            }
            match first.take() {
                None if all.is_empty() => first = Some(event.bytes),
                None => all.extend_from_slice(&event.bytes),
                Some(before) => {
                    all.extend_from_slice(&before);
                    all.extend_from_slice(&event.bytes);
                }
            }
        }
        first.or_else(|| (!all.is_empty()).then(|| all.freeze()))
    }

    /// Ends the attempt successfully and keeps the connection if possible.
    fn finish(&mut self) {
        if let Some(opened) = self.opened.take() {
            let is_kept = !closes(&opened.head.headers);
            if is_kept {
                opened.pool.give_back(opened.conn, opened.facts.keep_alive);
            }
            opened.run.end(Verdict::Answered);
        }
    }

    fn break_off(&mut self, verdict: Verdict) {
        if let Some(opened) = self.opened.take() {
            opened.run.end(verdict);
        }
        self.splitter = Splitter::new();
    }

    /// Continues the stream on another target after the last relayed event.
    async fn resume(&mut self) -> Result<(), String> {
        let is_resumable = self.attempts.accepted.route.kind == RouteKind::ResumableStream;
        if !is_resumable || !self.attempts.may_repeat() || !self.attempts.take_repeat() {
            return Err("no other target may continue it".into());
        }
        let opened = self.attempts.open(self.last_id).await;
        let opened = opened.map_err(|refusal| refusal.detail.to_string())?;
        if !opened.head.status.is_success() {
            return Err(format!("the next target answered {}", opened.head.status));
        }
        self.opened = Some(opened);
        Ok(())
    }

    /// Returns the next bytes for the caller.
    async fn piece(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            match self.next().await {
                Next::Events(events) => return Some(Ok(events)),
                Next::End => {
                    self.finish();
                    self.outcome = "answered";
                    return None;
                }
                Next::Late => {
                    self.break_off(Verdict::Abandoned);
                    self.outcome = "late";
                    return Some(Err(Cut));
                }
                Next::Broken(why) => {
                    self.break_off(Verdict::Failed);
                    self.detail = why;
                    if let Err(why) = self.resume().await {
                        self.detail = format!("{}; {why}", self.detail);
                        self.outcome = "broken";
                        return Some(Err(Cut));
                    }
                }
            }
        }
    }
}

/// Waits for the first events; until then the request can still move to another target.
async fn first_event<W: Wire>(
    attempts: Attempts<W>,
    opened: Opened<W>,
    trace: &mut Trace,
) -> Result<Response<Reply>, Broken<W>> {
    let mut head = opened.head.clone();
    let mut relay = Relay::new(attempts, opened);
    relay.trace = std::mem::take(trace);
    let first = relay.piece().await;
    let arrived = relay.attempts.accepted.arrived;
    let took = relay.attempts.state.now().saturating_sub(arrived);
    relay.trace.first = took.get();
    if let Some(opened) = &mut relay.opened {
        opened.run.note_read(&relay.attempts.accepted);
    }
    let first = match first {
        Some(Ok(events)) => Some(events),
        None => None,
        Some(Err(Cut)) => {
            let is_late = relay.attempts.accepted.limit <= Instant::now();
            let kind = if is_late {
                ErrorKind::DeadlineWhileRunning
            } else {
                ErrorKind::AnswerIncomplete
            };
            relay.is_refused = true;
            relay.attempts.note(&mut relay.trace);
            *trace = std::mem::take(&mut relay.trace);
            let failure = Refusal::new(kind, relay.detail.clone());
            return Err(Broken::Failed(failure));
        }
    };
    strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let pieces = stream::unfold((relay, first), |(mut relay, first)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (relay, None)));
        }
        if relay.outcome != "caller_left" {
            return None;
        }
        let piece = relay.piece().await?;
        Some((piece, (relay, None)))
    });
    Ok(Response::from_parts(head, Reply::Stream(Box::pin(pieces))))
}
