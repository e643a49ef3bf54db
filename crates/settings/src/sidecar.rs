//! The settings of a sidecar.

use std::{net::SocketAddr, path::Path};

use cyc_types::{ByteSize, Millis, TargetId};
use strum::{Display, EnumString};

use crate::{
    error::SettingsError,
    read::{self, Values},
    shared::{Access, Peers, PlatformAccess, Process},
    table::Daemon,
};

/// The kind of a sidecar's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
}

/// `[target]` of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// `addr`: the target's HTTP address. Required.
    pub addr: SocketAddr,
    /// `kind`: the kind of target. Required.
    pub kind: TargetKind,
    /// `checks_fencing`: whether the target rejects orders with a stale fencing number; default
    /// false.
    pub checks_fencing: bool,
    /// `load_ms`: the interval between reads of the target's load; default 500.
    pub load_interval: Millis,
}

/// `[limits]` of a sidecar.
///
/// The effective slots of a class are the smaller of the value here and the one in the
/// configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarLimits {
    /// `status_slots`: the maximum number of concurrent status requests; default 32.
    pub status_slots: usize,
    /// `booking_slots`: the maximum number of concurrent booking requests; default 8.
    pub booking_slots: usize,
    /// `drafting_slots`: the maximum number of concurrent drafting requests; default 16.
    pub drafting_slots: usize,
    /// `queue`: the maximum number of queued requests per class; default 64.
    pub queue: usize,
    /// `answer_buffer_bytes`: the maximum size of all responses kept for retries; default 64 MiB.
    pub answer_buffer: ByteSize,
    /// `retry_window_ms`: how long a response is kept for retries; default 900 000.
    pub retry_window: Millis,
}

/// The settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// `[process]`, the keys that both daemons read.
    pub process: Process,
    /// `[process] target`: the id of the sidecar's target. Required.
    pub target_id: TargetId,
    /// `[process] rpc_addr`: the listen address for RPC calls of entries. Required.
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

impl SidecarSettings {
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
        let values = Values::parse(Daemon::Sidecar, name, text)?;
        let settings = Self::from_values(&values)?;
        if settings.rpc_addr == settings.target.addr {
            let allowed = "an address other than the target's addr";
            return Err(vec![values.bad_value("process", "rpc_addr", allowed)]);
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
                load_interval: values.get("target", "load_ms")?,
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
