//! A platform in memory whose writes can fail in each way that the trait allows.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use async_trait::async_trait;
use cyc_store::{
    Body, Change, Error, Expect, Kind, MAX_VALUE, Object, ObjectKey, Platform, Result, Vm,
};
use cyc_types::{ByteSize, Clock, Millis, Version};

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It takes effect and is answered.
    None,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// It arrives later, at [`Fake::deliver`].
    Delayed,
}

type Write = (ObjectKey, Body, Expect);

#[derive(Debug, Default)]
struct Store {
    objects: BTreeMap<ObjectKey, (Version, Body)>,
    last: u64,
    faults: VecDeque<Fault>,
    delayed: Vec<Write>,
    out: bool,
    puts: u64,
    vms: Vec<Vm>,
}

/// The platform.
#[derive(Debug, Default)]
pub struct Fake(Mutex<Store>);

#[allow(dead_code)]
impl Fake {
    /// Sets the fate of the next writes.
    pub fn script(&self, faults: &[Fault]) {
        self.0.lock().unwrap().faults.extend(faults);
    }

    /// Lets the delayed writes arrive.
    pub fn deliver(&self) {
        let mut store = self.0.lock().unwrap();
        for write in std::mem::take(&mut store.delayed) {
            store.write(write).ok();
        }
    }

    /// Starts or ends an outage.
    pub fn set_out(&self, out: bool) {
        self.0.lock().unwrap().out = out;
    }

    /// Returns the number of writes that arrived or were lost.
    pub fn puts(&self) -> u64 {
        self.0.lock().unwrap().puts
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.0.lock().unwrap().vms = vms;
    }

    /// Reads an object without faults.
    pub fn read(&self, key: &ObjectKey) -> Option<Body> {
        let store = self.0.lock().unwrap();
        store.objects.get(key).map(|(_, body)| body.clone())
    }
}

impl Store {
    fn write(&mut self, (key, body, expect): Write) -> Result<Version> {
        let holds = match (expect, self.objects.get(&key)) {
            (Expect::Absent, None) => true,
            (Expect::Version(wanted), Some((version, _))) => wanted == *version,
            _ => false,
        };
        if !holds {
            return Err(Error::Conflict);
        }
        self.last += 1;
        let version = Version::new(self.last);
        self.objects.insert(key, (version, body));
        Ok(version)
    }

    fn reachable(&self) -> Result<()> {
        match self.out {
            true => Err(Error::Unavailable("out".into())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Platform for Fake {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        tokio::task::yield_now().await;
        let store = self.0.lock().unwrap();
        store.reachable()?;
        Ok(store.objects.get(key).map(|(version, body)| Object {
            key: key.clone(),
            version: *version,
            body: body.clone(),
        }))
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version> {
        tokio::task::yield_now().await;
        let size = ByteSize::new(body.len() as u64);
        if size > MAX_VALUE {
            return Err(Error::TooLarge(size));
        }
        let mut store = self.0.lock().unwrap();
        store.reachable()?;
        store.puts += 1;
        let write = (key.clone(), body, expect);
        let lost = Err(Error::Unavailable("no answer".into()));
        match store.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => store.write(write),
            Fault::AnswerLost => store.write(write).and(lost),
            Fault::Lost => lost,
            Fault::Delayed => {
                store.delayed.push(write);
                lost
            }
        }
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        let mut store = self.0.lock().unwrap();
        store.reachable()?;
        match store.objects.get(key) {
            Some((have, _)) if *have == version => {
                store.objects.remove(key);
                Ok(())
            }
            _ => Err(Error::Conflict),
        }
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>> {
        let store = self.0.lock().unwrap();
        store.reachable()?;
        let matching = store
            .objects
            .iter()
            .filter(|(key, _)| key.kind == kind && key.name.starts_with(prefix));
        let objects = matching.map(|(key, (version, body))| Object {
            key: key.clone(),
            version: *version,
            body: body.clone(),
        });
        Ok(objects.collect())
    }

    async fn watch(&self, _: Kind, _: &str, _: Version, _: Millis) -> Result<Vec<Change>> {
        Ok(Vec::new())
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        Ok(self.0.lock().unwrap().vms.clone())
    }

    async fn weight_permit(&self, _: ByteSize) -> Result<Option<Millis>> {
        Ok(None)
    }
}

/// A clock that follows the runtime's paused time.
pub fn runtime_clock() -> Clock {
    const STEP: Millis = Millis::new(20);
    let clock = Clock::new_manual(Millis::ZERO);
    let moved = clock.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(STEP.duration()).await;
            moved.advance(STEP);
        }
    });
    clock
}
