//! The settings of the daemons as typed values.

use std::{fmt, net::SocketAddr, path::Path, str::FromStr};

use cyc_types::{AvailabilityZone, ByteSize, Millis, TargetId, VmId, size::ParseValueError};
use smol_str::SmolStr;
use strum::{Display, EnumString};

use crate::{
    error::SettingsError,
    read::{self, Values},
    table::{Allowed, Daemon, MIN_PROCESS_KEY_CHARS},
};

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Trace,
    /// Steps inside a request.
    Debug,
    /// Changes of state.
    Info,
    /// Faults that the process handles.
    Warn,
    /// Faults that need an operator.
    Error,
    /// Nothing.
    Off,
}

/// How an entry chooses the size of its grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum GrantPolicy {
    /// The same part of a budget for each entry.
    Equal,
    /// A fixed amount.
    Fixed,
    /// By the recent rate of spending.
    Adaptive,
}

/// What a sidecar's target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The key that all processes share.
///
/// Invariant: visible ASCII, at least [`MIN_PROCESS_KEY_CHARS`] of them. `Debug` hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct ProcessKey(SmolStr);

impl ProcessKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ProcessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ProcessKey(..)")
    }
}

impl FromStr for ProcessKey {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let allowed = Allowed::Secret {
            min_chars: MIN_PROCESS_KEY_CHARS,
        };
        if allowed.accepts(text) {
            Ok(Self(text.into()))
        } else {
            Err(ParseValueError {
                wanted: "ProcessKey",
                given: String::from("(hidden)"),
            })
        }
    }
}

/// What both daemons read from `[process]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// `vm`: the VM that the process runs on. Required.
    pub vm: VmId,
    /// `zone`: the availability zone of the VM. Required.
    pub zone: AvailabilityZone,
    /// `log_level`: default `info`.
    pub log_level: LogLevel,
    /// `metrics_addr`: where statsd metrics go; none by default.
    pub metrics_addr: Option<SocketAddr>,
    /// `drain_limit_ms`: how long a graceful shutdown may wait; default 600 000.
    pub drain_limit: Millis,
}

/// `[platform]`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAccess {
    /// `addr`: the platform's HTTP address. Required.
    pub addr: SocketAddr,
    /// `timeout_ms`: timeout of one call; default 2 000.
    pub timeout: Millis,
}

/// `[access]`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// `process_key`: the key that all processes share. Required.
    pub process_key: ProcessKey,
}

/// `[peers]`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peers {
    /// `seeds`: RPC addresses of entries; empty by default.
    pub seeds: Vec<SocketAddr>,
}

/// `[budget]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// `policy`: default `adaptive`.
    pub policy: GrantPolicy,
    /// `reserve_ms`: how long a request waits for tokens; default 500.
    pub reserve: Millis,
    /// `idle_ms`: after how long without requests the idle remainder returns; default 30 000.
    pub idle: Millis,
    /// `weight`: 0 keeps as few idle tokens as possible, 100 the most; default 50.
    /// Invariant: at most 100.
    pub weight: u8,
}

/// `[limits]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryLimits {
    /// `max_body_bytes`: the largest request body; default 1 MiB.
    pub max_body: ByteSize,
    /// `max_connections`: caller connections at a time; default 4096.
    pub max_connections: usize,
    /// `status_slots`: status requests in flight; default 512.
    pub status_slots: usize,
    /// `booking_slots`: booking requests in flight; default 128.
    pub booking_slots: usize,
    /// `drafting_slots`: drafting requests in flight; default 512.
    pub drafting_slots: usize,
    /// `queue`: requests of one class that wait; default 1024.
    pub queue: usize,
    /// `default_deadline_ms`: deadline of a request that names none; default 60 000.
    /// Invariant: at most `max_deadline`.
    pub default_deadline: Millis,
    /// `max_deadline_ms`: the longest deadline; default 900 000.
    pub max_deadline: Millis,
}

/// `[ledger]` of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// `flush_ms`: time between flushes of receipts; default 1 000.
    pub flush: Millis,
    /// `retry_window_ms`: how long a retry may come after the first attempt; default 900 000.
    pub retry_window: Millis,
}

/// `[target]` of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// `addr`: the target's HTTP address. Required.
    pub addr: SocketAddr,
    /// `kind`: what the target is. Required.
    pub kind: TargetKind,
    /// `checks_fencing`: whether it refuses orders with an old fencing number; default false.
    pub checks_fencing: bool,
    /// `load_ms`: time between reads of its load; default 500.
    pub load: Millis,
}

