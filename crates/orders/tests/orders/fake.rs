//! An engine and a platform in memory.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use async_trait::async_trait;
use cyc_orders::{Adapter, Desired, Engine, EngineError, Fence, Model, Observed, Order, Role};
use cyc_store::{
    Body, Change, Error, Expect, Kind, Object, ObjectKey, Platform, Result as PlatformResult, Vm,
};
use cyc_types::{ByteSize, Clock, Millis, Version};
use googletest::Result;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::sync::Notify;

/// The model `quill` with the adapter `league`, both in `version`.
pub fn desired(version: &str, role: Role) -> Result<Desired> {
    let bytes = ByteSize::new(1_000);
    let model = Model {
        version: version.into(),
        bytes,
    };
    let adapter = Adapter {
        model: "quill".parse()?,
        version: version.into(),
        bytes,
    };
    Ok(Desired {
        models: [("quill".parse()?, model)].into(),
        adapters: [("league".parse()?, adapter)].into(),
        role,
    })
}

/// A state with everything in `version`.
pub fn state(models: &[&str], adapters: &[&str], version: &str) -> Result<Observed> {
    let mut observed = Observed::default();
    for id in models {
        observed.models.insert(id.parse()?, version.into());
    }
    for id in adapters {
        observed.adapters.insert(id.parse()?, version.into());
    }
    Ok(observed)
}

pub struct FakeEngine {
    checks: bool,
    pub state: Mutex<Observed>,
    pub orders: Mutex<Vec<(Order, Fence)>>,
    highest: Mutex<Fence>,
    rng: Mutex<SmallRng>,
    /// Percent of answers that are lost after the order took effect, and of calls lost before.
    pub lost: AtomicU64,
    /// Holds the next order back on its way, until `release`.
    pub hold: AtomicBool,
    pub held: Notify,
    pub release: Notify,
    /// Each observation moves this clock by so much, as a pause of the sidecar would.
    pub pause: Mutex<Option<(Clock, Millis)>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test thread panics with the lock")
}

impl FakeEngine {
    pub fn new(checks: bool, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            checks,
            state: Mutex::default(),
            orders: Mutex::default(),
            highest: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            lost: AtomicU64::new(0),
            hold: AtomicBool::new(false),
            held: Notify::new(),
            release: Notify::new(),
            pause: Mutex::new(None),
        })
    }

    fn is_lost(&self) -> bool {
        lock(&self.rng).random_range(0..100) < self.lost.load(Ordering::SeqCst)
    }

    fn carry_out(&self, order: &Order) {
        let mut state = lock(&self.state);
        match order.clone() {
            Order::UnloadModel { model } => drop(state.models.remove(&model)),
            Order::LoadModel { model, version, .. } => {
                drop(state.models.insert(model, version));
            }
            Order::UnloadAdapter { adapter } => drop(state.adapters.remove(&adapter)),
            Order::LoadAdapter {
                adapter, version, ..
            } => {
                drop(state.adapters.insert(adapter, version));
            }
            Order::SetRole { role } => state.role = role,
        }
    }
}

#[async_trait]
impl Engine for FakeEngine {
    async fn observe(&self) -> std::result::Result<Observed, EngineError> {
        if let Some((clock, by)) = lock(&self.pause).as_ref() {
            clock.advance(*by);
        }
        Ok(lock(&self.state).clone())
    }

    async fn order(&self, order: &Order, fence: Fence) -> std::result::Result<(), EngineError> {
        if self.hold.swap(false, Ordering::SeqCst) {
            self.held.notify_one();
            self.release.notified().await;
        }
        let no_answer = || Err(EngineError::NoAnswer("fault".into()));
        if self.is_lost() {
            return no_answer();
        }
        {
            let mut highest = lock(&self.highest);
            if self.checks && fence <= *highest {
                return Err(EngineError::Fenced(*highest));
            }
            *highest = fence.max(*highest);
        }
        lock(&self.orders).push((order.clone(), fence));
        self.carry_out(order);
        if self.is_lost() { no_answer() } else { Ok(()) }
    }
}

/// Holds one member object and gives permits.
#[derive(Default)]
pub struct FakePlatform {
    pub number: AtomicU64,
    pub out: AtomicBool,
    /// How long the next calls for a permit are told to wait; zero for none.
    pub wait: AtomicU64,
    pub permits: AtomicU64,
}

fn out<T>() -> PlatformResult<T> {
    Err(Error::Unavailable("fault".into()))
}

#[async_trait]
impl Platform for FakePlatform {
    async fn get(&self, key: &ObjectKey) -> PlatformResult<Option<Object>> {
        if self.out.load(Ordering::SeqCst) || key.name != "sidecar.vm-1" {
            return out();
        }
        let number = self.number.load(Ordering::SeqCst);
        let body = format!(r#"{{"vm":"vm-1","number":{number}}}"#).into_bytes();
        Ok(Some(Object {
            key: key.clone(),
            version: Version::new(number),
            body: body.into(),
        }))
    }

    async fn put(&self, _: &ObjectKey, _: Body, _: Expect) -> PlatformResult<Version> {
        out()
    }

    async fn delete(&self, _: &ObjectKey, _: Version) -> PlatformResult<()> {
        out()
    }

    async fn list(&self, _: Kind, _: &str) -> PlatformResult<Vec<Object>> {
        out()
    }

    async fn watch(&self, _: Kind, _: &str, _: Version, _: Millis) -> PlatformResult<Vec<Change>> {
        out()
    }

    async fn vms(&self) -> PlatformResult<Vec<Vm>> {
        out()
    }

    async fn weight_permit(&self, _: ByteSize) -> PlatformResult<Option<Millis>> {
        match self.wait.load(Ordering::SeqCst) {
            0 => {
                self.permits.fetch_add(1, Ordering::SeqCst);
                Ok(None)
            }
            wait => Ok(Some(Millis::new(wait))),
        }
    }
}
