//! Monotonic and wall-clock time in milliseconds.
//!
//! Accounting never compares the clocks of two processes: times serve only for delays, for
//! deadlines within one process and for reports.

use std::{
    sync::{
        Arc, LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::size::{ParseValueError, number_newtype};

number_newtype!(
    /// A duration or a point in time, in milliseconds.
    Millis
);

impl Millis {
    /// One second.
    pub const SECOND: Millis = Millis(1_000);
    /// One minute.
    pub const MINUTE: Millis = Millis(60_000);

    /// Converts the value to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// The source of time: the system clock, or a clock that tests advance explicitly.
#[derive(Debug, Clone, Default)]
pub enum Clock {
    /// Monotonic milliseconds since the process first read the clock, and the system's wall clock.
    #[default]
    System,
    /// A clock that moves only when [`Clock::advance`] is called; clones share it.
    Manual(Arc<AtomicU64>),
}

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

impl Clock {
    /// Creates a manual clock that reads `start`.
    pub fn new_manual(start: Millis) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(start.get())))
    }

    /// Returns the monotonic time, comparable only within this process.
    pub fn now(&self) -> Millis {
        match self {
            Self::System => Millis::new(PROCESS_START.elapsed().as_millis() as u64),
            Self::Manual(now) => Millis::new(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the wall-clock time since the Unix epoch, for reports only.
    pub fn wall_time(&self) -> Millis {
        match self {
            Self::System => {
                let since_epoch = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                Millis::new(since_epoch.as_millis() as u64)
            }
            Self::Manual(now) => Millis::new(now.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual clock; has no effect on the system clock.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(by.get(), Ordering::SeqCst);
        }
    }
}
