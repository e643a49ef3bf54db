//! In-memory fakes of an engine and the platform.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use async_trait::async_trait;
use cyc_orders::{Adapter, Desired, Engine, EngineError, Fence, Model, Observed, Order, Role};
use cyc_store::{
    Body, Change, Error, Kind, Object, ObjectKey, Platform, Precondition, Result as PlatformResult,
    Vm,
};
use cyc_types::{ByteSize, Clock, Millis, Version};
use googletest::Result;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::sync::Notify;

/// Returns a desired state of the model `quill` with the adapter `league`, both in `version`.
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

/// Returns an observed state with all models and adapters in `version`.
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
    checks_fence: bool,
    pub state: Mutex<Observed>,
    pub orders: Mutex<Vec<(Order, Fence)>>,
    highest_fence: Mutex<Fence>,
    rng: Mutex<SmallRng>,
    /// The percentage of orders lost before they take effect, and of responses lost after.
    pub loss_percent: AtomicU64,
    /// Delays the next order in transit until `release` is notified.
    pub hold_next: AtomicBool,
    pub held: Notify,
    pub release: Notify,
    /// Each observation advances this clock by the given time, which simulates a paused sidecar.
    pub observe_pause: Mutex<Option<(Clock, Millis)>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test thread panics with the lock")
}

impl FakeEngine {
    pub fn new(checks_fence: bool, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            checks_fence,
            state: Mutex::default(),
            orders: Mutex::default(),
            highest_fence: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            loss_percent: AtomicU64::new(0),
            hold_next: AtomicBool::new(false),
            held: Notify::new(),
            release: Notify::new(),
            observe_pause: Mutex::new(None),
        })
    }

    fn loses_message(&self) -> bool {
        lock(&self.rng).random_range(0..100) < self.loss_percent.load(Ordering::SeqCst)
    }

    fn execute(&self, order: &Order) {
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
        if let Some((clock, by)) = lock(&self.observe_pause).as_ref() {
            clock.advance(*by);
        }
        Ok(lock(&self.state).clone())
    }

    async fn order(&self, order: &Order, fence: Fence) -> std::result::Result<(), EngineError> {
        if self.hold_next.swap(false, Ordering::SeqCst) {
            self.held.notify_one();
            self.release.notified().await;
        }
        let no_answer = || Err(EngineError::NoAnswer("fault".into()));
        if self.loses_message() {
            return no_answer();
        }
        {
            let mut highest_fence = lock(&self.highest_fence);
            if self.checks_fence && fence <= *highest_fence {
                return Err(EngineError::Fenced(*highest_fence));
            }
            *highest_fence = fence.max(*highest_fence);
        }
        lock(&self.orders).push((order.clone(), fence));
        self.execute(order);
        if self.loses_message() {
            no_answer()
        } else {
            Ok(())
        }
    }
}

/// A platform that stores one registration and grants permits to load weights.
#[derive(Default)]
pub struct FakePlatform {
    pub incarnation: AtomicU64,
    pub unavailable: AtomicBool,
    /// The delay in ms returned for permit requests; zero grants them.
    pub permit_delay_ms: AtomicU64,
    pub permits_granted: AtomicU64,
}

fn unavailable<T>() -> PlatformResult<T> {
    Err(Error::Unavailable("fault".into()))
}

#[async_trait]
impl Platform for FakePlatform {
    async fn get(&self, key: &ObjectKey) -> PlatformResult<Option<Object>> {
        if self.unavailable.load(Ordering::SeqCst) || key.name != "sidecar.vm-1" {
            return unavailable();
        }
        let number = self.incarnation.load(Ordering::SeqCst);
        let body = format!(r#"{{"vm":"vm-1","number":{number}}}"#).into_bytes();
        Ok(Some(Object {
            key: key.clone(),
            version: Version::new(number),
            body: body.into(),
        }))
    }

    async fn put(&self, _: &ObjectKey, _: Body, _: Precondition) -> PlatformResult<Version> {
        unavailable()
    }

    async fn delete(&self, _: &ObjectKey, _: Version) -> PlatformResult<()> {
        unavailable()
    }

    async fn list(&self, _: Kind, _: &str) -> PlatformResult<Vec<Object>> {
        unavailable()
    }

    async fn watch(&self, _: Kind, _: &str, _: Version, _: Millis) -> PlatformResult<Vec<Change>> {
        unavailable()
    }

    async fn list_vms(&self) -> PlatformResult<Vec<Vm>> {
        unavailable()
    }

    async fn request_weight_permit(&self, _: ByteSize) -> PlatformResult<Option<Millis>> {
        match self.permit_delay_ms.load(Ordering::SeqCst) {
            0 => {
                self.permits_granted.fetch_add(1, Ordering::SeqCst);
                Ok(None)
            }
            delay_ms => Ok(Some(Millis::new(delay_ms))),
        }
    }
}
