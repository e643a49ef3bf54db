//! The end of the controller at shutdown: everything that is not reserved is returned.

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Millis, Tokens};
use smol_str::SmolStr;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    batch::Pending,
    keeper::{Keeper, sleep_until},
    op::{Op, OpError},
    wallet::HolderOp,
};

/// What could not be returned when the controller ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CloseReport {
    /// By budget: the tokens still in the wallet or on the way, and why.
    pub kept: Vec<(BudgetId, Tokens, SmolStr)>,
}

impl Keeper {
    pub(crate) async fn close(&mut self, wait: Millis) -> CloseReport {
        let deadline = Instant::now() + wait.duration();
        self.drive(deadline).await;
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
        self.drive(deadline).await;
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
        self.drive(deadline).await;
        for (budget, mut rx) in replies {
            let here = self.shared.lock().wallet.holding(&budget);
            let held = here.free + here.reserved + here.returning;
            match rx.try_recv() {
                Ok(Ok(_) | Err(OpError::NoGrant(_) | OpError::NoBudget(_))) => {}
                Ok(Err(error)) => report.kept.push((budget, held, error.to_string().into())),
                Err(_) => report.kept.push((budget, held, "no answer in time".into())),
            }
        }
        report
    }

    fn own_grants(&self) -> Vec<GrantId> {
        let state = self.shared.lock();
        let grant = |budget| GrantId {
            budget,
            holder: state.wallet.holder().clone(),
        };
        state.wallet.budgets().into_iter().map(grant).collect()
    }

    async fn drive(&mut self, deadline: Instant) {
        while !self.is_empty() && Instant::now() < deadline {
            self.receive_waiting();
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
