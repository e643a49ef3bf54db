//! The connection of one entry to the store.

use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use cyc_standin::store::Store;
use cyc_store::{Body, Change, Error, Kind, Object, ObjectKey, Platform, Precondition, Vm};
use cyc_types::{ByteSize, Millis, Version};

/// A connection to the store that can be interrupted.
pub struct StoreConnection {
    /// The store.
    pub store: Store,
    /// True while every call fails.
    pub is_cut: AtomicBool,
}

impl StoreConnection {
    fn connected_store(&self) -> Result<&Store, Error> {
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(Error::Unavailable("connection cut".into())),
            false => Ok(&self.store),
        }
    }
}

#[async_trait]
impl Platform for StoreConnection {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, Error> {
        self.connected_store()?.get(key).await
    }
    async fn put(
        &self,
        key: &ObjectKey,
        body: Body,
        expect: Precondition,
    ) -> Result<Version, Error> {
        self.connected_store()?.put(key, body, expect).await
    }
    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<(), Error> {
        self.connected_store()?.delete(key, version).await
    }
    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>, Error> {
        self.connected_store()?.list(kind, prefix).await
    }
    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>, Error> {
        self.connected_store()?
            .watch(kind, prefix, since, wait)
            .await
    }
    async fn list_vms(&self) -> Result<Vec<Vm>, Error> {
        self.connected_store()?.list_vms().await
    }
    async fn request_weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>, Error> {
        self.connected_store()?.request_weight_permit(bytes).await
    }
}
