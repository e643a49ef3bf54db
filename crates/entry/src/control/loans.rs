//! Borrows tokens from peers while the platform does not answer, and repays them.
//!
//! The sender of tokens debits them before sending. If the message is lost, the tokens stay in the
//! lender's grant until it is reclaimed, and are never spent twice.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use cyc_budget::Shortfall;
use cyc_member::{Member, Role};
use cyc_proto::{
    Link,
    peer::{LendRequest, PeerClient as _, RepayRequest},
};
use cyc_store::Platform;
use cyc_types::{Incarnation, Millis, ProcessKey, Tokens};

use crate::app::App;

/// Interval between checks for requests that wait for tokens.
const BORROW_INTERVAL: Millis = Millis::new(50);
/// How long the platform must have been unresponsive before tokens are borrowed.
const PLATFORM_OUTAGE_DELAY: Millis = Millis::new(150);
/// Time limit for the answer of one peer.
const PEER_TIMEOUT: Millis = Millis::new(500);
/// Loans are requested as this multiple of what the waiting requests need, so that later requests
/// rarely need another loan.
const LOAN_FACTOR: u64 = 4;
/// Interval between reads of the registered entries.
const MEMBERS_INTERVAL: Millis = Millis::new(5_000);
/// Interval between checks for idle borrowed tokens.
const REPAY_INTERVAL: Millis = Millis::new(1_000);

/// Requests loans from the peers and repays them.
pub struct LoanClient {
    app: Arc<App>,
    key: ProcessKey,
    idle_timeout: Millis,
    /// Connections by address. An entry that restarts at another address gets a new connection.
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
    /// Addresses of the entries, by registered incarnation, as last read from the platform.
    members: Mutex<BTreeMap<Incarnation, SocketAddr>>,
    /// Number of the last loan requested. Invariant: each number is sent to one peer only.
    loan_counter: AtomicU64,
    repayment_counter: AtomicU64,
}

impl LoanClient {
    /// Creates a client that borrows from `seeds` and the registered entries. Borrowed tokens of a
    /// budget that was not used for `idle_timeout` are repaid.
    pub fn new(app: Arc<App>, key: ProcessKey, seeds: &[SocketAddr], idle_timeout: Millis) -> Self {
        let link = |addr: &SocketAddr| (*addr, Arc::new(Link::new(*addr, key.clone())));
        Self {
            links: Mutex::new(seeds.iter().map(link).collect()),
            members: Mutex::default(),
            loan_counter: AtomicU64::new(0),
            repayment_counter: AtomicU64::new(0),
            app,
            key,
            idle_timeout,
        }
    }

    /// Runs until the process ends: borrows for waiting requests, repays idle loans and refreshes
    /// the list of peers.
    pub async fn run(self: Arc<Self>, platform: Arc<dyn Platform>) {
        tokio::spawn(self.clone().refresh_members(platform));
        tokio::spawn(self.clone().repay_idle());
        loop {
            tokio::time::sleep(BORROW_INTERVAL.duration()).await;
            let shortfalls = self.app.wallet.shortfalls(PLATFORM_OUTAGE_DELAY);
            let borrowing = shortfalls.iter().map(|shortfall| self.borrow(shortfall));
            futures::future::join_all(borrowing).await;
        }
    }

    async fn refresh_members(self: Arc<Self>, platform: Arc<dyn Platform>) {
        loop {
            // While the platform is unavailable, the previous list stays in use.
            if let Ok(members) = cyc_member::list(platform.as_ref(), Role::Entry).await {
                self.set_members(&members);
            }
            tokio::time::sleep(MEMBERS_INTERVAL.duration()).await;
        }
    }

    fn set_members(&self, members: &[Member]) {
        let peers = members
            .iter()
            .filter(|member| member.vm != self.app.incarnation.vm);
        let peers: BTreeMap<_, _> = peers
            .map(|member| (member.incarnation(), member.addr))
            .collect();
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

    /// Returns the connection to the holder of a grant, if that incarnation is still registered.
    fn holder_link(&self, holder: &Incarnation) -> Option<Arc<Link>> {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let addr = members.get(holder)?;
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(addr).cloned()
    }
}

/// # Loans
impl LoanClient {
    /// Requests a loan from one peer after another until one lends enough for a waiting request.
    async fn borrow(&self, shortfall: &Shortfall) {
        for peer in self.peers() {
            let request = self.request_loan(&peer, shortfall);
            let lent = tokio::time::timeout(PEER_TIMEOUT.duration(), request).await;
            if matches!(lent, Ok(Some(_))) {
                return;
            }
        }
    }

    async fn request_loan(&self, peer: &Link, shortfall: &Shortfall) -> Option<Tokens> {
        let client = peer.client().await.ok()?;
        let loan = self.loan_counter.fetch_add(1, Ordering::Relaxed) + 1;
        let req = LendRequest {
            borrower: self.app.incarnation.clone(),
            loan,
            budget: shortfall.budget.clone(),
            want: Tokens::new(shortfall.total.get().saturating_mul(LOAN_FACTOR)),
            least: shortfall.smallest_request,
        };
        let reply = client.lend(req).await.ok()?;
        let grant = reply.grant?;
        spdlog::info!("tokens_borrowed", kv: {
            budget = grant.budget.as_str(),
            holder = grant.holder.to_string(),
            tokens = reply.lent.get(),
        });
        self.app
            .wallet
            .with_wallet(|wallet| wallet.receive_loan(loan, &grant, reply.lent));
        Some(reply.lent)
    }
}

/// # Repayments
impl LoanClient {
    async fn repay_idle(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPAY_INTERVAL.duration()).await;
            let now = self.app.clock.now();
            self.repay(|budget| {
                self.app
                    .wallet
                    .with_wallet(|wallet| wallet.is_idle(budget, self.idle_timeout, now))
            })
            .await;
        }
    }

    /// Repays all unreserved borrowed tokens. Called before the process ends.
    pub async fn repay_all(&self) {
        self.repay(|_| true).await;
    }

    async fn repay(&self, is_due: impl Fn(&cyc_types::BudgetId) -> bool) {
        let borrowed = self.app.wallet.with_wallet(|wallet| wallet.borrowed());
        for (grant, _) in borrowed {
            let Some(peer) = self.holder_link(&grant.holder) else {
                continue;
            };
            if !is_due(&grant.budget) {
                continue;
            }
            // The tokens are debited only once there is a connection to send them on.
            let connection = tokio::time::timeout(PEER_TIMEOUT.duration(), peer.client());
            let Ok(Ok(client)) = connection.await else {
                continue;
            };
            let tokens = self
                .app
                .wallet
                .with_wallet(|wallet| wallet.start_repay(&grant));
            let req = RepayRequest {
                borrower: self.app.incarnation.clone(),
                repayment: self.repayment_counter.fetch_add(1, Ordering::Relaxed) + 1,
                grant,
                tokens,
            };
            // Without a reply the tokens stay in the lender's grant until it is reclaimed.
            let sent = tokio::time::timeout(PEER_TIMEOUT.duration(), client.repay(req)).await;
            if !matches!(sent, Ok(Ok(()))) {
                spdlog::warn!("repayment_not_confirmed", kv: { tokens = tokens.get() });
            }
        }
    }
}
