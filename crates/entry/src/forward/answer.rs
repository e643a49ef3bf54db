//! The relay of one answer to the caller.

use std::sync::Arc;

use cyc_proto::sidecar::{CancelRequest, Frame, SidecarClient as _};
use cyc_types::{Backoff, ErrorKind, Millis, Outcome as Ran, Refusal};

use super::{Driver, Step};
use crate::{
    fleet::Sidecar,
    relay::{self, Reader},
};

/// How long a sidecar that runs the request may stay out of reach before it is given up.
const LOST_WAIT: Millis = Millis::new(5_000);
/// Time beyond the deadline in which the end of a run is still read.
const END_GRACE: Millis = Millis::new(5_000);

/// What the relay of an answer came to.
enum Relayed {
    /// The end marker was read.
    Complete,
    /// The run failed.
    Failed(Refusal),
    /// The sidecar cannot be asked any more.
    Lost(String),
}

/// # Relay
impl Driver {
    /// Relays the answer; `number` is the attempt that is billed, if it is this entry's.
    pub(super) async fn relay(&mut self, sidecar: &Arc<Sidecar>, number: Option<u64>) -> Step {
        match self.read_to_end(sidecar, number).await {
            Relayed::Complete => Step::Done,
            Relayed::Failed(refusal) => self.failed(refusal),
            Relayed::Lost(why) => {
                if let Some(number) = number {
                    self.app.books.doubt(self.job.request, number);
                }
                match self.forwarded {
                    true => Step::Fail(Refusal::new(ErrorKind::AnswerIncomplete, why)),
                    false => self.unknown(why),
                }
            }
        }
    }

    fn failed(&self, refusal: Refusal) -> Step {
        let again = match refusal.outcome() {
            Ran::NotRun => true,
            Ran::Ran => self.job.ask.idempotent && refusal.kind != ErrorKind::DeadlineWhileRunning,
            Ran::Unknown => self.job.ask.idempotent,
        };
        match again && !self.forwarded {
            true => Step::Next(refusal),
            false => Step::Fail(refusal),
        }
    }

    async fn read_to_end(&mut self, sidecar: &Arc<Sidecar>, number: Option<u64>) -> Relayed {
        let mut reader = Reader::new(self.job.request);
        let mut backoff = Backoff::new(Millis::new(20), Millis::new(500));
        let mut lost_since = None;
        loop {
            let limit = (self.left() + END_GRACE).duration();
            match tokio::time::timeout(limit, reader.next(&sidecar.link)).await {
                Err(_) => return Relayed::Lost("the deadline passed in the run".into()),
                Ok(Err(relay::Error::Gone)) => {
                    return Relayed::Lost("the sidecar does not have the answer".into());
                }
                Ok(Err(relay::Error::Lost(why))) => {
                    let since = *lost_since.get_or_insert(self.app.clock.now());
                    if self.app.clock.now().saturating_sub(since) >= LOST_WAIT {
                        return Relayed::Lost(why);
                    }
                    tokio::time::sleep(backoff.next_wait().duration()).await;
                }
                Ok(Ok(frames)) => {
                    lost_since = None;
                    if frames.iter().any(is_sign_of_life) {
                        let now = self.app.clock.now();
                        self.app.fleet.alive(&sidecar.target, now);
                    }
                    for frame in frames {
                        if let Some(end) = self.take_frame(sidecar, number, frame).await {
                            return end;
                        }
                    }
                }
            }
        }
    }

    /// Posts the bill of an end frame and gives the frame to the caller.
    async fn take_frame(
        &mut self,
        sidecar: &Arc<Sidecar>,
        number: Option<u64>,
        frame: Frame,
    ) -> Option<Relayed> {
        if let Frame::End { receipt, .. } | Frame::Failed { receipt, .. } = &frame {
            match (receipt, number) {
                (Some(receipt), _) => {
                    self.app.books.post(sidecar, receipt);
                }
                (None, Some(number)) => self.app.books.unbilled(self.job.request, number),
                (None, None) => {}
            }
        }
        match frame {
            Frame::Failed { refusal, .. } => Some(Relayed::Failed(refusal)),
            Frame::End { .. } => {
                self.give(sidecar, frame).await;
                Some(Relayed::Complete)
            }
            Frame::Head { .. } | Frame::Data { .. } => {
                self.give(sidecar, frame).await;
                None
            }
        }
    }

    async fn give(&mut self, sidecar: &Arc<Sidecar>, frame: Frame) {
        if matches!(frame, Frame::Head { .. }) {
            self.head = Some(frame);
            return;
        }
        self.forwarded = true;
        for frame in self.head.take().into_iter().chain([frame]) {
            // A caller that does not read must not hold the slot for ever.
            let wait = (self.left() + END_GRACE).duration();
            if !self.gone && self.tx.send_timeout(Ok(frame), wait).await.is_err() {
                self.gone = true;
                self.caller_left(sidecar).await;
            }
        }
    }

    /// Stops a run that nobody waits for and no retry can find.
    async fn caller_left(&mut self, sidecar: &Arc<Sidecar>) {
        if self.job.keyed || !self.job.ask.idempotent {
            return;
        }
        // Once is enough: from now on the job counts as keyed.
        self.job.keyed = true;
        if let Ok(client) = sidecar.link.client().await {
            client
                .cancel(CancelRequest {
                    request: self.job.request,
                })
                .await
                .ok();
        }
    }
}

/// Returns true for a frame that the target itself has caused. A failure also comes of a target
/// that hangs.
fn is_sign_of_life(frame: &Frame) -> bool {
    match frame {
        Frame::Head { .. } | Frame::Data { .. } | Frame::End { .. } => true,
        Frame::Failed { .. } => false,
    }
}
