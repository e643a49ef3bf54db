//! All paths of an entry to the store, as one store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use cyc_gateway::{
    config::Configuration,
    member::Change,
    peers::Heartbeat,
    port::{Freshness, Store, StoreError, Written},
    prepaid::{Record, RecordWrite},
};
use cyc_types::{ClientAccountId, Clock, Era, Millis, Version, VmId, hash};
use tokio::{sync::Notify, time::sleep};

use crate::{
    client::RelayClient,
    path::{Outcome, Path, PathTable, Purpose},
};

/// Paths that one call tries, as long as it is certain that none of them had an effect.
const MAX_ATTEMPTS: usize = 3;
/// Interval between checks whether the direct path works again.
const PROBE_INTERVAL: Millis = Millis::new(500);

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

/// A store that is reached directly or through relays.
#[derive(Debug)]
pub struct StorePaths<S> {
    shared: Rc<Shared<S>>,
}

#[derive(Debug)]
struct Shared<S> {
    direct: S,
    relays: Vec<RelayClient>,
    table: RefCell<PathTable>,
    clock: Clock,
    /// Notified when a path has failed, so that watches on it move to another one.
    path_failed: Notify,
}

impl<S: Store> StorePaths<S> {
    /// Combines the store `direct` with the relays at `addrs`, in an order that differs between the
    /// entries. Starts a task that checks failed direct connections; needs a local task set.
    pub fn new(direct: S, addrs: &[SocketAddr], vm: &VmId) -> Self {
        let mut addrs = addrs.to_vec();
        let key = hash::stable(vm.as_str().as_bytes());
        addrs.sort_by_cached_key(|addr| hash::rendezvous_weight(key, &addr.to_string()));
        let shared = Rc::new(Shared {
            direct,
            table: RefCell::new(PathTable::new(addrs.len())),
            relays: addrs.into_iter().map(RelayClient::new).collect(),
            clock: Clock::System,
            path_failed: Notify::new(),
        });
        if !shared.relays.is_empty() {
            tokio::task::spawn_local(probe_direct_path(shared.clone()));
        }
        Self { shared }
    }
}

/// Tries a failed direct path from time to time, so that no call of a request has to; never returns.
async fn probe_direct_path<S: Store>(shared: Rc<Shared<S>>) {
    loop {
        sleep(PROBE_INTERVAL.duration()).await;
        let now = shared.clock.now();
        if !shared.table.borrow().is_probe_due(Path::Direct, now) {
            continue;
        }
        let read = shared.direct.heartbeats(Freshness::SecondsOld).await;
        shared.record(Path::Direct, &read);
        if read.is_ok() {
            spdlog::info!("store_path_recovered", kv: { path = "direct" });
        }
    }
}

impl<S: Store> Shared<S> {
    fn record<T>(&self, path: Path, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) | Err(StoreError::HistoryUnavailable | StoreError::Malformed(_)) => {
                Outcome::Answered
            }
            Err(StoreError::Refused(_)) => Outcome::Refused,
            Err(StoreError::Unreachable(_) | StoreError::Unanswered(_)) => Outcome::Failed,
        };
        let now = self.clock.now();
        if self.table.borrow_mut().record(path, outcome, now) {
            let error = result.as_ref().err().map(ToString::to_string);
            spdlog::warn!("store_path_failed", kv: {
                path = path.to_string(),
                error = error.unwrap_or_default(),
            });
            self.path_failed.notify_waiters();
        }
    }

    /// Returns once the path has failed.
    async fn failure_of(&self, path: Path) {
        loop {
            let failed = self.path_failed.notified();
            tokio::pin!(failed);
            failed.as_mut().enable();
            if self.table.borrow().has_failed(path) {
                return;
            }
            failed.await;
        }
    }

    /// Makes a call on the first path that works. A write whose outcome is unknown is not repeated.
    async fn call<T>(
        &self,
        purpose: Purpose,
        effect: Effect,
        call: impl AsyncFn(Path) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let order = self.table.borrow().order(purpose, self.clock.now());
        let mut last = StoreError::Unreachable("there is no path".into());
        for path in order.into_iter().take(MAX_ATTEMPTS) {
            let result = call(path).await;
            self.record(path, &result);
            match result {
                Err(StoreError::Unreachable(why)) => last = StoreError::Unreachable(why),
                Err(StoreError::Unanswered(why)) if effect == Effect::Read => {
                    last = StoreError::Unanswered(why);
                }
                other => return other,
            }
        }
        Err(last)
    }

    /// Makes a watch call. When its path fails for another call, the watch moves to the next one.
    async fn watch<T>(
        &self,
        call: impl AsyncFn(Path) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.call(Purpose::Shared, Effect::Read, async |path| {
            if self.table.borrow().has_failed(path) {
                return call(path).await;
            }
            tokio::select! {
                result = call(path) => result,
                () = self.failure_of(path) => {
                    Err(StoreError::Unreachable("the path has failed".into()))
                }
            }
        })
        .await
    }
}

