//! The clock of all processes, in milliseconds.
//!
//! No decision about money compares the clocks of two processes: times are only used for waiting,
//! for deadlines inside one process and for reports.

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
    /// A span of time or a point in time, in milliseconds.
    Millis
);

impl Millis {
    /// One second.
    pub const SECOND: Millis = Millis(1_000);
    /// One minute.
    pub const MINUTE: Millis = Millis(60_000);

    /// Returns the span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Where a process reads the time: the system's clock, or one that a test moves by hand.
#[derive(Debug, Clone, Default)]
pub enum Clock {
    /// Milliseconds since this process started (monotonic) and the system's wall clock.
    #[default]
    System,
    /// A clock that only moves when [`Clock::advance`] is called.
    Manual(Arc<AtomicU64>),
}

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

impl Clock {
    /// Creates a manual clock that starts at `start`.
    pub fn new_manual(start: Millis) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(start.get())))
    }

    /// Returns the monotonic time, which never goes backwards within a process.
    pub fn now(&self) -> Millis {
        match self {
            Self::System => Millis::new(PROCESS_START.elapsed().as_millis() as u64),
            Self::Manual(now) => Millis::new(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time since the Unix epoch, for reports only.
    pub fn wall(&self) -> Millis {
        match self {
            Self::System => {
                let since = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                Millis::new(since.as_millis() as u64)
            }
            Self::Manual(now) => Millis::new(now.load(Ordering::SeqCst)),
        }
    }

    /// Moves a manual clock forward; the system's clock is left as it is.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(by.get(), Ordering::SeqCst);
        }
    }
}
