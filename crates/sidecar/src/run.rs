//! Runs a request at the target and writes its answer, receipt and end of claim.

use std::sync::Arc;

use cyc_claim::DoneAnswer;
use cyc_proto::{
    Receipt,
    sidecar::{Frame, RunRequest, Work},
};
use cyc_types::{ErrorKind, Outcome, Refusal, Tokens};
use futures::StreamExt as _;
use smol_str::SmolStr;

use crate::{
    admission::Sidecar,
    table::Run,
    target::{CallAnswer, ChatEvent, ChatStream, Error},
};

/// How a run ended.
///
/// Complete runs and runs stopped by the caller or by the deadline are billed. So are runs with an
/// unknown outcome, since they may have taken effect. Runs that failed at the target are not.
#[derive(Debug)]
struct RunEnd {
    frame: EndFrame,
    /// Tokens to bill; `None` if the run is not billed.
    used: Option<Tokens>,
}

#[derive(Debug)]
enum EndFrame {
    Complete {
        prompt: Tokens,
        output: Tokens,
        reason: SmolStr,
    },
    Failed(Refusal),
}

impl RunEnd {
    fn failed(kind: ErrorKind, detail: impl Into<SmolStr>) -> Self {
        Self {
            frame: EndFrame::Failed(Refusal::new(kind, detail)),
            used: None,
        }
    }

    fn with_bill(mut self, used: Tokens) -> Self {
        self.used = Some(used);
        self
    }
}

/// Runs the request at the target until its answer is complete or failed.
pub async fn execute(sidecar: Arc<Sidecar>, run: Arc<Run>) {
    let end = match &run.req.work {
        Work::Chat { max_output, .. } => chat(&sidecar, &run, *max_output).await,
        Work::Call { .. } => call(&sidecar, &run).await,
    };
    finish(&sidecar, &run, end);
}

/// Writes the receipt, the end of the claim and the end frame of the answer.
fn finish(sidecar: &Sidecar, run: &Run, end: RunEnd) {
    let now = sidecar.clock().now();
    let outcome = match &end.frame {
        EndFrame::Complete { .. } => Outcome::Ran,
        EndFrame::Failed(refusal) => refusal.outcome(),
    };
    let receipt = end.used.map(|used| receipt(sidecar, &run.req, used));
    match outcome {
        Outcome::NotRun => sidecar.table().end_not_run(run, now),
        Outcome::Ran | Outcome::Unknown => sidecar.table().end(run, receipt.as_ref(), now),
    }
    end_claim(sidecar, run, outcome, end.used.unwrap_or_default());
    run.answer.push(match end.frame {
        EndFrame::Complete {
            prompt,
            output,
            reason,
        } => Frame::End {
            prompt,
            output,
            reason,
            receipt,
        },
        EndFrame::Failed(refusal) => Frame::Failed { refusal, receipt },
    });
}

/// Records in the claim how the request ended. If the outcome is unknown or no answer has started,
/// the claim stays open, so that no other sidecar runs the request.
fn end_claim(sidecar: &Sidecar, run: &Run, outcome: Outcome, used: Tokens) {
    if run.req.idempotent {
        return;
    }
    match outcome {
        Outcome::NotRun => sidecar.claims().not_run(&run.req),
        Outcome::Unknown => {}
        Outcome::Ran => {
            if let Some(answer) = stored_answer(run, used) {
                sidecar.claims().done(&run.req, answer);
            }
        }
    }
}

fn stored_answer(run: &Run, tokens: Tokens) -> Option<DoneAnswer> {
    let mut stored = None;
    for frame in run.answer.snapshot() {
        match frame {
            Frame::Head {
                status,
                content_type,
            } => {
                stored = Some(DoneAnswer {
                    status,
                    content_type,
                    body: String::new(),
                    tokens,
                });
            }
            Frame::Data { text, .. } => stored.as_mut()?.body.push_str(&text),
            Frame::End { .. } | Frame::Failed { .. } => {}
        }
    }
    stored
}

