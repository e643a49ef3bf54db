//! The stored answer of a run that ended before this attempt came.

use cyc_proto::sidecar::{Frame, RunReply};
use cyc_types::{ErrorKind, Refusal, Tokens};
use smol_str::SmolStr;

use crate::{admission::Sidecar, run, table::Run};

/// An answer as the durable claim keeps it.
#[derive(Debug)]
pub(crate) struct Stored {
    status: u16,
    content_type: SmolStr,
    /// `None` if it was too long to be kept.
    body: Option<String>,
    /// What the run is billed; zero if it is billed elsewhere or not at all.
    bill: Tokens,
}

impl Stored {
    /// Creates an answer that is not billed here.
    pub(crate) fn new(status: u16, content_type: SmolStr, body: Option<String>) -> Self {
        Self {
            status,
            content_type,
            body,
            bill: Tokens::ZERO,
        }
    }

    /// Bills the answer under the attempt that it is given to.
    ///
    /// The sidecar that ran the request may have died with its receipt. Where it has not, the
    /// request is billed twice, and the merge credits the later bill.
    pub(crate) fn with_bill(mut self, tokens: Tokens) -> Self {
        self.bill = tokens;
        self
    }
}

/// Gives a stored answer to the attempt that asked.
pub(crate) fn answer(sidecar: &Sidecar, run: &Run, stored: Stored) -> RunReply {
    // A fenced grant must not be billed. But the request has run, so this is no plain refusal.
    if let Err(refusal) = sidecar.table().start(run) {
        let detail = format!("it has run, and its answer cannot be billed here: {refusal}");
        return sidecar.refuse(run, Refusal::new(ErrorKind::OutcomeUnknown, detail));
    }
    let receipt = (!stored.bill.is_zero()).then(|| run::receipt(sidecar, &run.req, stored.bill));
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
        output: stored.bill,
        reason: "replayed".into(),
        receipt,
    });
    reply
}
