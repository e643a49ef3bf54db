//! INI settings of the two daemons.
//!
//! The table [`SETTINGS`] lists every section and key with its allowed values and its default.
//! It drives the reader and the reference for operators. All faults of a file are reported
//! together, each with the file, the section, the key, the value and what is allowed.

pub mod entry;
pub mod error;
mod read;
pub mod reference;
pub mod shared;
pub mod sidecar;
pub mod table;

pub use entry::{Budget, EntryLimits, EntrySettings, GrantPolicy, Ledger};
pub use error::{Fault, SettingsError};
pub use shared::{Access, LogLevel, Peers, PlatformAccess, Process};
pub use sidecar::{SidecarLimits, SidecarSettings, Target, TargetKind};
pub use table::{Allowed, Daemon, Need, SETTINGS, Setting};
