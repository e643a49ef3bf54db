//! Relay of responses to callers: buffered bodies, and event streams event by event.

use bytes::{Bytes, BytesMut};
use cyc_intake::Direction;
use cyc_types::{ErrorKind, Refusal};
use futures::stream;
use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    answer::{ResponseBody, Truncated, insert_retry_after},
    buffer::AnswerBuffer,
    config::RouteKind,
    event::Splitter,
    fleet::Verdict,
    port::Protocol,
    proxy::{Attempts, RequestLog, TargetResponse, guarantees_not_run, log_request_end},
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
pub async fn respond<P: Protocol>(
    mut attempts: Attempts<P>,
    mut response: TargetResponse<P>,
    log: &mut RequestLog,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let is_stream = attempts.request.route.kind.is_stream();
        let result = if is_stream && response.head.status.is_success() {
            start_stream(attempts, response, log).await
        } else {
            buffer_response(attempts, response, log).await
        };
        match result {
            Ok(response) => return Ok(response),
            Err(RelayError::Final(failure)) => return Err(failure),
            Err(RelayError::Replaced(boxed)) => {
                (attempts, response) = *boxed;
            }
            Err(RelayError::Retryable(boxed, reason)) => {
                attempts = *boxed;
                if !attempts.may_retry() || !attempts.take_retry() {
                    return Err(Refusal::new(ErrorKind::AnswerIncomplete, reason));
                }
                let retried = attempts.next_response(None).await;
                attempts.update_log(log);
                response = retried?;
            }
        }
    }
}

/// Why a response was not relayed.
enum RelayError<P> {
    /// Another target has answered in place of the one that failed.
    Replaced(Box<(Attempts<P>, TargetResponse<P>)>),
    /// Another target may be tried.
    Retryable(Box<Attempts<P>>, String),
    /// No further attempt is possible.
    Final(Refusal),
}

async fn buffer_response<P: Protocol>(
    mut attempts: Attempts<P>,
    response: TargetResponse<P>,
    log: &mut RequestLog,
) -> Result<Response<ResponseBody>, RelayError<P>> {
    let TargetResponse {
        mut head,
        body,
        info,
        conn,
        pool,
        mut attempt,
    } = response;
    attempt.record_prefilled(&attempts.request);
    let buffer = attempts.state.answer_memory.start();
    let read = read_body(body, buffer);
    let body = match tokio::time::timeout_at(attempts.request.deadline, read).await {
        Ok(Ok(body)) => {
            for direction in [Direction::In, Direction::Out] {
                attempts.state.record_message(direction, body.len());
            }
            body
        }
        Ok(Err(error)) => {
            attempts.bill.record_broken(attempt.target());
            attempt.end(Verdict::Failed);
            return Err(RelayError::Retryable(Box::new(attempts), error));
        }
        Err(_) => {
            let verdict = attempt.no_response();
            attempt.end(verdict);
            let kind = ErrorKind::DeadlineWhileRunning;
            return Err(RelayError::Final(Refusal::new(kind, "the time is over")));
        }
    };
    if closes_connection(&head.headers) {
        conn.finish_request();
        drop(conn);
    } else {
        pool.put_idle(conn, info.keep_alive);
    }
    let is_failure = head.status.is_server_error();
    attempt.record_answer();
    if head.status.is_success() {
        attempt.record_complete(is_framed(&head.headers));
    }
    attempt.end(if is_failure {
        Verdict::Failed
    } else {
        Verdict::Answered
    });
    if is_failure && attempts.may_retry() && attempts.take_retry() {
        let retried = attempts.next_response(None).await;
        // Without another response, the caller gets the server error.
        if let Ok(response) = retried {
            attempts.update_log(log);
            return Err(RelayError::Replaced(Box::new((attempts, response))));
        }
    }
    if guarantees_not_run(head.status) {
        attempts.bill.cancel_run();
    } else {
        attempts.bill.record_answer();
    }
    strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    if info.signals.pause.is_some() {
        // What the target wants is for this entry; the caller may be served by another target before.
        insert_retry_after(&mut head.headers, attempts.retry_after_target());
    }
    let arrived = attempts.request.arrived;
    log.first_byte_ms = attempts.state.now().saturating_sub(arrived).get();
    attempts.update_log(log);
    log_request_end(&attempts.state, log, arrived, head.status, "answered", "");
    Ok(Response::from_parts(
        head,
        ResponseBody::Buffered(Some(body)),
    ))
}

