//! Relays the answer of one run to the caller.

use std::sync::Arc;

use cyc_proto::sidecar::{CancelRequest, Frame, SidecarClient as _};
use cyc_types::{Backoff, ErrorKind, Millis, Outcome as RunOutcome, Refusal};

use super::{AttemptResult, ForwardTask};
use crate::{
    fleet::Sidecar,
    relay::{self, Reader},
};

/// How long a sidecar that runs the request may be unreachable before the relay gives up.
const RECONNECT_LIMIT: Millis = Millis::new(5_000);
/// Time past the deadline during which the end of a run is still read and forwarded.
const END_GRACE: Millis = Millis::new(5_000);

/// How the relay of an answer ended.
enum RelayEnd {
    /// The end marker was read and forwarded.
    Complete,
    /// The sidecar reported a failed run.
    Failed(Refusal),
    /// The answer cannot be read to its end.
    Lost(String),
}

/// # Relay
impl ForwardTask {
    /// Relays the answer. `attempt` is the attempt of this job that started the run; `None` if
    /// another attempt started it.
    pub(super) async fn relay(
        &mut self,
        sidecar: &Arc<Sidecar>,
        attempt: Option<u64>,
    ) -> AttemptResult {
        match self.read_to_end(sidecar, attempt).await {
            RelayEnd::Complete => AttemptResult::Done,
            RelayEnd::Failed(refusal) => self.failed_run(refusal),
            RelayEnd::Lost(why) => {
                if let Some(attempt) = attempt {
                    self.app.pending.mark_in_doubt(self.job.request, attempt);
                }
                match self.forwarded {
                    true => AttemptResult::Fail(Refusal::new(ErrorKind::AnswerIncomplete, why)),
                    false => self.unknown_outcome(why),
                }
            }
        }
    }

    fn failed_run(&self, refusal: Refusal) -> AttemptResult {
        let may_retry = match refusal.outcome() {
            RunOutcome::NotRun => true,
            RunOutcome::Ran => {
                self.job.spec.idempotent && refusal.kind != ErrorKind::DeadlineWhileRunning
            }
            RunOutcome::Unknown => self.job.spec.idempotent,
        };
        match may_retry && !self.forwarded {
            true => AttemptResult::Retry(refusal),
            false => AttemptResult::Fail(refusal),
        }
    }

    async fn read_to_end(&mut self, sidecar: &Arc<Sidecar>, attempt: Option<u64>) -> RelayEnd {
        let mut reader = Reader::new(self.job.request);
        let mut backoff = Backoff::new(Millis::new(20), Millis::new(500));
        let mut lost_since = None;
        loop {
            let timeout = (self.time_left() + END_GRACE).duration();
            match tokio::time::timeout(timeout, reader.next(&sidecar.link)).await {
                Err(_) => return RelayEnd::Lost("the deadline passed in the run".into()),
                Ok(Err(relay::Error::NotFound)) => {
                    return RelayEnd::Lost("the sidecar does not have the answer".into());
                }
                Ok(Err(relay::Error::ConnectionLost(why))) => {
                    let since = *lost_since.get_or_insert(self.app.clock.now());
                    if self.app.clock.now().saturating_sub(since) >= RECONNECT_LIMIT {
                        return RelayEnd::Lost(why);
                    }
                    tokio::time::sleep(backoff.next_delay().duration()).await;
                }
                Ok(Ok(frames)) => {
                    lost_since = None;
                    if frames.iter().any(shows_target_progress) {
                        let now = self.app.clock.now();
                        self.app.fleet.record_progress(&sidecar.target, now);
                    }
                    for frame in frames {
                        if let Some(end) = self.handle_frame(sidecar, attempt, frame).await {
                            return end;
                        }
                    }
                }
            }
        }
    }

    /// Records the receipt of an end frame and forwards the frame to the caller.
    async fn handle_frame(
        &mut self,
        sidecar: &Arc<Sidecar>,
        attempt: Option<u64>,
        frame: Frame,
    ) -> Option<RelayEnd> {
        if let Frame::End { receipt, .. } | Frame::Failed { receipt, .. } = &frame {
            match (receipt, attempt) {
                (Some(receipt), _) => {
                    self.app.pending.record_receipt(sidecar, receipt);
                }
                (None, Some(attempt)) => {
                    self.app.pending.release_unbilled(self.job.request, attempt)
                }
                (None, None) => {}
            }
        }
        match frame {
            Frame::Failed { refusal, .. } => Some(RelayEnd::Failed(refusal)),
            Frame::End { .. } => {
                self.forward_frame(sidecar, frame).await;
                Some(RelayEnd::Complete)
            }
            Frame::Head { .. } | Frame::Data { .. } => {
                self.forward_frame(sidecar, frame).await;
                None
            }
        }
    }

    async fn forward_frame(&mut self, sidecar: &Arc<Sidecar>, frame: Frame) {
        if matches!(frame, Frame::Head { .. }) {
            self.held_head = Some(frame);
            return;
        }
        self.forwarded = true;
        for frame in self.held_head.take().into_iter().chain([frame]) {
            // Bounded, so that a caller that stops reading cannot hold the concurrency slot
            // indefinitely.
            let timeout = (self.time_left() + END_GRACE).duration();
            if !self.caller_disconnected && self.tx.send_timeout(Ok(frame), timeout).await.is_err()
            {
                self.caller_disconnected = true;
                self.cancel_abandoned_run(sidecar).await;
            }
        }
    }

    /// Cancels a run whose caller has disconnected and that no retry can join.
    async fn cancel_abandoned_run(&mut self, sidecar: &Arc<Sidecar>) {
        if self.job.keyed || !self.job.spec.idempotent {
            return;
        }
        // Setting `keyed` prevents a second cancellation.
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

/// Returns true if the target itself caused the frame. `Failed` does not count, because a run at
/// a target that hangs also ends with it.
fn shows_target_progress(frame: &Frame) -> bool {
    match frame {
        Frame::Head { .. } | Frame::Data { .. } | Frame::End { .. } => true,
        Frame::Failed { .. } => false,
    }
}
