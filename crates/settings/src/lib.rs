//! INI settings of the two daemons.
//!
//! The table [`SETTINGS`] lists every section and key with its allowed values and its default. The
//! parser and the reference page for operators are derived from it. All errors of a file are
//! reported together, each with the file, the section, the key, the value and the allowed values.

pub mod entry;
pub mod error;
mod read;
pub mod reference;
pub mod shared;
pub mod sidecar;
pub mod table;

pub use entry::{Budget, EntryLimits, EntrySettings, GrantPolicy, Ledger};
pub use error::{SettingsError, SettingsErrorKind};
pub use shared::{Access, LogLevel, Peers, PlatformAccess, Process};
pub use sidecar::{SidecarLimits, SidecarSettings, Target, TargetKind};
pub use table::{Allowed, Daemon, Presence, SETTINGS, Setting};