/// Reads a whole body. The buffer is returned to the share of the entry once the body is complete.
///
/// # Errors
/// Why the body is not complete, or not kept.
async fn read_body(mut body: Incoming, mut buffer: AnswerBuffer) -> Result<Bytes, String> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > MAX_BODY_BYTES {
            return Err(format!("the body is longer than {MAX_BODY_BYTES} bytes"));
        }
        if !buffer.grow(data.len()) {
            return Err("the answers being read take too much memory".into());
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}

/// Returns true if a message with these headers marks its own end.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// An event stream being relayed to the caller.
struct StreamRelay<P: Protocol> {
    attempts: Attempts<P>,
    /// The target's response; `None` after its end.
    response: Option<TargetResponse<P>>,
    splitter: Splitter,
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    log: RequestLog,
    status: StatusCode,
    outcome: &'static str,
    detail: String,
    /// The caller gets an error response instead of a stream, which is logged separately.
    is_refused: bool,
}

impl<P: Protocol> Drop for StreamRelay<P> {
    fn drop(&mut self) {
        if self.is_refused {
            return;
        }
        self.attempts.update_log(&mut self.log);
        log_request_end(
            &self.attempts.state,
            &self.log,
            self.attempts.request.arrived,
            self.status,
            self.outcome,
            &self.detail,
        );
    }
}

/// Result of reading the target's stream.
enum StreamRead {
    /// Complete events.
    Events(Bytes),
    /// The target ended the stream.
    End,
    /// The stream broke off.
    Broken(String),
    /// The deadline has passed.
    DeadlineExceeded,
}

impl<P: Protocol> StreamRelay<P> {
    fn new(attempts: Attempts<P>, response: TargetResponse<P>) -> Self {
        Self {
            last_id: attempts.request.call.resume_after,
            status: response.head.status,
            attempts,
            response: Some(response),
            splitter: Splitter::new(),
            log: RequestLog::default(),
            outcome: "caller_left",
            detail: String::new(),
            is_refused: false,
        }
    }

