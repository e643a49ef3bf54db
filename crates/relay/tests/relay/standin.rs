//! A store in memory, with faults and counted calls.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use cyc_gateway::{
    config::Configuration,
    member::Change,
    peers::Heartbeat,
    port::{Freshness, Store, StoreError, Written},
    prepaid::{Record, RecordWrite},
};
use cyc_types::{ClientAccountId, Millis, Version, VmId};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// What the store does with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Answers them.
    #[default]
    None,
    /// Does not respond.
    Silent,
    /// Cannot be reached.
    Unreachable,
    /// Applies writes, and does not respond.
    AnswerLost,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    config: Option<(u64, Configuration)>,
    changes: Vec<(u64, Change)>,
    evacuations: Vec<(u64, cyc_evac::Change)>,
    records: BTreeMap<ClientAccountId, (u64, Record)>,
    heartbeats: BTreeMap<VmId, Vec<Heartbeat>>,
    fault: Fault,
    calls: BTreeMap<&'static str, u32>,
}

/// A store in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
}

impl MemoryStore {
    pub fn set_fault(&self, fault: Fault) {
        self.inner.borrow_mut().fault = fault;
        self.changed.notify_waiters();
    }

    pub fn set_config(&self, config: Configuration) {
        let mut inner = self.inner.borrow_mut();
        inner.version += 1;
        inner.config = Some((inner.version, config));
        drop(inner);
        self.changed.notify_waiters();
    }

    pub fn change(&self, change: Change) {
        let mut inner = self.inner.borrow_mut();
        inner.version += 1;
        let version = inner.version;
        inner.changes.push((version, change));
        drop(inner);
        self.changed.notify_waiters();
    }

    pub fn evacuate(&self, change: cyc_evac::Change) {
        let mut inner = self.inner.borrow_mut();
        inner.version += 1;
        let version = inner.version;
        inner.evacuations.push((version, change));
        drop(inner);
        self.changed.notify_waiters();
    }

    pub fn record(&self, account: &ClientAccountId) -> Option<Record> {
        let inner = self.inner.borrow();
        inner.records.get(account).map(|(_, record)| record.clone())
    }

    /// Entries whose heartbeats the writer has written.
    pub fn written_by(&self, writer: &str) -> Option<usize> {
        let writer = writer.parse().unwrap();
        let inner = self.inner.borrow();
        inner.heartbeats.get(&writer).map(Vec::len)
    }

    /// Number of calls of a kind.
    pub fn calls(&self, kind: &str) -> u32 {
        let inner = self.inner.borrow();
        inner.calls.get(kind).copied().unwrap_or_default()
    }

    async fn call<T>(
        &self,
        kind: &'static str,
        act: impl FnOnce(&mut Inner) -> T,
    ) -> Result<T, StoreError> {
        *self.inner.borrow_mut().calls.entry(kind).or_default() += 1;
        let fault = self.inner.borrow().fault;
        match fault {
            Fault::None => Ok(act(&mut self.inner.borrow_mut())),
            Fault::Silent => std::future::pending().await,
            Fault::Unreachable => Err(StoreError::Unreachable("no path".into())),
            Fault::AnswerLost => {
                act(&mut self.inner.borrow_mut());
                Err(StoreError::Unanswered("connection closed".into()))
            }
        }
    }

    async fn wait_past(&self, since: Version, wait: Millis) {
        let until = Instant::now() + wait.duration();
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.inner.borrow().version > since.get() {
                return;
            }
            if timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }
}

impl Store for MemoryStore {
    async fn configuration(&self) -> Result<(Option<Configuration>, Version), StoreError> {
        self.call("configuration", |inner| {
            let config = inner.config.as_ref().map(|(_, config)| config.clone());
            (config, Version::new(inner.version))
        })
        .await
    }

    async fn next_configuration(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Option<Configuration>, Version), StoreError> {
        self.wait_past(since, wait).await;
        self.call("next_configuration", |inner| {
            let newer = inner.config.as_ref().filter(|(at, _)| *at > since.get());
            let config = newer.map(|(_, config)| config.clone());
            (config, Version::new(inner.version))
        })
        .await
    }

    async fn targets(&self) -> Result<(Vec<Change>, Version), StoreError> {
        self.call("targets", |inner| {
            let last: BTreeMap<_, _> = inner
                .changes
                .iter()
                .map(|(_, change)| (change.id().clone(), change.clone()))
                .collect();
            let registered = last.into_values();
            let registered = registered.filter(|change| !matches!(change, Change::Removed(_)));
            (registered.collect(), Version::new(inner.version))
        })
        .await
    }

    async fn next_targets(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<Change>, Version), StoreError> {
        self.wait_past(since, wait).await;
        self.call("next_targets", |inner| {
            let newer = inner.changes.iter().filter(|(at, _)| *at > since.get());
            let changes = newer.map(|(_, change)| change.clone()).collect();
            (changes, Version::new(inner.version))
        })
        .await
    }

    async fn evacuations(&self) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        self.call("evacuations", |inner| {
            let last: BTreeMap<_, _> = inner
                .evacuations
                .iter()
                .map(|(_, change)| (change.zone().clone(), change.clone()))
                .collect();
            let requested = last.into_values();
            let requested =
                requested.filter(|change| !matches!(change, cyc_evac::Change::Removed(_)));
            (requested.collect(), Version::new(inner.version))
        })
        .await
    }

    async fn next_evacuations(
        &self,
        since: Version,
        wait: Millis,
    ) -> Result<(Vec<cyc_evac::Change>, Version), StoreError> {
        self.wait_past(since, wait).await;
        self.call("next_evacuations", |inner| {
            let newer = inner.evacuations.iter();
            let newer = newer.filter(|(at, _)| *at > since.get());
            let changes = newer.map(|(_, change)| change.clone()).collect();
            (changes, Version::new(inner.version))
        })
        .await
    }

    async fn prepaid_record(
        &self,
        account: &ClientAccountId,
    ) -> Result<(Option<Version>, Record), StoreError> {
        self.call("prepaid_record", |inner| match inner.records.get(account) {
            Some((version, record)) => (Some(Version::new(*version)), record.clone()),
            None => (None, Record::default()),
        })
        .await
    }

    async fn write_prepaid_record(&self, write: &RecordWrite) -> Result<Written, StoreError> {
        self.call("write_prepaid_record", |inner| {
            let current = inner.records.get(&write.account).cloned();
            if current.as_ref().map(|(version, _)| *version) != write.base.map(Version::get) {
                let current = current.map(|(version, record)| (Version::new(version), record));
                return Written::Conflict(current);
            }
            inner.version += 1;
            let stored = (inner.version, write.record.clone());
            inner.records.insert(write.account.clone(), stored);
            Written::Done(Version::new(inner.version))
        })
        .await
    }

    async fn heartbeats(&self, _freshness: Freshness) -> Result<Vec<Heartbeat>, StoreError> {
        self.call("heartbeats", |inner| {
            inner.heartbeats.values().flatten().cloned().collect()
        })
        .await
    }

    async fn write_heartbeats(
        &self,
        writer: &VmId,
        heartbeats: &[Heartbeat],
        _is_known: bool,
    ) -> Result<(), StoreError> {
        self.call("write_heartbeats", |inner| {
            inner.heartbeats.insert(writer.clone(), heartbeats.to_vec());
        })
        .await
    }
}
