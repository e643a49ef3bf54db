//! The reconciler: brings an engine from the observed to the desired state, one order at a time.

use std::{fmt, sync::Arc};

use async_trait::async_trait;
use cyc_store::{Kind, ObjectKey, Platform};
use cyc_types::{Clock, Incarnation, Millis};
use serde::Deserialize;
use tokio::sync::watch;

use crate::{
    fence::Fence,
    plan::{Desired, Observed, Order, next_order},
};

/// Why a call to an engine failed, and whether an order may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// The call was not sent.
    NotSent(String),
    /// The engine did not respond. The order may have taken effect, or may still do so later.
    NoAnswer(String),
    /// The engine rejected the order's fencing number because it has already seen this one, which
    /// is not smaller. The order had no effect.
    Fenced(Fence),
    /// The engine refused the order for another reason. The order had no effect.
    Refused(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
            Self::Fenced(seen) => write!(f, "fenced: the engine has seen {seen}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// The engine that a sidecar controls. Implemented by an HTTP client and by fakes in tests.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Reads the current state of the engine.
    async fn observe(&self) -> Result<Observed, EngineError>;

    /// Sends an order. Returns once the engine has accepted it, possibly before it is executed.
    async fn order(&self, order: &Order, fence: Fence) -> Result<(), EngineError>;
}

/// Whether an engine refuses orders with a stale fencing number, as configured by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// The engine refuses such orders.
    Enforced,
    /// The engine executes all orders.
    Ignored,
}

/// The timing of a reconciler.
#[derive(Debug, Clone)]
pub struct Options {
    /// The time between two comparisons of the states.
    pub poll_interval: Millis,
    /// The maximum age of an observed state on which an order may be based.
    pub max_state_age: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            poll_interval: Millis::SECOND,
            max_state_age: Millis::new(2_000),
        }
    }
}

/// The result of one step of reconciliation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// No order is needed: the engine is in the desired state.
    InSync,
    /// The engine is executing an order.
    Busy,
    /// The engine has accepted this order.
    OrderAccepted(Order),
    /// The state changed or became too old while the order was prepared; no order was sent.
    StateChanged,
    /// The weight store grants no permit before this delay has passed; no order was sent.
    PermitDelayed(Millis),
    /// The platform did not confirm the permit or the registration of this sidecar; no order was
    /// sent.
    PlatformUnavailable,
    /// A call to the engine failed.
    Failed(EngineError),
    /// A later incarnation of the sidecar has registered, or this one has used up its fencing
    /// numbers; this one must send no more orders.
    Replaced,
}

/// The fields of a registration that the reconciler reads.
#[derive(Deserialize)]
struct Registration {
    number: u64,
}

/// Reconciles the state of one engine with the desired state.
pub struct Reconciler {
    engine: Arc<dyn Engine>,
    platform: Arc<dyn Platform>,
    incarnation: Incarnation,
    fence_check: FenceCheck,
    clock: Clock,
    options: Options,
    fence: Option<Fence>,
    /// The order for which the weight store granted a permit. The permit also covers repetitions of
    /// the order.
    permitted_order: Option<Order>,
    replaced: bool,
}

impl Reconciler {
    /// Creates a reconciler for the engine on the VM of the sidecar `incarnation`.
    pub fn new(
        engine: Arc<dyn Engine>,
        platform: Arc<dyn Platform>,
        incarnation: Incarnation,
        fence_check: FenceCheck,
        clock: Clock,
    ) -> Self {
        let fence = Fence::new(incarnation.number);
        Self {
            engine,
            platform,
            incarnation,
            fence_check,
            clock,
            options: Options::default(),
            fence,
            permitted_order: None,
            replaced: false,
        }
    }

