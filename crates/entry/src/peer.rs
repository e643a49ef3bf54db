//! The RPC methods that an entry serves to its peers and to the operators' command.

use std::sync::Arc;

use cyc_config::HasRevision as _;
use cyc_proto::peer::{
    ConfigRequest, ConfigSnapshot, EntryStatus, LendReply, LendRequest, PeerServer, RepayRequest,
    SidecarStatus,
};
use cyc_types::{Revision, Tokens};
use jsonrpsee::core::{RpcResult, async_trait};

use crate::{app::App, fleet::Sidecar};

/// Implements the RPC methods of one entry.
pub struct Rpc {
    app: Arc<App>,
}

impl Rpc {
    /// Creates the methods of `app`.
    pub fn new(app: Arc<App>) -> Self {
        Self { app }
    }
}

#[async_trait]
impl PeerServer for Rpc {
    async fn lend(&self, req: LendRequest) -> RpcResult<LendReply> {
        if self.app.is_draining() {
            return Ok(LendReply {
                grant: None,
                lent: Tokens::ZERO,
            });
        }
        let borrower = (req.borrower, req.loan);
        let loan = self.app.wallet.with_wallet(|wallet| {
            // Keep half of the free tokens for this entry's own requests, unless the borrower's
            // minimum is larger.
            let half = Tokens::new(wallet.own_free(&req.budget).get() / 2);
            let want = req.want.min(half.max(req.least));
            wallet.lend(borrower, &req.budget, want, req.least)
        });
        Ok(match loan {
            Some((grant, lent)) => LendReply {
                grant: Some(grant),
                lent,
            },
            None => LendReply {
                grant: None,
                lent: Tokens::ZERO,
            },
        })
    }

    async fn repay(&self, req: RepayRequest) -> RpcResult<()> {
        let borrower = (req.borrower, req.repayment);
        self.app
            .wallet
            .with_wallet(|wallet| wallet.receive_repayment(borrower, &req.grant, req.tokens));
        Ok(())
    }

    async fn config(&self, req: ConfigRequest) -> RpcResult<Option<ConfigSnapshot>> {
        let current = self.app.config.current();
        Ok(current
            .filter(|current| current.revision() > req.have)
            .map(|current| current.to_peer()))
    }

    async fn status(&self) -> RpcResult<EntryStatus> {
        let (idle, reserved) = token_totals(&self.app);
        let ledger = self.app.ledger.status();
        Ok(EntryStatus {
            entry: self.app.incarnation.clone(),
            revision: self.app.config.revision(),
            draining: self.app.is_draining(),
            in_flight: self.app.in_flight(),
            idle,
            reserved,
            unflushed: ledger.unflushed + ledger.unsettled,
            sidecars: self
                .app
                .fleet
                .all()
                .iter()
                .map(|sidecar| sidecar_status(sidecar))
                .collect(),
        })
    }
}

fn token_totals(app: &App) -> (Tokens, Tokens) {
    app.wallet.with_wallet(|wallet| {
        let holdings: Vec<_> = wallet
            .budgets()
            .iter()
            .map(|budget| wallet.holding(budget))
            .collect();
        let idle = holdings.iter().map(|holding| holding.free).sum();
        (idle, holdings.iter().map(|holding| holding.reserved).sum())
    })
}

fn sidecar_status(sidecar: &Sidecar) -> SidecarStatus {
    let state = sidecar.state();
    let reply = state.reply.as_ref();
    SidecarStatus {
        target: sidecar.target.clone(),
        sidecar: reply.map(|reply| reply.sidecar.clone()),
        revision: reply.map_or(Revision::ZERO, |reply| reply.revision),
        draining: state.leaving || reply.is_some_and(|reply| reply.draining),
        reachable: reply.is_some() && state.missed == 0,
    }
}
