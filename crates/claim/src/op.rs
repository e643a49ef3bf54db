//! The operations that wait for a bucket.

use std::mem;

use cyc_types::RequestId;
use tokio::sync::oneshot;

use crate::{bucket::State, commit::ClaimOutcome, waiter::Stage};

/// One operation on a bucket. Applying it again after it took effect changes nothing.
#[derive(Debug)]
pub(crate) enum Op {
    /// Adds a claim.
    Claim {
        request: RequestId,
        fingerprint: u64,
        serial: u64,
        stage: Stage,
        tx: oneshot::Sender<ClaimOutcome>,
    },
    /// Ends the claim with this serial number, if it is open.
    ///
    /// The number matters: after a lost answer the operations are applied again, and by then
    /// a later claim of the same request may stand in the place of the one that was ended.
    End {
        request: RequestId,
        serial: u64,
        state: State,
    },
}

/// Drops claims that were given up before any write carried them, and turns those that a write
/// has carried into their end.
pub(crate) fn drop_abandoned(ops: &mut Vec<Op>) {
    for op in mem::take(ops) {
        match op {
            Op::Claim {
                request,
                serial,
                stage,
                tx,
                ..
            } if tx.is_closed() => {
                if stage.is_sent() {
                    ops.push(Op::End {
                        request,
                        serial,
                        state: State::NotRun,
                    });
                }
            }
            kept => ops.push(kept),
        }
    }
}