/// Builds the receipt of a run. Never bills more than was reserved.
pub(crate) fn receipt(sidecar: &Sidecar, req: &RunRequest, used: Tokens) -> Receipt {
    Receipt {
        request: req.request,
        account: req.account.clone(),
        grant: req.grant.clone(),
        entry: req.entry.clone(),
        attempt: req.attempt,
        service: req.service.clone(),
        tokens: used.min(req.reserved),
        at: sidecar.clock().wall_time(),
    }
}

/// # Chat completions
async fn chat(sidecar: &Sidecar, run: &Run, max_output: Tokens) -> RunEnd {
    let deadline = tokio::time::sleep(run.req.deadline.duration());
    tokio::pin!(deadline);
    let stream = tokio::select! {
        started = sidecar.target().chat(&run.req) => started,
        () = &mut deadline => return deadline_exceeded(sidecar, run, Tokens::ZERO).await,
        () = run.cancel.notified() => return cancelled(sidecar, run, Tokens::ZERO).await,
    };
    let stream = match stream {
        Ok(stream) => stream,
        Err(error) => return chat_not_started(error),
    };
    run.answer.push(Frame::Head {
        status: 200,
        content_type: "text/event-stream".into(),
    });
    let mut relay = ChatRelay::new(max_output);
    tokio::select! {
        end = relay.relay_events(run, stream) => match end {
            ChatEnd::Complete(end) => end,
            ChatEnd::LimitReached => {
                cancel_completion(sidecar, run).await;
                relay.complete("length".into())
            }
        },
        () = &mut deadline => deadline_exceeded(sidecar, run, relay.used(run)).await,
        () = run.cancel.notified() => cancelled(sidecar, run, relay.used(run)).await,
    }
}

fn chat_not_started(error: Error) -> RunEnd {
    match error {
        Error::NotSent(reason) => RunEnd::failed(ErrorKind::NoTarget, reason),
        // 404: the model is not loaded yet, so the request may run later or at another target.
        Error::Refused(status @ (404 | 429 | 503), body) => {
            RunEnd::failed(ErrorKind::Overloaded, format!("{status}: {body}"))
        }
        Error::Refused(status @ 400..=499, body) => {
            RunEnd::failed(ErrorKind::BadRequest, format!("{status}: {body}"))
        }
        other => RunEnd::failed(ErrorKind::TargetFailed, other.to_string()),
    }
}

async fn cancel_completion(sidecar: &Sidecar, run: &Run) {
    if let Err(error) = sidecar.target().cancel(run.req.request).await {
        spdlog::warn!("cancel_failed", kv: {
            request = run.req.request.to_string(),
            error = error.to_string(),
        });
    }
}

async fn deadline_exceeded(sidecar: &Sidecar, run: &Run, used: Tokens) -> RunEnd {
    cancel_completion(sidecar, run).await;
    RunEnd::failed(ErrorKind::DeadlineWhileRunning, "the run was stopped").with_bill(used)
}

async fn cancelled(sidecar: &Sidecar, run: &Run, used: Tokens) -> RunEnd {
    cancel_completion(sidecar, run).await;
    RunEnd::failed(ErrorKind::AnswerIncomplete, "the caller cancelled the run").with_bill(used)
}

fn answer_incomplete(error: &Error) -> RunEnd {
    RunEnd::failed(ErrorKind::AnswerIncomplete, error.to_string())
}

enum ChatEnd {
    Complete(RunEnd),
    LimitReached,
}

/// Copies the events of a completion into the answer and counts the generated tokens.
struct ChatRelay {
    max_output: Tokens,
    /// Text events relayed so far, each counted as one token.
    output: Tokens,
    reason: Option<SmolStr>,
    /// Prompt and output tokens as counted by the engine.
    usage: Option<(Tokens, Tokens)>,
}