/// `[limits]` of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarLimits {
    /// `status_slots`: status requests that run at a time; default 32.
    pub status_slots: usize,
    /// `booking_slots`: booking requests that run at a time; default 8.
    pub booking_slots: usize,
    /// `drafting_slots`: drafting requests that run at a time; default 16.
    pub drafting_slots: usize,
    /// `queue`: requests of one class that wait; default 64.
    pub queue: usize,
    /// `answer_buffer_bytes`: bytes of answers kept for retries; default 64 MiB.
    pub answer_buffer: ByteSize,
    /// `retry_window_ms`: how long an answer is kept for retries; default 900 000.
    pub retry_window: Millis,
}

/// The settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// `[process]`, the part that both daemons share.
    pub process: Process,
    /// `[process] caller_addr`: where callers send HTTP requests. Required.
    pub caller_addr: SocketAddr,
    /// `[process] peer_addr`: where other processes send RPC calls. Required.
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

/// The settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// `[process]`, the part that both daemons share.
    pub process: Process,
    /// `[process] target`: the target beside the process. Required.
    pub target_id: TargetId,
    /// `[process] rpc_addr`: where entries send RPC calls. Required.
    /// Invariant: differs from the target's address.
    pub rpc_addr: SocketAddr,
    /// `[platform]`
    pub platform: PlatformAccess,
    /// `[access]`
    pub access: Access,
    /// `[peers]`
    pub peers: Peers,
    /// `[target]`
    pub target: Target,
    /// `[limits]`
    pub limits: SidecarLimits,
}

impl EntrySettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let (name, text) = read::file(path)?;
        Self::parse(&name, &text)
    }

    /// Reads `text`, which errors call `name`.
    ///
    /// # Errors
    /// All faults of the text.
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
                reserve: values.get("budget", "reserve_ms")?,
                idle: values.get("budget", "idle_ms")?,
                weight: values.get("budget", "weight")?,
            },
            limits: EntryLimits::from_values(values)?,
            ledger: Ledger {
                flush: values.get("ledger", "flush_ms")?,
                retry_window: values.get("ledger", "retry_window_ms")?,
            },
        })
    }

    fn check(&self, values: &Values) -> Result<(), Vec<SettingsError>> {
        let mut errors = Vec::new();
        if self.caller_addr == self.peer_addr {
            let allowed = "an address other than caller_addr";
            errors.push(values.bad("process", "peer_addr", allowed));
        }
        if self.limits.default_deadline > self.limits.max_deadline {
            let allowed = format!("at most max_deadline_ms = {}", self.limits.max_deadline);
            errors.push(values.bad("limits", "default_deadline_ms", allowed));
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }
}

impl SidecarSettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let (name, text) = read::file(path)?;
        Self::parse(&name, &text)
    }

    /// Reads `text`, which errors call `name`.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let values = Values::parse(Daemon::Sidecar, name, text)?;
        let settings = Self::from_values(&values)?;
        if settings.rpc_addr == settings.target.addr {
            let allowed = "an address other than the target's addr";
            return Err(vec![values.bad("process", "rpc_addr", allowed)]);
        }
        Ok(settings)
    }

    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            process: Process::from_values(values)?,
            target_id: values.get("process", "target")?,
            rpc_addr: values.get("process", "rpc_addr")?,
            platform: PlatformAccess::from_values(values)?,
            access: Access::from_values(values)?,
            peers: Peers::from_values(values)?,
            target: Target {
                addr: values.get("target", "addr")?,
                kind: values.get("target", "kind")?,
                checks_fencing: values.get("target", "checks_fencing")?,
                load: values.get("target", "load_ms")?,
            },
            limits: SidecarLimits {
                status_slots: values.get("limits", "status_slots")?,
                booking_slots: values.get("limits", "booking_slots")?,
                drafting_slots: values.get("limits", "drafting_slots")?,
                queue: values.get("limits", "queue")?,
                answer_buffer: values.get("limits", "answer_buffer_bytes")?,
                retry_window: values.get("limits", "retry_window_ms")?,
            },
        })
    }
}

impl Process {
    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            vm: values.get("process", "vm")?,
            zone: values.get("process", "zone")?,
            log_level: values.get("process", "log_level")?,
            metrics_addr: values.optional("process", "metrics_addr")?,
            drain_limit: values.get("process", "drain_limit_ms")?,
        })
    }
}

impl PlatformAccess {
    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            addr: values.get("platform", "addr")?,
            timeout: values.get("platform", "timeout_ms")?,
        })
    }
}

impl Access {
    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            process_key: values.get("access", "process_key")?,
        })
    }
}

impl Peers {
    fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            seeds: values.list("peers", "seeds")?,
        })
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
