//! The connection of one process to the platform, which a test can cut while others stay connected.

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use cyc_store::{Body, Change, Error, Kind, Object, ObjectKey, Platform, Precondition, Result, Vm};
use cyc_types::{ByteSize, Millis, Version};

use super::fake::{FakePlatform, Fault};

/// A platform that forwards to the shared fake until it is disconnected.
pub struct Proxy {
    fake: Arc<FakePlatform>,
    /// The number of writes before the disconnect and the fault of the last one, if scheduled.
    disconnect: Mutex<Option<(u64, Fault)>>,
    /// A write of another process that takes effect just before ours of the same key.
    concurrent_write: Mutex<Option<(ObjectKey, Body)>>,
}

impl Proxy {
    pub fn new(fake: Arc<FakePlatform>) -> Self {
        Self {
            fake,
            disconnect: Mutex::new(None),
            concurrent_write: Mutex::new(None),
        }
    }

    /// Forwards `writes` more writes, the last of them with the fault `last`, then disconnects.
    pub fn disconnect_after(&self, writes: u64, last: Fault) {
        *self.disconnect.lock().unwrap() = Some((writes, last));
    }

    /// Lets another process create the object just before this one does.
    pub fn write_concurrently(&self, key: ObjectKey, body: Body) {
        *self.concurrent_write.lock().unwrap() = Some((key, body));
    }

    pub fn reconnect(&self) {
        *self.disconnect.lock().unwrap() = None;
    }

    fn check(&self) -> Result<()> {
        match *self.disconnect.lock().unwrap() {
            Some((0, _)) => Err(Error::Unavailable("disconnected".into())),
            _ => Ok(()),
        }
    }

    fn check_write(&self) -> Result<()> {
        self.check()?;
        if let Some((left, last)) = &mut *self.disconnect.lock().unwrap() {
            *left -= 1;
            self.fake
                .set_write_faults(&[if *left == 0 { *last } else { Fault::None }]);
        }
        Ok(())
    }
}

#[async_trait]
impl Platform for Proxy {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        self.check()?;
        self.fake.get(key).await
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Precondition) -> Result<Version> {
        self.check_write()?;
        let concurrent = self
            .concurrent_write
            .lock()
            .unwrap()
            .take_if(|(name, _)| name == key);
        if let Some((key, body)) = concurrent {
            self.fake.put(&key, body, Precondition::Absent).await?;
        }
        self.fake.put(key, body, expect).await
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        self.check_write()?;
        self.fake.delete(key, version).await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>> {
        self.check()?;
        self.fake.list(kind, prefix).await
    }

    async fn watch(&self, kind: Kind, at: &str, v: Version, wait: Millis) -> Result<Vec<Change>> {
        self.check()?;
        self.fake.watch(kind, at, v, wait).await
    }

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        self.check()?;
        self.fake.list_vms().await
    }

    async fn request_weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>> {
        self.check()?;
        self.fake.request_weight_permit(bytes).await
    }
}
