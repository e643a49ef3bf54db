//! The RPC interface that a sidecar serves to entries.

use std::sync::Arc;

use cyc_proto::sidecar::{
    AnswerFrom, CancelRequest, Chunk, ConfigPush, FenceReply, FenceRequest, FindRequest, Heartbeat,
    HeartbeatReply, OutcomeQuery, OutcomeReply, ReleaseRequest, RunReply, RunRequest,
    SidecarServer,
};
use cyc_types::{Incarnation, Revision};
use jsonrpsee::{
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
    core::{RpcResult, SubscriptionResult, async_trait},
    types::ErrorObject,
};

use crate::{
    admission::Sidecar,
    table::{Lookup, Phase, Run},
};

/// Error code of a subscription to an answer that is not buffered here.
const NO_SUCH_ANSWER: i32 = -32_001;
/// Upper bound of the frames in one message.
const MAX_FRAMES: usize = 256;

/// RPC handler of one sidecar.
pub struct RpcHandler {
    sidecar: Arc<Sidecar>,
}

impl RpcHandler {
    /// Creates the handler of `sidecar`.
    pub fn new(sidecar: Arc<Sidecar>) -> Self {
        Self { sidecar }
    }
}

#[async_trait]
impl SidecarServer for RpcHandler {
    async fn run(&self, req: RunRequest) -> RpcResult<RunReply> {
        Ok(self.sidecar.run(req).await)
    }

    async fn answer(
        &self,
        pending: PendingSubscriptionSink,
        req: AnswerFrom,
    ) -> SubscriptionResult {
        let Some(run) = self.sidecar.table().find(req.request) else {
            pending
                .reject(ErrorObject::borrowed(
                    NO_SUCH_ANSWER,
                    "no such answer",
                    None,
                ))
                .await;
            return Ok(());
        };
        let sink = pending.accept().await?;
        send_answer(&run, &sink, req.from).await?;
        Ok(())
    }

    async fn outcome(&self, req: OutcomeQuery) -> RpcResult<OutcomeReply> {
        if req.sidecar != *self.sidecar.incarnation() {
            return Ok(OutcomeReply::SidecarEnded);
        }
        let attempt = (req.request, req.entry.clone(), req.attempt);
        let run = match self.sidecar.table().find_or_bar(attempt) {
            Lookup::Run(run) => run,
            Lookup::Refused(kind) => return Ok(OutcomeReply::NotRun(kind)),
            Lookup::Barred => return Ok(OutcomeReply::Barred),
        };
        let mine = run.req.entry == req.entry && run.req.attempt == req.attempt;
        let phase = run.phase.borrow().clone();
        Ok(match phase {
            Phase::Waiting => OutcomeReply::Waiting,
            Phase::NotRun(_) if mine => OutcomeReply::Unbilled,
            Phase::NotRun(_) => OutcomeReply::Barred,
            Phase::Ended(_) if mine && !run.answer.is_billed() => OutcomeReply::Unbilled,
            Phase::Running | Phase::Ended(_) => OutcomeReply::Present { mine },
            Phase::Refused(refusal) => OutcomeReply::NotRun(refusal.kind),
        })
    }

    async fn find(&self, req: FindRequest) -> RpcResult<bool> {
        let run = self.sidecar.table().find(req.request);
        Ok(run.is_some_and(|run| !run.may_run_again()))
    }

    async fn cancel(&self, req: CancelRequest) -> RpcResult<bool> {
        let run = self.sidecar.table().find(req.request);
        let running = run.filter(|run| run.ended_at().is_none());
        if let Some(run) = &running {
            run.cancel.notify_one();
        }
        Ok(running.is_some())
    }

    async fn fence(&self, req: FenceRequest) -> RpcResult<FenceReply> {
        Ok(self
            .sidecar
            .table()
            .fence(self.sidecar.incarnation(), &req.lowest))
    }

    async fn release(&self, req: ReleaseRequest) -> RpcResult<()> {
        self.sidecar.table().release(&req.entry, &req.requests);
        Ok(())
    }

    async fn heartbeat(&self, req: Heartbeat) -> RpcResult<HeartbeatReply> {
        let sidecar = &self.sidecar;
        if req.leaving {
            sidecar.table().drain();
        }
        Ok(HeartbeatReply {
            sidecar: sidecar.incarnation().clone(),
            target: sidecar.target_id().clone(),
            revision: sidecar.revision(),
            draining: sidecar.table().is_draining(),
            load: sidecar.load(),
            receipts: sidecar.table().receipts_of(&req.entry),
        })
    }

    async fn configure(&self, req: ConfigPush) -> RpcResult<Revision> {
        Ok(self.sidecar.configure(req.revision, req.services.into()))
    }

    async fn fences(&self) -> RpcResult<Vec<Incarnation>> {
        Ok(self.sidecar.table().fences())
    }
}

/// Sends the frames of an answer until its end frame or until the subscriber disconnects.
async fn send_answer(
    run: &Run,
    sink: &SubscriptionSink,
    mut next: u64,
) -> Result<(), jsonrpsee::core::SubscriptionError> {
    loop {
        let frames = tokio::select! {
            frames = run.answer.wait_from(next) => frames,
            () = sink.closed() => return Ok(()),
        };
        if frames.is_empty() {
            return Ok(());
        }
        for part in frames.chunks(MAX_FRAMES) {
            let chunk = Chunk {
                request: run.req.request,
                run: run.number,
                first: next,
                frames: part.to_vec(),
            };
            let json = serde_json::value::to_raw_value(&chunk)?;
            sink.send(SubscriptionMessage::from(json)).await?;
            next += part.len() as u64;
        }
    }
}
