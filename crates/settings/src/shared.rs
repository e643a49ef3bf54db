//! Settings that the entry and the sidecar have in common.

use std::net::SocketAddr;

use cyc_types::{AvailabilityZone, Millis, ProcessKey, VmId};
use strum::{Display, EnumString};

use crate::{error::SettingsError, read::Values};

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// All messages.
    Trace,
    /// Steps inside a request.
    Debug,
    /// State changes.
    Info,
    /// Errors that the process handles.
    Warn,
    /// Errors that need an operator.
    Error,
    /// No messages.
    Off,
}

/// The keys of `[process]` that both daemons read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// `vm`: the VM that the process runs on. Required.
    pub vm: VmId,
    /// `zone`: the availability zone of the VM. Required.
    pub zone: AvailabilityZone,
    /// `log_level`: the least severe level that is written; default `info`.
    pub log_level: LogLevel,
    /// `metrics_addr`: the UDP address that receives statsd metrics; disabled by default. A sidecar
    /// sends no metrics.
    pub metrics_addr: Option<SocketAddr>,
    /// `drain_limit_ms`: the longest wait for requests in flight at a graceful shutdown; default
    /// 600 000.
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
    /// `seeds`: RPC addresses of entries to contact while the platform is unavailable; empty by
    /// default. A sidecar does not use them.
    pub seeds: Vec<SocketAddr>,
}

impl Process {
    pub(crate) fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
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
    pub(crate) fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            addr: values.get("platform", "addr")?,
            timeout: values.get("platform", "timeout_ms")?,
        })
    }
}

impl Access {
    pub(crate) fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            process_key: values.get("access", "process_key")?,
        })
    }
}

impl Peers {
    pub(crate) fn from_values(values: &Values) -> Result<Self, Vec<SettingsError>> {
        Ok(Self {
            seeds: values.list("peers", "seeds")?,
        })
    }
}
