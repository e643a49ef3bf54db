//! One run of a request at the target, from its start to its end marker.

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
/// Complete runs and runs that the caller stopped are billed, and so is one whose end is not known,
/// since it may have had its effect. A run that the target failed is not billed.
#[derive(Debug)]
struct Ending {
    frame: EndFrame,
    /// Tokens to bill; `None` if nothing is billed.
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

impl Ending {
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

/// Runs the request at the target and completes its answer.
pub async fn execute(sidecar: Arc<Sidecar>, run: Arc<Run>) {
    let ending = match &run.req.work {
        Work::Chat { max_output, .. } => chat(&sidecar, &run, *max_output).await,
        Work::Call { .. } => call(&sidecar, &run).await,
    };
    finish(&sidecar, &run, ending);
}

/// Writes the end marker, the receipt and the end of the claim.
fn finish(sidecar: &Sidecar, run: &Run, ending: Ending) {
    let now = sidecar.clock().now();
    let outcome = match &ending.frame {
        EndFrame::Complete { .. } => Outcome::Ran,
        EndFrame::Failed(refusal) => refusal.outcome(),
    };
    let receipt = ending.used.map(|used| receipt(sidecar, &run.req, used));
    match outcome {
        Outcome::NotRun => sidecar.table().end_not_run(run, now),
        Outcome::Ran | Outcome::Unknown => sidecar.table().end(run, receipt.as_ref(), now),
    }
    end_claim(sidecar, run, outcome, ending.used.unwrap_or_default());
    run.answer.push(match ending.frame {
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

/// Records how a claimed request ended; an unknown end stays claimed for ever.
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

/// Writes the bill of a run.
pub(crate) fn receipt(sidecar: &Sidecar, req: &RunRequest, used: Tokens) -> Receipt {
    Receipt {
        request: req.request,
        account: req.account.clone(),
        grant: req.grant.clone(),
        entry: req.entry.clone(),
        attempt: req.attempt,
        service: req.service.clone(),
        tokens: used.min(req.reserved),
        at: sidecar.clock().wall(),
    }
}

/// # Chat completions
async fn chat(sidecar: &Sidecar, run: &Run, max_output: Tokens) -> Ending {
    let deadline = tokio::time::sleep(run.req.deadline.duration());
    tokio::pin!(deadline);
    let stream = tokio::select! {
        started = sidecar.target().chat(&run.req) => started,
        () = &mut deadline => return late(sidecar, run, Tokens::ZERO).await,
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
        end = relay.pump(run, stream) => match end {
            ChatEnd::Complete(ending) => ending,
            ChatEnd::LimitReached => {
                stop_engine(sidecar, run).await;
                relay.complete("length".into())
            }
        },
        () = &mut deadline => late(sidecar, run, relay.used(run)).await,
        () = run.cancel.notified() => cancelled(sidecar, run, relay.used(run)).await,
    }
}

fn chat_not_started(error: Error) -> Ending {
    match error {
        Error::NotSent(why) => Ending::failed(ErrorKind::NoTarget, why),
        // 404: the model is not loaded yet, so that the request may run later or elsewhere.
        Error::Refused(status @ (404 | 429 | 503), why) => {
            Ending::failed(ErrorKind::Overloaded, format!("{status}: {why}"))
        }
        Error::Refused(status @ 400..=499, why) => {
            Ending::failed(ErrorKind::BadRequest, format!("{status}: {why}"))
        }
        other => Ending::failed(ErrorKind::TargetFailed, other.to_string()),
    }
}

async fn stop_engine(sidecar: &Sidecar, run: &Run) {
    if let Err(error) = sidecar.target().cancel(run.req.request).await {
        spdlog::warn!("cancel_failed", kv: {
            request = run.req.request.to_string(),
            error = error.to_string(),
        });
    }
}

async fn late(sidecar: &Sidecar, run: &Run, used: Tokens) -> Ending {
    stop_engine(sidecar, run).await;
    Ending::failed(ErrorKind::DeadlineWhileRunning, "the run was stopped").with_bill(used)
}

async fn cancelled(sidecar: &Sidecar, run: &Run, used: Tokens) -> Ending {
    stop_engine(sidecar, run).await;
    Ending::failed(ErrorKind::AnswerIncomplete, "the caller cancelled the run").with_bill(used)
}

fn broken(error: &Error) -> Ending {
    Ending::failed(ErrorKind::AnswerIncomplete, error.to_string())
}

enum ChatEnd {
    Complete(Ending),
    LimitReached,
}

/// Copies the events of a completion into the answer and counts them.
struct ChatRelay {
    max_output: Tokens,
    output: Tokens,
    reason: Option<SmolStr>,
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

    async fn pump(&mut self, run: &Run, mut stream: ChatStream) -> ChatEnd {
        while let Some(event) = stream.next().await {
            match event {
                Ok(ChatEvent::Text(text)) => {
                    // An engine that ignores the limit would spend more than was reserved.
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
                Err(error) => return ChatEnd::Complete(broken(&error)),
            }
        }
        match self.reason.take() {
            Some(reason) => ChatEnd::Complete(self.complete(reason)),
            None => ChatEnd::Complete(broken(&Error::Broken("no finish reason".into()))),
        }
    }

    fn complete(&mut self, reason: SmolStr) -> Ending {
        let (prompt, output) = self.usage.unwrap_or((Tokens::ZERO, self.output));
        Ending {
            frame: EndFrame::Complete {
                prompt,
                output,
                reason,
            },
            used: Some(prompt + output),
        }
    }

    /// Tokens used so far: the prompt's upper bound, unless the engine has said its count.
    fn used(&self, run: &Run) -> Tokens {
        match self.usage {
            Some((prompt, output)) => prompt + output,
            None => run.req.reserved.saturating_sub(self.max_output) + self.output,
        }
    }
}

/// # Plain calls
async fn call(sidecar: &Sidecar, run: &Run) -> Ending {
    if !run.req.idempotent {
        // The answer of a run that must not be repeated is kept even after its caller gave up.
        return called(run, sidecar.target().call(&run.req).await);
    }
    let limit = run.req.deadline.duration();
    match tokio::time::timeout(limit, sidecar.target().call(&run.req)).await {
        Ok(answer) => called(run, answer),
        Err(_) => {
            let detail = "the target gave no answer in time";
            Ending::failed(ErrorKind::DeadlineWhileRunning, detail).with_bill(run.req.reserved)
        }
    }
}

fn called(run: &Run, answer: Result<CallAnswer, Error>) -> Ending {
    let price = run.req.reserved;
    match answer {
        // Another target may answer an idempotent call better.
        Ok(answer) if run.req.idempotent && answer.status >= 500 => Ending::failed(
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
            // A call that the target itself failed is not charged.
            let used = (status < 500).then_some(price);
            let output = used.unwrap_or_default();
            let frame = EndFrame::Complete {
                prompt: Tokens::ZERO,
                output,
                reason: "stop".into(),
            };
            Ending { frame, used }
        }
        Err(Error::NotSent(why)) => Ending::failed(ErrorKind::NoTarget, why),
        Err(error) if run.req.idempotent => {
            Ending::failed(ErrorKind::TargetFailed, error.to_string())
        }
        Err(error) => Ending::failed(ErrorKind::OutcomeUnknown, error.to_string()).with_bill(price),
    }
}
