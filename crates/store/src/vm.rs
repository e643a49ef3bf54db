//! The VM list.

use std::net::IpAddr;

use cyc_types::{AvailabilityZone, VmId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The state of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be taken away.
    Leaving,
}

/// One row of the VM list. A VM that is gone has no row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub id: VmId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Its IP number.
    pub ip: IpAddr,
    /// Its state.
    pub state: VmState,
}