    /// Sets the timing.
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self
    }

    /// Reconciles the states until this sidecar is replaced, then returns [`Step::Replaced`], or
    /// until the channel `desired` is closed, then returns [`Step::InSync`].
    pub async fn run(mut self, mut desired: watch::Receiver<Desired>) -> Step {
        loop {
            let latest = desired.borrow_and_update().clone();
            let delay = match self.step(&latest).await {
                Step::Replaced => return Step::Replaced,
                Step::OrderAccepted(_) => continue,
                Step::PermitDelayed(delay) => delay,
                Step::InSync
                | Step::Busy
                | Step::StateChanged
                | Step::PlatformUnavailable
                | Step::Failed(_) => self.options.poll_interval,
            };
            let changed = tokio::time::timeout(delay.duration(), desired.changed()).await;
            if let Ok(Err(_)) = changed {
                return Step::InSync;
            }
        }
    }

    /// Compares the states once and sends at most one order. Once a step returns
    /// [`Step::Replaced`], so do all later steps.
    pub async fn step(&mut self, desired: &Desired) -> Step {
        match self.try_step(desired).await {
            Ok(step) | Err(step) => {
                self.replaced |= step == Step::Replaced;
                step
            }
        }
    }

    async fn try_step(&mut self, desired: &Desired) -> Result<Step, Step> {
        if self.replaced {
            return Err(Step::Replaced);
        }
        let observed = self.observe().await?;
        let next = next_order(desired, &observed);
        if !observed.busy && next != self.permitted_order {
            self.permitted_order = None;
        }
        let Some(order) = next else {
            return Ok(if observed.busy {
                Step::Busy
            } else {
                Step::InSync
            });
        };
        self.acquire_permit(&order).await?;
        self.check_not_replaced().await?;
        // The permit and the check take time, and the process may have been paused meanwhile: the
        // order is sent only if a fresh observation still requires it.
        let read_at = self.clock.now();
        let reread = self.observe().await?;
        let age = self.clock.now().saturating_sub(read_at);
        if next_order(desired, &reread).as_ref() != Some(&order) || age > self.options.max_state_age
        {
            return Ok(Step::StateChanged);
        }
        self.send(order).await
    }

    async fn observe(&self) -> Result<Observed, Step> {
        self.engine.observe().await.map_err(Step::Failed)
    }

    /// Requests a permit from the weight store, once for each order that loads weights.
    async fn acquire_permit(&mut self, order: &Order) -> Result<(), Step> {
        let Some(bytes) = order.weight_bytes() else {
            return Ok(());
        };
        if self.permitted_order.as_ref() == Some(order) {
            return Ok(());
        }
        match self.platform.request_weight_permit(bytes).await {
            Ok(None) => {
                self.permitted_order = Some(order.clone());
                Ok(())
            }
            Ok(Some(delay)) => Err(Step::PermitDelayed(delay)),
            Err(_) => Err(Step::PlatformUnavailable),
        }
    }

    /// Verifies that no later incarnation of this sidecar has registered. An engine that checks
    /// fencing numbers does not depend on this check, so it receives orders also while the
    /// registration cannot be read.
    async fn check_not_replaced(&self) -> Result<(), Step> {
        let key = ObjectKey::new(Kind::Member, format!("sidecar.{}", self.incarnation.vm));
        let registration = match self.platform.get(&key).await {
            Ok(registration) => {
                registration.and_then(|object| serde_json::from_slice(&object.body).ok())
            }
            Err(_) => None,
        };
        match registration {
            Some(Registration { number }) if number > self.incarnation.number => {
                Err(Step::Replaced)
            }
            Some(_) => Ok(()),
            None if self.fence_check == FenceCheck::Enforced => Ok(()),
            None => Err(Step::PlatformUnavailable),
        }
    }

    async fn send(&mut self, order: Order) -> Result<Step, Step> {
        // Once the fencing numbers are used up, only a new incarnation can send orders.
        let fence = self.fence.and_then(Fence::next).ok_or(Step::Replaced)?;
        self.fence = Some(fence);
        match self.engine.order(&order, fence).await {
            Ok(()) => Ok(Step::OrderAccepted(order)),
            Err(EngineError::Fenced(seen)) if seen.incarnation() > self.incarnation.number => {
                Err(Step::Replaced)
            }
            Err(error) => Err(Step::Failed(error)),
        }
    }
}
