//! The driver, which sends one order at a time until the states agree.

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

/// Why an engine gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// The call was not sent.
    NotSent(String),
    /// No answer came: the order may or may not have taken effect, now or later.
    NoAnswer(String),
    /// The engine has seen this larger fencing number. The order has had no effect.
    Fenced(Fence),
    /// The engine refused the order for another reason. It has had no effect.
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

/// The engine beside the sidecar. Implemented by its HTTP client and by fakes in tests.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Reads the state.
    async fn observe(&self) -> Result<Observed, EngineError>;

    /// Gives an order. Returns when the engine has taken it, which may be before it is done.
    async fn order(&self, order: &Order, fence: Fence) -> Result<(), EngineError>;
}

/// Whether an engine refuses orders with an old fencing number, as the operators say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// It does.
    Checked,
    /// It carries out every order.
    Ignored,
}

/// Times of the driver.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between two comparisons of the states.
    pub poll: Millis,
    /// No order is sent from an observed state older than this.
    pub fresh: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            poll: Millis::SECOND,
            fresh: Millis::new(2_000),
        }
    }
}

/// What one step did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The states agree.
    Settled,
    /// The engine is busy with an order.
    Busy,
    /// The engine has taken this order.
    Ordered(Order),
    /// The state changed while the order was prepared; nothing was sent.
    Changed,
    /// The weight store gives no permit before this time has passed.
    Wait(Millis),
    /// The platform cannot say whether this sidecar was replaced or may load; nothing was sent.
    PlatformUnavailable,
    /// The engine gave no result.
    Failed(EngineError),
    /// A later incarnation of the sidecar exists: this one must not order any more.
    Replaced,
}

#[derive(Deserialize)]
struct Member {
    number: u64,
}

/// Brings one engine to its desired state.
pub struct Driver {
    engine: Arc<dyn Engine>,
    platform: Arc<dyn Platform>,
    me: Incarnation,
    check: FenceCheck,
    clock: Clock,
    options: Options,
    fence: Option<Fence>,
    /// The order that the weight store has permitted; it may be repeated under this permit.
    permitted: Option<Order>,
    replaced: bool,
}

impl Driver {
    /// Creates the driver of the sidecar incarnation `me` for the engine of its VM.
    pub fn new(
        engine: Arc<dyn Engine>,
        platform: Arc<dyn Platform>,
        me: Incarnation,
        check: FenceCheck,
        clock: Clock,
    ) -> Self {
        let fence = Fence::new(me.number);
        Self {
            engine,
            platform,
            me,
            check,
            clock,
            options: Options::default(),
            fence,
            permitted: None,
            replaced: false,
        }
    }

    /// Sets the times.
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self
    }

    /// Compares the states again and again, until this sidecar is replaced or `desired` is closed.
    pub async fn run(mut self, mut desired: watch::Receiver<Desired>) -> Step {
        loop {
            let now = desired.borrow_and_update().clone();
            let wait = match self.step(&now).await {
                Step::Replaced => return Step::Replaced,
                Step::Ordered(_) => continue,
                Step::Wait(wait) => wait,
                Step::Settled
                | Step::Busy
                | Step::Changed
                | Step::PlatformUnavailable
                | Step::Failed(_) => self.options.poll,
            };
            let changed = tokio::time::timeout(wait.duration(), desired.changed()).await;
            if let Ok(Err(_)) = changed {
                return Step::Settled;
            }
        }
    }

    /// Compares the states once and sends at most one order.
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
        if !observed.busy && next != self.permitted {
            self.permitted = None;
        }
        let Some(order) = next else {
            return Ok(if observed.busy {
                Step::Busy
            } else {
                Step::Settled
            });
        };
        self.permit(&order).await?;
        self.check_current().await?;
        // The permit and the check took time, and this process may have been paused in them.
        let read_at = self.clock.now();
        let again = self.observe().await?;
        let age = self.clock.now().saturating_sub(read_at);
        if next_order(desired, &again).as_ref() != Some(&order) || age > self.options.fresh {
            return Ok(Step::Changed);
        }
        self.send(order).await
    }

    async fn observe(&self) -> Result<Observed, Step> {
        self.engine.observe().await.map_err(Step::Failed)
    }

    /// Asks the weight store for leave, once for each order that loads.
    async fn permit(&mut self, order: &Order) -> Result<(), Step> {
        let Some(bytes) = order.weights() else {
            return Ok(());
        };
        if self.permitted.as_ref() == Some(order) {
            return Ok(());
        }
        match self.platform.weight_permit(bytes).await {
            Ok(None) => {
                self.permitted = Some(order.clone());
                Ok(())
            }
            Ok(Some(wait)) => Err(Step::Wait(wait)),
            Err(_) => Err(Step::PlatformUnavailable),
        }
    }

    /// Makes sure that no later incarnation of this sidecar has registered. An engine that checks
    /// fencing numbers needs no such proof, so it may be ordered while the platform is out.
    async fn check_current(&self) -> Result<(), Step> {
        let key = ObjectKey::new(Kind::Member, format!("sidecar.{}", self.me.vm));
        let found = match self.platform.get(&key).await {
            Ok(found) => found.and_then(|object| serde_json::from_slice(&object.body).ok()),
            Err(_) => None,
        };
        match found {
            Some(Member { number }) if number > self.me.number => Err(Step::Replaced),
            Some(_) => Ok(()),
            None if self.check == FenceCheck::Checked => Ok(()),
            None => Err(Step::PlatformUnavailable),
        }
    }

    async fn send(&mut self, order: Order) -> Result<Step, Step> {
        // Without a number left, only a new incarnation can go on.
        let fence = self.fence.and_then(Fence::next).ok_or(Step::Replaced)?;
        self.fence = Some(fence);
        match self.engine.order(&order, fence).await {
            Ok(()) => Ok(Step::Ordered(order)),
            Err(EngineError::Fenced(seen)) if seen.incarnation() > self.me.number => {
                Err(Step::Replaced)
            }
            Err(error) => Err(Step::Failed(error)),
        }
    }
}
