//! Shutdown of the controller: returns all unreserved tokens to the shards and closes own grants.

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Millis, Tokens};
use smol_str::SmolStr;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    batch::Pending,
    controller::{BudgetController, sleep_until},
    op::{Op, OpError},
    wallet::HolderOp,
};

/// The grants that could not be closed at shutdown.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CloseReport {
    /// By budget: the tokens still held or being returned to the shard, and the reason.
    pub unreturned: Vec<(BudgetId, Tokens, SmolStr)>,
}

impl BudgetController {
    pub(crate) async fn close(&mut self, timeout: Millis) -> CloseReport {
        let deadline = Instant::now() + timeout.duration();
        self.attempt_until(deadline).await;
        let returns: Vec<HolderOp> = self.shared.update(|state| {
            let wallet = &mut state.wallet;
            let all = wallet.budgets().into_iter();
            all.filter_map(|budget| {
                let free = wallet.own_free(&budget);
                wallet.start_return(&budget, free)
            })
            .collect()
        });
        for op in returns {
            self.enqueue(Pending::Return(op));
        }
        self.attempt_until(deadline).await;
        let mut report = CloseReport::default();
        let mut replies = Vec::new();
        for grant in self.own_grants() {
            let (tx, rx) = oneshot::channel();
            self.enqueue(Pending::Apply(
                Op::Close {
                    grant: grant.clone(),
                },
                Some(tx),
            ));
            replies.push((grant.budget, rx));
        }
        self.attempt_until(deadline).await;
        for (budget, mut rx) in replies {
            let holding = self.shared.lock().wallet.holding(&budget);
            let held = holding.free + holding.reserved + holding.returning;
            match rx.try_recv() {
                Ok(Ok(_) | Err(OpError::GrantNotFound(_) | OpError::BudgetNotFound(_))) => {}
                Ok(Err(error)) => report
                    .unreturned
                    .push((budget, held, error.to_string().into())),
                Err(_) => report.unreturned.push((
                    budget,
                    held,
                    "the platform did not answer before the deadline".into(),
                )),
            }
        }
        report
    }

    fn own_grants(&self) -> Vec<GrantId> {
        let state = self.shared.lock();
        let own_grant = |budget| GrantId {
            budget,
            holder: state.wallet.holder().clone(),
        };
        state.wallet.budgets().into_iter().map(own_grant).collect()
    }

    async fn attempt_until(&mut self, deadline: Instant) {
        while !self.is_empty() && Instant::now() < deadline {
            self.receive_commands();
            let retry = self.next_retry();
            let attempt = async {
                if retry.is_some() {
                    sleep_until(retry).await;
                }
                self.attempt_due().await;
            };
            if tokio::time::timeout_at(deadline, attempt).await.is_err() {
                return;
            }
        }
    }
}
