//! Borrows tokens from peers while the platform does not answer, and gives them back.
//!
//! Whoever sends tokens debits them first. A lost message strands tokens in the donor's grant,
//! which reclaim gives back; none is ever spent twice.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use cyc_budget::Lack;
use cyc_member::{Member, Role};
use cyc_proto::{
    Link,
    peer::{LendRequest, PeerClient as _, RepayRequest},
};
use cyc_store::Platform;
use cyc_types::{Incarnation, Millis, ProcessKey, Tokens};

use crate::app::App;

/// Time between two looks at the requests that wait for tokens.
const LEND_INTERVAL: Millis = Millis::new(50);
/// The platform has to be without an answer for this long before peers are asked.
const PLATFORM_SILENCE: Millis = Millis::new(150);
/// How long the answer of a peer is waited for.
const PEER_TIMEOUT: Millis = Millis::new(500);
/// A loan is asked for this many times what the waiting requests need, so that later ones need not
/// ask again.
const LOAN_FACTOR: u64 = 4;
/// Time between two reads of the registered entries.
const MEMBERS_INTERVAL: Millis = Millis::new(5_000);
/// Time between two looks at borrowed tokens that nobody uses.
const REPAY_INTERVAL: Millis = Millis::new(1_000);

/// The peers, as last read.
pub struct Lender {
    app: Arc<App>,
    key: ProcessKey,
    idle: Millis,
    /// By address; an entry that restarts elsewhere gets a new link.
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
    /// By VM, the registration last read.
    members: Mutex<BTreeMap<Incarnation, SocketAddr>>,
    /// Number of the last loan asked for. Invariant: a number is used for one peer only.
    loans: AtomicU64,
    repayments: AtomicU64,
}

impl Lender {
    /// Creates a lender that asks `seeds` and the registered entries. Tokens that nobody used for
    /// `idle` go back.
    pub fn new(app: Arc<App>, key: ProcessKey, seeds: &[SocketAddr], idle: Millis) -> Self {
        let link = |addr: &SocketAddr| (*addr, Arc::new(Link::new(*addr, key.clone())));
        Self {
            links: Mutex::new(seeds.iter().map(link).collect()),
            members: Mutex::default(),
            loans: AtomicU64::new(0),
            repayments: AtomicU64::new(0),
            app,
            key,
            idle,
        }
    }

    /// Borrows for requests that wait, and reads the peers, for as long as the process runs.
    pub async fn run(self: Arc<Self>, platform: Arc<dyn Platform>) {
        tokio::spawn(self.clone().follow_members(platform));
        tokio::spawn(self.clone().repay_idle());
        loop {
            tokio::time::sleep(LEND_INTERVAL.duration()).await;
            let lacks = self.app.purse.lacks(PLATFORM_SILENCE);
            let borrowing = lacks.iter().map(|lack| self.borrow(lack));
            futures::future::join_all(borrowing).await;
        }
    }

    async fn follow_members(self: Arc<Self>, platform: Arc<dyn Platform>) {
        loop {
            // While the platform is out the last list is as good as any.
            if let Ok(members) = cyc_member::list(platform.as_ref(), Role::Entry).await {
                self.set_members(&members);
            }
            tokio::time::sleep(MEMBERS_INTERVAL.duration()).await;
        }
    }

    fn set_members(&self, members: &[Member]) {
        let peers = members.iter().filter(|one| one.vm != self.app.me.vm);
        let peers: BTreeMap<_, _> = peers.map(|one| (one.incarnation(), one.addr)).collect();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for addr in peers.values() {
            links
                .entry(*addr)
                .or_insert_with(|| Arc::new(Link::new(*addr, self.key.clone())));
        }
        drop(links);
        *self.members.lock().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    fn peers(&self) -> Vec<Arc<Link>> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().cloned().collect()
    }

    /// Returns the way to the holder of a grant, if it still is the registered incarnation.
    fn holder(&self, holder: &Incarnation) -> Option<Arc<Link>> {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let addr = members.get(holder)?;
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(addr).cloned()
    }
}

/// Loans.
impl Lender {
    /// Asks one peer after the other until one lends enough for a waiting request.
    async fn borrow(&self, lack: &Lack) {
        for peer in self.peers() {
            let asked = self.ask(&peer, lack);
            let lent = tokio::time::timeout(PEER_TIMEOUT.duration(), asked).await;
            if matches!(lent, Ok(Some(_))) {
                return;
            }
        }
    }

    async fn ask(&self, peer: &Link, lack: &Lack) -> Option<Tokens> {
        let client = peer.client().await.ok()?;
        let loan = self.loans.fetch_add(1, Ordering::Relaxed) + 1;
        let req = LendRequest {
            borrower: self.app.me.clone(),
            loan,
            budget: lack.budget.clone(),
            want: Tokens::new(lack.all.get().saturating_mul(LOAN_FACTOR)),
            least: lack.least,
        };
        let reply = client.lend(req).await.ok()?;
        let grant = reply.grant?;
        spdlog::info!("tokens_borrowed", kv: {
            budget = grant.budget.as_str(),
            holder = grant.holder.to_string(),
            tokens = reply.lent.get(),
        });
        self.app
            .purse
            .with_wallet(|wallet| wallet.borrow(loan, &grant, reply.lent));
        Some(reply.lent)
    }
}

/// Repayments.
impl Lender {
    async fn repay_idle(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPAY_INTERVAL.duration()).await;
            let now = self.app.clock.now();
            self.repay(|budget| {
                self.app
                    .purse
                    .with_wallet(|wallet| wallet.is_idle(budget, self.idle, now))
            })
            .await;
        }
    }

    /// Gives back all borrowed tokens that are free, before the process ends.
    pub async fn repay_all(&self) {
        self.repay(|_| true).await;
    }

    async fn repay(&self, is_due: impl Fn(&cyc_types::BudgetId) -> bool) {
        let borrowed = self.app.purse.with_wallet(|wallet| wallet.borrowed());
        for (grant, _) in borrowed {
            let Some(peer) = self.holder(&grant.holder) else {
                continue;
            };
            if !is_due(&grant.budget) {
                continue;
            }
            // Debited only when there is a way to send them.
            let connecting = tokio::time::timeout(PEER_TIMEOUT.duration(), peer.client());
            let Ok(Ok(client)) = connecting.await else {
                continue;
            };
            let tokens = self
                .app
                .purse
                .with_wallet(|wallet| wallet.start_repay(&grant));
            let req = RepayRequest {
                borrower: self.app.me.clone(),
                repayment: self.repayments.fetch_add(1, Ordering::Relaxed) + 1,
                grant,
                tokens,
            };
            // Without an answer the tokens stay in the donor's grant until it is reclaimed.
            let sent = tokio::time::timeout(PEER_TIMEOUT.duration(), client.repay(req)).await;
            if !matches!(sent, Ok(Ok(()))) {
                spdlog::warn!("repayment_lost", kv: { tokens = tokens.get() });
            }
        }
    }
}