impl ChatRelay {
    fn new(max_output: Tokens) -> Self {
        Self {
            max_output,
            output: Tokens::ZERO,
            reason: None,
            usage: None,
        }
    }

    async fn relay_events(&mut self, run: &Run, mut stream: ChatStream) -> ChatEnd {
        while let Some(event) = stream.next().await {
            match event {
                Ok(ChatEvent::Text(text)) => {
                    // An engine that ignores the limit would use more tokens than were reserved.
                    if self.output >= self.max_output {
                        return ChatEnd::LimitReached;
                    }
                    self.output += Tokens::new(1);
                    run.answer.push(Frame::Data {
                        text,
                        tokens: Tokens::new(1),
                    });
                }
                Ok(ChatEvent::Finished(reason)) => self.reason = Some(reason),
                Ok(ChatEvent::Usage { prompt, output }) => self.usage = Some((prompt, output)),
                Ok(ChatEvent::Done) => break,
                Err(error) => return ChatEnd::Complete(answer_incomplete(&error)),
            }
        }
        match self.reason.take() {
            Some(reason) => ChatEnd::Complete(self.complete(reason)),
            None => ChatEnd::Complete(answer_incomplete(&Error::InvalidAnswer(
                "no finish reason".into(),
            ))),
        }
    }

    fn complete(&mut self, reason: SmolStr) -> RunEnd {
        let (prompt, output) = self.usage.unwrap_or((Tokens::ZERO, self.output));
        RunEnd {
            frame: EndFrame::Complete {
                prompt,
                output,
                reason,
            },
            used: Some(prompt + output),
        }
    }

    /// Tokens used so far. Until the engine reports its counts, the prompt is counted at the upper
    /// bound that was reserved for it.
    fn used(&self, run: &Run) -> Tokens {
        match self.usage {
            Some((prompt, output)) => prompt + output,
            None => run.req.reserved.saturating_sub(self.max_output) + self.output,
        }
    }
}

/// # Plain calls
async fn call(sidecar: &Sidecar, run: &Run) -> RunEnd {
    if !run.req.idempotent {
        // A run that must not be repeated is awaited without a deadline, so that its answer is kept
        // even after the caller gave up.
        return end_of_call(run, sidecar.target().call(&run.req).await);
    }
    let limit = run.req.deadline.duration();
    match tokio::time::timeout(limit, sidecar.target().call(&run.req)).await {
        Ok(answer) => end_of_call(run, answer),
        Err(_) => {
            let detail = "the target gave no answer in time";
            RunEnd::failed(ErrorKind::DeadlineWhileRunning, detail).with_bill(run.req.reserved)
        }
    }
}

fn end_of_call(run: &Run, answer: Result<CallAnswer, Error>) -> RunEnd {
    let price = run.req.reserved;
    match answer {
        // An idempotent call may be retried at another target.
        Ok(answer) if run.req.idempotent && answer.status >= 500 => RunEnd::failed(
            ErrorKind::TargetFailed,
            format!("the target answered {}", answer.status),
        ),
        Ok(answer) => {
            let CallAnswer {
                status,
                content_type,
                body,
            } = answer;
            run.answer.push(Frame::Head {
                status,
                content_type,
            });
            run.answer.push(Frame::Data {
                text: body,
                tokens: Tokens::ZERO,
            });
            // A call that failed at the target (5xx) is not billed.
            let used = (status < 500).then_some(price);
            let output = used.unwrap_or_default();
            let frame = EndFrame::Complete {
                prompt: Tokens::ZERO,
                output,
                reason: "stop".into(),
            };
            RunEnd { frame, used }
        }
        Err(Error::NotSent(reason)) => RunEnd::failed(ErrorKind::NoTarget, reason),
        Err(error) if run.req.idempotent => {
            RunEnd::failed(ErrorKind::TargetFailed, error.to_string())
        }
        Err(error) => RunEnd::failed(ErrorKind::OutcomeUnknown, error.to_string()).with_bill(price),
    }
}
