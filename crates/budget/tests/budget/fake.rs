//! An in-memory platform whose writes can fail in every way that the trait allows.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use async_trait::async_trait;
use cyc_store::{
    Body, Change, Error, Kind, MAX_VALUE_SIZE, Object, ObjectKey, Platform, Precondition, Result,
    Vm,
};
use cyc_types::{ByteSize, Clock, Millis, Version};

/// Fault of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect and is answered.
    None,
    /// The write takes effect, but the answer is lost.
    AnswerLost,
    /// The write never arrives.
    Lost,
    /// The write arrives at [`FakePlatform::deliver_delayed`]; its caller gets an error.
    Delayed,
}

type Write = (ObjectKey, Body, Precondition);

#[derive(Debug, Default)]
struct Store {
    objects: BTreeMap<ObjectKey, (Version, Body)>,
    last_version: u64,
    faults: VecDeque<Fault>,
    delayed: Vec<Write>,
    outage: bool,
    puts: u64,
    vms: Vec<Vm>,
}

/// The in-memory platform.
#[derive(Debug, Default)]
pub struct FakePlatform(Mutex<Store>);

#[allow(dead_code)]
impl FakePlatform {
    /// Sets the faults of the next writes, in order.
    pub fn set_write_faults(&self, faults: &[Fault]) {
        self.0.lock().unwrap().faults.extend(faults);
    }

    /// Lets the delayed writes arrive now.
    pub fn deliver_delayed(&self) {
        let mut store = self.0.lock().unwrap();
        for write in std::mem::take(&mut store.delayed) {
            store.write(write).ok();
        }
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: bool) {
        self.0.lock().unwrap().outage = outage;
    }

    /// Number of writes outside outages, including lost ones.
    pub fn puts(&self) -> u64 {
        self.0.lock().unwrap().puts
    }

    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.0.lock().unwrap().vms = vms;
    }

    /// Reads an object, also during an outage.
    pub fn read(&self, key: &ObjectKey) -> Option<Body> {
        let store = self.0.lock().unwrap();
        store.objects.get(key).map(|(_, body)| body.clone())
    }
}

impl Store {
    fn write(&mut self, (key, body, expect): Write) -> Result<Version> {
        let is_met = match (expect, self.objects.get(&key)) {
            (Precondition::Absent, None) => true,
            (Precondition::Version(expected), Some((version, _))) => expected == *version,
            _ => false,
        };
        if !is_met {
            return Err(Error::Conflict);
        }
        self.last_version += 1;
        let version = Version::new(self.last_version);
        self.objects.insert(key, (version, body));
        Ok(version)
    }

    fn check_reachable(&self) -> Result<()> {
        match self.outage {
            true => Err(Error::Unavailable("outage".into())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Platform for FakePlatform {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        tokio::task::yield_now().await;
        let store = self.0.lock().unwrap();
        store.check_reachable()?;
        Ok(store.objects.get(key).map(|(version, body)| Object {
            key: key.clone(),
            version: *version,
            body: body.clone(),
        }))
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Precondition) -> Result<Version> {
        tokio::task::yield_now().await;
        let size = ByteSize::new(body.len() as u64);
        if size > MAX_VALUE_SIZE {
            return Err(Error::TooLarge(size));
        }
        let mut store = self.0.lock().unwrap();
        store.check_reachable()?;
        store.puts += 1;
        let write = (key.clone(), body, expect);
        let no_answer = Err(Error::Unavailable("no answer".into()));
        match store.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => store.write(write),
            Fault::AnswerLost => store.write(write).and(no_answer),
            Fault::Lost => no_answer,
            Fault::Delayed => {
                store.delayed.push(write);
                no_answer
            }
        }
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        let mut store = self.0.lock().unwrap();
        store.check_reachable()?;
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
        store.check_reachable()?;
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

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        Ok(self.0.lock().unwrap().vms.clone())
    }

    async fn request_weight_permit(&self, _: ByteSize) -> Result<Option<Millis>> {
        Ok(None)
    }
}

/// A manual clock that follows the paused time of the runtime.
pub fn runtime_clock() -> Clock {
    const CLOCK_STEP: Millis = Millis::new(20);
    let clock = Clock::new_manual(Millis::ZERO);
    let driven = clock.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(CLOCK_STEP.duration()).await;
            driven.advance(CLOCK_STEP);
        }
    });
    clock
}
