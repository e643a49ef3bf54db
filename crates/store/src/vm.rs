//! Entries of the platform's VM list.

use std::net::IpAddr;

use cyc_types::{AvailabilityZone, VmId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// An entry of the VM list. VMs that were removed have no entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The identifier of the VM.
    pub id: VmId,
    /// The availability zone that the VM is in.
    pub zone: AvailabilityZone,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// Whether the VM is running or about to be removed.
    pub state: VmState,
}