    /// Waits for the next complete events of the target's response.
    async fn read_events(&mut self) -> StreamRead {
        loop {
            if let Some(events) = self.take_events() {
                return StreamRead::Events(events);
            }
            let Some(response) = &mut self.response else {
                return StreamRead::End;
            };
            let frame =
                tokio::time::timeout_at(self.attempts.request.deadline, response.body.frame());
            match frame.await {
                Err(_) => return StreamRead::DeadlineExceeded,
                Ok(None) if self.splitter.is_empty() => return self.read_end(),
                Ok(None) => return StreamRead::Broken("the stream ended inside an event".into()),
                Ok(Some(Err(error))) => return StreamRead::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    for direction in [Direction::In, Direction::Out] {
                        let state = &self.attempts.state;
                        state.record_bytes(direction, data.len() as u64);
                    }
                    if self.splitter.push(&data).is_err() {
                        return StreamRead::Broken("an event is too long".into());
                    }
                }
            }
        }
    }

    /// The end of the target's response between two events. One that is not marked in the response
    /// may be a failure of the target; before the first event it is taken for one.
    fn read_end(&self) -> StreamRead {
        let response = self.response.as_ref();
        let is_empty = self.last_id.is_none()
            && response.is_some_and(|response| {
                !response.attempt.has_events() && !is_framed(&response.head.headers)
            });
        match is_empty {
            true => StreamRead::Broken("the stream ended before its first event".into()),
            false => StreamRead::End,
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
                self.attempts.bill.record_event();
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

    /// Ends the attempt successfully and keeps the connection unless the target closes it.
    fn finish(&mut self) {
        if let Some(mut response) = self.response.take() {
            let is_framed = is_framed(&response.head.headers);
            response.attempt.record_complete(is_framed);
            let is_reusable = !closes_connection(&response.head.headers);
            response.conn.finish_request();
            if is_reusable {
                response
                    .pool
                    .put_idle(response.conn, response.info.keep_alive);
            }
            response.attempt.end(Verdict::Answered);
        }
    }

    fn abort(&mut self, verdict: Verdict) {
        if let Some(response) = self.response.take() {
            if verdict == Verdict::Failed {
                let target = response.attempt.target();
                self.attempts.bill.record_broken(target);
            }
            response.attempt.end(verdict);
        }
        self.splitter = Splitter::new();
    }

    /// Continues the stream on another target after the last relayed event.
    async fn resume(&mut self) -> Result<(), String> {
        let is_resumable = self.attempts.request.route.kind == RouteKind::ResumableStream;
        if !is_resumable || !self.attempts.may_retry() || !self.attempts.take_retry() {
            return Err("no other target may continue it".into());
        }
        let response = self.attempts.next_response(self.last_id).await;
        let response = response.map_err(|refusal| refusal.detail.to_string())?;
        if !response.head.status.is_success() {
            return Err(format!("the next target answered {}", response.head.status));
        }
        self.response = Some(response);
        Ok(())
    }

    /// Returns the next bytes for the caller.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            match self.read_events().await {
                StreamRead::Events(events) => {
                    if let Some(response) = &mut self.response {
                        response.attempt.record_events();
                    }
                    return Some(Ok(events));
                }
                StreamRead::End => {
                    self.finish();
                    self.outcome = "answered";
                    return None;
                }
                StreamRead::DeadlineExceeded => {
                    self.abort(Verdict::Abandoned);
                    self.outcome = "late";
                    return Some(Err(Truncated));
                }
                StreamRead::Broken(reason) => {
                    self.abort(Verdict::Failed);
                    self.detail = reason;
                    if let Err(reason) = self.resume().await {
                        self.detail = format!("{}; {reason}", self.detail);
                        self.outcome = "broken";
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }
}

/// Waits for the first events, so that a failure before them gets an error response instead of a
/// truncated stream.
async fn start_stream<P: Protocol>(
    attempts: Attempts<P>,
    response: TargetResponse<P>,
    log: &mut RequestLog,
) -> Result<Response<ResponseBody>, RelayError<P>> {
    let mut head = response.head.clone();
    let mut relay = StreamRelay::new(attempts, response);
    relay.log = std::mem::take(log);
    let first = relay.next_chunk().await;
    let arrived = relay.attempts.request.arrived;
    let took = relay.attempts.state.now().saturating_sub(arrived);
    relay.log.first_byte_ms = took.get();
    if let Some(response) = &mut relay.response {
        response.attempt.record_prefilled(&relay.attempts.request);
    }
    let first = match first {
        Some(Ok(events)) => Some(events),
        None => None,
        Some(Err(Truncated)) => {
            let is_late = relay.attempts.request.deadline <= Instant::now();
            let kind = if is_late {
                ErrorKind::DeadlineWhileRunning
            } else {
                ErrorKind::AnswerIncomplete
            };
            relay.is_refused = true;
            relay.attempts.update_log(&mut relay.log);
            *log = std::mem::take(&mut relay.log);
            let failure = Refusal::new(kind, relay.detail.clone());
            return Err(RelayError::Final(failure));
        }
    };
    strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let chunks = stream::unfold((relay, first), |(mut relay, first)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (relay, None)));
        }
        // Another outcome is set once the stream has ended.
        if relay.outcome != "caller_left" {
            return None;
        }
        let chunk = relay.next_chunk().await?;
        Some((chunk, (relay, None)))
    });
    Ok(Response::from_parts(
        head,
        ResponseBody::Stream(Box::pin(chunks)),
    ))
}
