//! INI settings of the two daemons.
//!
//! The table [`SETTINGS`] lists every section and key with its allowed values and its default.
//! It drives the reader and the reference for operators. All faults of a file are reported
//! together, each with the file, the section, the key, the value and what is allowed.

pub mod error;
pub mod model;
mod read;
pub mod table;

pub use error::{Fault, SettingsError};
pub use model::{
    Access, Budget, EntryLimits, EntrySettings, GrantPolicy, Ledger, LogLevel, Peers,
    PlatformAccess, Process, ProcessKey, SidecarLimits, SidecarSettings, Target, TargetKind,
};
pub use table::{Allowed, Daemon, Need, SETTINGS, Setting};
