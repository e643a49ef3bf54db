//! An in-memory object store with seeded faults.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use cyc_claim::Bucket;
use cyc_store::{
    Body, Change, Error, Kind, MAX_VALUE_SIZE, Object, ObjectKey, Platform, Precondition, Result,
    Vm,
};
use cyc_types::{ByteSize, Millis, Version};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Probabilities of faults in percent of the calls, and delays.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The call is lost and has no effect.
    pub lost_call: u32,
    /// The call takes effect, but the answer is lost.
    pub lost_answer: u32,
    /// The caller gets an error, and the write arrives later.
    pub late_write: u32,
    /// The call is refused by a rate limit.
    pub throttled: u32,
    /// Longest delay before and after a call.
    pub max_delay_ms: u64,
    /// Shortest and longest delay of a late write.
    pub late_delay_ms: (u64, u64),
}

struct Store {
    objects: HashMap<ObjectKey, (u64, Body)>,
    version: u64,
    faults: Faults,
    rng: SmallRng,
    puts: usize,
}

impl Store {
    fn put(&mut self, key: &ObjectKey, body: Body, expect: Precondition) -> Result<Version> {
        let current = self.objects.get(key).map_or(0, |(version, _)| *version);
        let expected = match expect {
            Precondition::Absent => 0,
            Precondition::Version(version) => version.get(),
        };
        if current != expected {
            return Err(Error::Conflict);
        }
        self.version += 1;
        self.objects.insert(key.clone(), (self.version, body));
        Ok(Version::new(self.version))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

#[derive(Clone)]
pub struct Fake(Arc<Mutex<Store>>);

impl Fake {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self(Arc::new(Mutex::new(Store {
            objects: HashMap::new(),
            version: 0,
            faults,
            rng: SmallRng::seed_from_u64(seed),
            puts: 0,
        })))
    }

    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        self.0
            .lock()
            .expect("no test thread panics while it holds the lock")
    }

    pub fn set_faults(&self, faults: Faults) {
        self.store().faults = faults;
    }

    pub fn puts(&self) -> usize {
        self.store().puts
    }

    pub fn object_bytes(&self, key: &ObjectKey) -> usize {
        self.store()
            .objects
            .get(key)
            .map_or(0, |(_, body)| body.len())
    }

    pub fn bucket(&self, key: &ObjectKey) -> Bucket {
        let store = self.store();
        let current = store.objects.get(key);
        current.map_or_else(Bucket::default, |(_, body)| {
            serde_json::from_slice(body).expect("only committers write buckets")
        })
    }

    async fn delay(&self) {
        let max_ms = self.store().faults.max_delay_ms;
        self.delay_between(0, max_ms).await;
    }

    async fn delay_between(&self, min_ms: u64, max_ms: u64) {
        let ms = self.store().rng.random_range(min_ms..=max_ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    fn put_later(&self, key: ObjectKey, body: Body, expect: Precondition) {
        let fake = self.clone();
        let (min_ms, max_ms) = self.store().faults.late_delay_ms;
        tokio::spawn(async move {
            fake.delay_between(min_ms, max_ms).await;
            let _ = fake.store().put(&key, body, expect);
        });
    }
}

fn unavailable<T>() -> Result<T> {
    Err(Error::Unavailable("fault".into()))
}

#[async_trait]
impl Platform for Fake {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        self.delay().await;
        let mut store = self.store();
        let lost = store.faults.lost_call;
        if store.chance(lost) {
            return unavailable();
        }
        Ok(store.objects.get(key).map(|(version, body)| Object {
            key: key.clone(),
            version: Version::new(*version),
            body: body.clone(),
        }))
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Precondition) -> Result<Version> {
        self.delay().await;
        let answer = {
            let mut store = self.store();
            store.puts += 1;
            let faults = store.faults;
            if body.len() as u64 > MAX_VALUE_SIZE.get() {
                return Err(Error::TooLarge(ByteSize::new(body.len() as u64)));
            }
            if store.chance(faults.throttled) {
                return Err(Error::Throttled);
            }
            if store.chance(faults.lost_call) {
                return unavailable();
            }
            if store.chance(faults.late_write) {
                drop(store);
                self.put_later(key.clone(), body, expect);
                return unavailable();
            }
            let answer = store.put(key, body, expect);
            if store.chance(faults.lost_answer) {
                unavailable()
            } else {
                answer
            }
        };
        self.delay().await;
        answer
    }

    async fn delete(&self, _: &ObjectKey, _: Version) -> Result<()> {
        unavailable()
    }

    async fn list(&self, _: Kind, _: &str) -> Result<Vec<Object>> {
        unavailable()
    }

    async fn watch(&self, _: Kind, _: &str, _: Version, _: Millis) -> Result<Vec<Change>> {
        unavailable()
    }

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        unavailable()
    }

    async fn request_weight_permit(&self, _: ByteSize) -> Result<Option<Millis>> {
        unavailable()
    }
}
