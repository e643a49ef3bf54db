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

/// What a sidecar's target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
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
///
/// The slots in force are the smaller of these and of those that the configuration gives the
/// target.
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
