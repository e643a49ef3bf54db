//! The settings of an entry.

use std::{net::SocketAddr, path::Path};

use cyc_types::{ByteSize, Millis};
use strum::{Display, EnumString};

use crate::{
    error::SettingsError,
    read::{self, Values},
    shared::{Access, Peers, PlatformAccess, Process},
    table::Daemon,
};

/// How an entry chooses the number of tokens that it draws in advance from a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum GrantPolicy {
    /// An equal share of the free tokens for each entry, scaled by [`Budget::weight`].
    Equal,
    /// A fixed amount.
    Fixed,
    /// The expected use over a time that grows with [`Budget::weight`], at most the amount under
    /// [`GrantPolicy::Equal`].
    Adaptive,
}

/// `[budget]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// `policy`: how the size of grants is chosen; default `adaptive`.
    pub policy: GrantPolicy,
    /// `reserve_ms`: the longest wait of a request for its token reservation; default 500.
    pub reserve_timeout: Millis,
    /// `idle_ms`: the time without requests after which the unused remainder of a grant is
    /// returned; default 30 000.
    pub idle_timeout: Millis,
    /// `weight`: 0 keeps as few idle tokens as possible, 100 the most; default 50.
    /// Invariant: at most 100.
    pub weight: u8,
}

/// `[limits]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryLimits {
    /// `max_body_bytes`: the largest request body; default 1 MiB.
    pub max_body: ByteSize,
    /// `max_connections`: the maximum number of concurrent caller connections; default 4096.
    pub max_connections: usize,
    /// `status_slots`: the maximum number of status requests in flight; default 512.
    pub status_slots: usize,
    /// `booking_slots`: the maximum number of booking requests in flight; default 128.
    pub booking_slots: usize,
    /// `drafting_slots`: the maximum number of drafting requests in flight; default 512.
    pub drafting_slots: usize,
    /// `queue`: the maximum number of queued requests per class; default 1024.
    pub queue: usize,
    /// `default_deadline_ms`: the deadline of a request that sets none; default 60 000.
    /// Invariant: at most `max_deadline`.
    pub default_deadline: Millis,
    /// `max_deadline_ms`: the longest deadline; default 900 000.
    pub max_deadline: Millis,
}

/// `[ledger]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// `flush_ms`: the interval between flushes of receipts; default 1 000.
    pub flush_interval: Millis,
    /// `retry_window_ms`: the longest time between the first attempt and a retry; default 900 000.
    pub retry_window: Millis,
    /// `vm_absence_ms`: how long a VM has to be absent from the VM list before the grants of its
    /// entry are reclaimed; default 30 000.
    pub vm_absence: Millis,
}

/// The settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// `[process]`, the keys that both daemons read.
    pub process: Process,
    /// `[process] caller_addr`: the listen address for HTTP requests of callers. Required.
    pub caller_addr: SocketAddr,
    /// `[process] peer_addr`: the listen address for RPC calls of other processes. Required.
    /// Invariant: differs from `caller_addr`.
    pub peer_addr: SocketAddr,
    /// `[platform]`
    pub platform: PlatformAccess,
    /// `[access]`
    pub access: Access,
    /// `[peers]`
    pub peers: Peers,
    /// `[budget]`
    pub budget: Budget,
    /// `[limits]`
    pub limits: EntryLimits,
    /// `[ledger]`
    pub ledger: Ledger,
}

impl EntrySettings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    /// All errors of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let (name, text) = read::read_file(path)?;
        Self::parse(&name, &text)
    }

    /// Parses and validates `text`; `name` is the file name in errors.
    ///
    /// # Errors
    /// All errors of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let values = Values::parse(Daemon::Entry, name, text)?;
        let settings = Self::from_values(&values)?;
        settings.check(&values)?;
        Ok(settings)
    }

    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            process: Process::from_values(values)?,
            caller_addr: values.get("process", "caller_addr")?,
            peer_addr: values.get("process", "peer_addr")?,
            platform: PlatformAccess::from_values(values)?,
            access: Access::from_values(values)?,
            peers: Peers::from_values(values)?,
            budget: Budget {
                policy: values.get("budget", "policy")?,
                reserve_timeout: values.get("budget", "reserve_ms")?,
                idle_timeout: values.get("budget", "idle_ms")?,
                weight: values.get("budget", "weight")?,
            },
            limits: EntryLimits::from_values(values)?,
            ledger: Ledger {
                flush_interval: values.get("ledger", "flush_ms")?,
                retry_window: values.get("ledger", "retry_window_ms")?,
                vm_absence: values.get("ledger", "vm_absence_ms")?,
            },
        })
    }

    fn check(&self, values: &Values) -> Result<(), Vec<SettingsError>> {
        let mut errors = Vec::new();
        if self.caller_addr == self.peer_addr {
            let allowed = "an address other than caller_addr";
            errors.push(values.bad_value("process", "peer_addr", allowed));
        }
        if self.limits.default_deadline > self.limits.max_deadline {
            let allowed = format!("at most max_deadline_ms = {}", self.limits.max_deadline);
            errors.push(values.bad_value("limits", "default_deadline_ms", allowed));
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }
}

impl EntryLimits {
    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            max_body: values.get("limits", "max_body_bytes")?,
            max_connections: values.get("limits", "max_connections")?,
            status_slots: values.get("limits", "status_slots")?,
            booking_slots: values.get("limits", "booking_slots")?,
            drafting_slots: values.get("limits", "drafting_slots")?,
            queue: values.get("limits", "queue")?,
            default_deadline: values.get("limits", "default_deadline_ms")?,
            max_deadline: values.get("limits", "max_deadline_ms")?,
        })
    }
}
