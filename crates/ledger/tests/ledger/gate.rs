//! The way of one process to the platform, which can be closed while others go on.

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use cyc_store::{Body, Change, Error, Expect, Kind, Object, ObjectKey, Platform, Result, Vm};
use cyc_types::{ByteSize, Millis, Version};

use super::fake::{Fake, Fault};

/// The way of one process.
pub struct Gate {
    fake: Arc<Fake>,
    /// The writes that still pass and the fate of the last, if the gate is closing.
    closing: Mutex<Option<(u64, Fault)>>,
    /// A write of another process that arrives just before ours of the same name.
    rival: Mutex<Option<(ObjectKey, Body)>>,
}

impl Gate {
    pub fn new(fake: Arc<Fake>) -> Self {
        Self {
            fake,
            closing: Mutex::new(None),
            rival: Mutex::new(None),
        }
    }

    /// Lets some writes pass, gives the last of them a fate, then closes.
    pub fn close_after(&self, writes: u64, last: Fault) {
        *self.closing.lock().unwrap() = Some((writes, last));
    }

    /// Lets another process create an object just before this one does.
    pub fn write_first(&self, key: ObjectKey, body: Body) {
        *self.rival.lock().unwrap() = Some((key, body));
    }

    pub fn open(&self) {
        *self.closing.lock().unwrap() = None;
    }

    fn pass(&self) -> Result<()> {
        match *self.closing.lock().unwrap() {
            Some((0, _)) => Err(Error::Unavailable("closed".into())),
            _ => Ok(()),
        }
    }

    fn pass_write(&self) -> Result<()> {
        self.pass()?;
        if let Some((left, last)) = &mut *self.closing.lock().unwrap() {
            *left -= 1;
            self.fake
                .script(&[if *left == 0 { *last } else { Fault::None }]);
        }
        Ok(())
    }
}

#[async_trait]
impl Platform for Gate {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        self.pass()?;
        self.fake.get(key).await
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version> {
        self.pass_write()?;
        let rival = self.rival.lock().unwrap().take_if(|(name, _)| name == key);
        if let Some((key, body)) = rival {
            self.fake.put(&key, body, Expect::Absent).await?;
        }
        self.fake.put(key, body, expect).await
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        self.pass_write()?;
        self.fake.delete(key, version).await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>> {
        self.pass()?;
        self.fake.list(kind, prefix).await
    }

    async fn watch(&self, kind: Kind, at: &str, v: Version, wait: Millis) -> Result<Vec<Change>> {
        self.pass()?;
        self.fake.watch(kind, at, v, wait).await
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        self.pass()?;
        self.fake.vms().await
    }

    async fn weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>> {
        self.pass()?;
        self.fake.weight_permit(bytes).await
    }
}