/// Calls a method of the store or of a relay.
macro_rules! on {
    ($shared:expr, $path:expr, $store:ident => $call:expr) => {
        match $path {
            Path::Direct => {
                let $store = &$shared.direct;
                $call
            }
            Path::Relay(index) => {
                let $store = &$shared.relays[index];
                $call
            }
        }
    };
}

impl<S: Store> Store for StorePaths<S> {
    fn era(&self) -> Option<Era> {
        let relays = self.shared.relays.iter().map(RelayClient::era);
        relays.fold(self.shared.direct.era(), Option::max)
    }

    async fn configuration(&self) -> Result<(Option<Configuration>, Version), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.configuration().await);
        shared.call(Purpose::Shared, Effect::Read, call).await
    }

    async fn next_configuration(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Option<Configuration>, Version), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.next_configuration(since, wait).await);
        shared.watch(call).await
    }

    async fn targets(&self) -> Result<(Vec<Change>, Version), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.targets().await);
        shared.call(Purpose::Shared, Effect::Read, call).await
    }

    async fn next_targets(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<Change>, Version), StoreError> {
        let shared = &self.shared;
        let call =
            async |path: Path| on!(shared, path, store => store.next_targets(since, wait).await);
        shared.watch(call).await
    }

    async fn evacuations(&self) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.evacuations().await);
        shared.call(Purpose::Shared, Effect::Read, call).await
    }

    async fn next_evacuations(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.next_evacuations(since, wait).await);
        shared.watch(call).await
    }

    async fn prepaid_record(
        &self,
        account: &ClientAccountId,
    ) -> Result<(Option<Version>, Record), StoreError> {
        let shared = &self.shared;
        let call =
            async |path: Path| on!(shared, path, store => store.prepaid_record(account).await);
        shared.call(Purpose::Own, Effect::Read, call).await
    }

    async fn write_prepaid_record(&self, write: &RecordWrite) -> Result<Written, StoreError> {
        let shared = &self.shared;
        let call =
            async |path: Path| on!(shared, path, store => store.write_prepaid_record(write).await);
        shared.call(Purpose::Own, Effect::Write, call).await
    }

    async fn heartbeats(&self, freshness: Freshness) -> Result<Vec<Heartbeat>, StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.heartbeats(freshness).await);
        let heartbeats = shared.call(Purpose::Shared, Effect::Read, call).await?;
        shared.table.borrow_mut().set_entries(heartbeats.len());
        Ok(heartbeats)
    }

    async fn write_heartbeats(
        &self,
        writer: &VmId,
        heartbeats: &[Heartbeat],
        is_known: bool,
    ) -> Result<(), StoreError> {
        let shared = &self.shared;
        let call = async |path: Path| on!(shared, path, store => store.write_heartbeats(writer, heartbeats, is_known).await);
        // Writing a heartbeat twice has the effect of writing it once.
        shared.call(Purpose::Shared, Effect::Read, call).await
    }
}
