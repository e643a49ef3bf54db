//! The way of one entry to the store.

use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use cyc_standin::store::Store;
use cyc_store::{Body, Change, Error, Expect, Kind, Object, ObjectKey, Platform, Vm};
use cyc_types::{ByteSize, Millis, Version};

/// One way to the store, which can be cut.
pub struct Way {
    /// The store.
    pub store: Store,
    /// True while no call gets through.
    pub is_cut: AtomicBool,
}

impl Way {
    fn open(&self) -> Result<&Store, Error> {
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(Error::Unavailable("cut".into())),
            false => Ok(&self.store),
        }
    }
}

#[async_trait]
impl Platform for Way {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, Error> {
        self.open()?.get(key).await
    }
    async fn put(&self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version, Error> {
        self.open()?.put(key, body, expect).await
    }
    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<(), Error> {
        self.open()?.delete(key, version).await
    }
    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>, Error> {
        self.open()?.list(kind, prefix).await
    }
    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>, Error> {
        self.open()?.watch(kind, prefix, since, wait).await
    }
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.open()?.vms().await
    }
    async fn weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>, Error> {
        self.open()?.weight_permit(bytes).await
    }
}
