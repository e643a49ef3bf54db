//! Operations that are queued for a bucket.

use std::mem;

use cyc_types::RequestId;
use tokio::sync::oneshot;

use crate::{bucket::State, commit::ClaimOutcome, waiter::SendState};

/// One idempotent operation on a bucket.
#[derive(Debug)]
pub(crate) enum Op {
    /// Adds a claim.
    Claim {
        request: RequestId,
        fingerprint: u64,
        serial: u64,
        send_state: SendState,
        tx: oneshot::Sender<ClaimOutcome>,
    },
    /// Ends the claim with this serial number, if it is open.
    ///
    /// The serial number is compared because operations are applied again after a lost answer,
    /// when a later claim of the same request may have replaced the ended one.
    End {
        request: RequestId,
        serial: u64,
        state: State,
    },
}

/// Resolves claims whose caller has abandoned them: a claim that was in no write is dropped, any
/// other is replaced by the operation that ends it as not run.
pub(crate) fn resolve_abandoned(ops: &mut Vec<Op>) {
    for op in mem::take(ops) {
        match op {
            Op::Claim {
                request,
                serial,
                send_state,
                tx,
                ..
            } if tx.is_closed() => {
                if send_state.is_sent() {
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
