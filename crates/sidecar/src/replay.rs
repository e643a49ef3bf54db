//! Replays the stored answer of a run that ended before this attempt arrived.

use cyc_proto::sidecar::{Frame, RunReply};
use cyc_types::{ErrorKind, Refusal, Tokens};
use smol_str::SmolStr;

use crate::{admission::Sidecar, run, table::Run};

/// An answer that was stored in a durable claim.
#[derive(Debug)]
pub(crate) struct StoredAnswer {
    status: u16,
    content_type: SmolStr,
    /// `None` if it was too large to store.
    body: Option<String>,
    /// Tokens to bill for the replay; zero if the run is billed elsewhere or not at all.
    billed: Tokens,
}

impl StoredAnswer {
    /// Creates an answer that is not billed here.
    pub(crate) fn new(status: u16, content_type: SmolStr, body: Option<String>) -> Self {
        Self {
            status,
            content_type,
            body,
            billed: Tokens::ZERO,
        }
    }

    /// Bills the answer to the attempt that receives it.
    ///
    /// The sidecar that ran the request may have terminated and lost its receipt. If it has not,
    /// the request is billed twice, and the merge of the ledger credits the later receipt.
    pub(crate) fn with_bill(mut self, tokens: Tokens) -> Self {
        self.billed = tokens;
        self
    }
}

/// Replies to an attempt with a stored answer.
pub(crate) fn reply(sidecar: &Sidecar, run: &Run, stored: StoredAnswer) -> RunReply {
    // A fenced grant must not be billed. Since the request has run, the refusal must not say that
    // it was not run.
    if let Err(refusal) = sidecar.table().start(run) {
        let detail = format!("it has run, and its answer cannot be billed here: {refusal}");
        return sidecar.refuse(run, Refusal::new(ErrorKind::OutcomeUnknown, detail));
    }
    let receipt =
        (!stored.billed.is_zero()).then(|| run::receipt(sidecar, &run.req, stored.billed));
    let reply = match receipt {
        Some(_) => RunReply::Started,
        None => RunReply::Joined,
    };
    sidecar
        .table()
        .end(run, receipt.as_ref(), sidecar.clock().now());
    let Some(text) = stored.body else {
        let detail = "the request ran; its answer was too long to be kept";
        let refusal = Refusal::new(ErrorKind::AnswerIncomplete, detail);
        run.answer.push(Frame::Failed { refusal, receipt });
        return reply;
    };
    run.answer.push(Frame::Head {
        status: stored.status,
        content_type: stored.content_type,
    });
    run.answer.push(Frame::Data {
        text,
        tokens: Tokens::ZERO,
    });
    run.answer.push(Frame::End {
        prompt: Tokens::ZERO,
        output: stored.billed,
        reason: "replayed".into(),
        receipt,
    });
    reply
}
