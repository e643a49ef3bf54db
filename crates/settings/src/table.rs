//! The table of all settings.

use std::{fmt, net::SocketAddr};

use cyc_types::{ProcessKey, VmId, key::MIN_PROCESS_KEY_CHARS};
use strum::Display;

/// The daemons that read settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Daemon {
    /// The entry.
    Entry,
    /// The sidecar.
    Sidecar,
}

/// The values that a key allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowed {
    /// An id.
    Id,
    /// An IP number and a port.
    Addr,
    /// An IP number and a port to listen on; port 0 takes a free one.
    Listen,
    /// IP numbers and ports with commas between them, or nothing.
    Addrs,
    /// A whole number in a range, both ends included.
    Number {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// One of a few words.
    OneOf(&'static [&'static str]),
    /// A process key, which is never shown in errors.
    Secret,
}

impl Allowed {
    /// Returns true if `value` is allowed.
    pub fn accepts(&self, value: &str) -> bool {
        match self {
            Self::Id => value.parse::<VmId>().is_ok(),
            Self::Listen => value.parse::<SocketAddr>().is_ok(),
            Self::Addr => value
                .parse::<SocketAddr>()
                .is_ok_and(|addr| addr.port() != 0),
            Self::Addrs => {
                value.is_empty() || value.split(',').all(|addr| Self::Addr.accepts(addr.trim()))
            }
            Self::Number { min, max } => value
                .parse::<u64>()
                .is_ok_and(|number| (*min..=*max).contains(&number)),
            Self::OneOf(words) => words.contains(&value),
            Self::Secret => value.parse::<ProcessKey>().is_ok(),
        }
    }
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id => f.write_str("1 to 128 letters, digits, `-`, `_`, `.` or `:`"),
            Self::Addr => f.write_str("an IP number and a port, as in `127.0.0.1:7000`"),
            Self::Listen => f.write_str(
                "an IP number and a port, as in `127.0.0.1:7000`; port 0 takes a free one",
            ),
            Self::Addrs => f.write_str("IP numbers and ports with commas between them, or empty"),
            Self::Number { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::OneOf(words) => f.write_str(&words.join(" | ")),
            Self::Secret => {
                write!(
                    f,
                    "at least {MIN_PROCESS_KEY_CHARS} visible ASCII characters"
                )
            }
        }
    }
}

/// What happens if a key is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// An error.
    Required,
    /// The feature is off.
    Optional,
    /// This value is used.
    Default(&'static str),
}

/// One key of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// The daemons that read the key.
    pub daemons: &'static [Daemon],
    /// The section.
    pub section: &'static str,
    /// The key; its unit is part of the name.
    pub key: &'static str,
    /// The values that it allows.
    pub allowed: Allowed,
    /// What happens if it is missing.
    pub need: Need,
    /// What it does, in one line.
    pub about: &'static str,
}

/// Returns the settings that `daemon` reads.
pub fn of(daemon: Daemon) -> impl Iterator<Item = &'static Setting> {
    SETTINGS
        .iter()
        .filter(move |setting| setting.daemons.contains(&daemon))
}

const BOTH: &[Daemon] = &[Daemon::Entry, Daemon::Sidecar];
const ENTRY: &[Daemon] = &[Daemon::Entry];
const SIDECAR: &[Daemon] = &[Daemon::Sidecar];

/// The words for `log_level`.
pub const LOG_LEVELS: &[&str] = &["trace", "debug", "info", "warn", "error", "off"];

/// Ten minutes in milliseconds, the limit of most waits.
const TEN_MINUTES_MS: u64 = 600_000;
/// One day in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The largest pool or queue.
const MAX_SLOTS: u64 = 100_000;
/// The largest body or buffer in bytes.
const MAX_BYTES: u64 = 1 << 30;

const WAIT_MS: Allowed = Allowed::Number {
    min: 1,
    max: TEN_MINUTES_MS,
};
const LONG_MS: Allowed = Allowed::Number {
    min: 1,
    max: DAY_MS,
};
const SLOTS: Allowed = Allowed::Number {
    min: 1,
    max: MAX_SLOTS,
};
const BYTES: Allowed = Allowed::Number {
    min: 1,
    max: MAX_BYTES,
};

const fn row(
    daemons: &'static [Daemon],
    (section, key): (&'static str, &'static str),
    allowed: Allowed,
    need: Need,
    about: &'static str,
) -> Setting {
    Setting {
        daemons,
        section,
        key,
        allowed,
        need,
        about,
    }
}

use Need::{Default, Optional, Required};

/// Every key of both daemons.
#[rustfmt::skip]
pub const SETTINGS: &[Setting] = &[
    row(BOTH, ("process", "vm"), Allowed::Id, Required, "The VM that the process runs on."),
    row(BOTH, ("process", "zone"), Allowed::Id, Required, "The availability zone of the VM."),
    row(ENTRY, ("process", "caller_addr"), Allowed::Listen, Required, "Where callers send HTTP requests."),
    row(ENTRY, ("process", "peer_addr"), Allowed::Listen, Required, "Where other processes send RPC calls."),
    row(SIDECAR, ("process", "target"), Allowed::Id, Required, "The target beside the process."),
    row(SIDECAR, ("process", "rpc_addr"), Allowed::Listen, Required, "Where entries send RPC calls."),
    row(BOTH, ("process", "log_level"), Allowed::OneOf(LOG_LEVELS), Default("info"), "The least severe level that is logged."),
    row(BOTH, ("process", "metrics_addr"), Allowed::Addr, Optional, "Where statsd metrics go, over UDP."),
    row(BOTH, ("process", "drain_limit_ms"), LONG_MS, Default("600000"), "How long a graceful shutdown may wait for requests in flight."),
    row(BOTH, ("platform", "addr"), Allowed::Addr, Required, "The platform's HTTP address."),
    row(BOTH, ("platform", "timeout_ms"), WAIT_MS, Default("2000"), "Timeout of one platform call."),
    row(BOTH, ("access", "process_key"), Allowed::Secret, Required, "The key that all processes share."),
    row(BOTH, ("peers", "seeds"), Allowed::Addrs, Default(""), "RPC addresses of entries to ask while the platform is out."),
    row(ENTRY, ("budget", "policy"), Allowed::OneOf(&["equal", "fixed", "adaptive"]), Default("adaptive"), "How many tokens the entry draws in advance."),
    row(ENTRY, ("budget", "reserve_ms"), Allowed::Number { min: 0, max: TEN_MINUTES_MS }, Default("500"), "How long a request waits for tokens."),
    row(ENTRY, ("budget", "idle_ms"), LONG_MS, Default("30000"), "After how long without requests the idle remainder of a grant returns."),
    row(ENTRY, ("budget", "weight"), Allowed::Number { min: 0, max: 100 }, Default("50"), "0 keeps as few idle tokens as possible; 100 keeps the most, to avoid refusals."),
    row(ENTRY, ("limits", "max_body_bytes"), BYTES, Default("1048576"), "The largest request body."),
    row(ENTRY, ("limits", "max_connections"), SLOTS, Default("4096"), "Caller connections at a time."),
    row(ENTRY, ("limits", "status_slots"), SLOTS, Default("512"), "Status requests in flight."),
    row(ENTRY, ("limits", "booking_slots"), SLOTS, Default("128"), "Booking requests in flight."),
    row(ENTRY, ("limits", "drafting_slots"), SLOTS, Default("512"), "Drafting requests in flight."),
    row(ENTRY, ("limits", "queue"), SLOTS, Default("1024"), "Requests of one class that wait."),
    row(ENTRY, ("limits", "default_deadline_ms"), LONG_MS, Default("60000"), "Deadline of a request that names none."),
    row(ENTRY, ("limits", "max_deadline_ms"), LONG_MS, Default("900000"), "The longest deadline that a request may name."),
    row(ENTRY, ("ledger", "flush_ms"), WAIT_MS, Default("1000"), "Time between flushes of receipts."),
    row(ENTRY, ("ledger", "retry_window_ms"), LONG_MS, Default("900000"), "How long a retry may come after the first attempt."),
    row(ENTRY, ("ledger", "vm_absence_ms"), WAIT_MS, Default("30000"), "How long the VM list leaves out a VM before its entry's grants are reclaimed."),
    row(SIDECAR, ("target", "addr"), Allowed::Addr, Required, "The target's HTTP address."),
    row(SIDECAR, ("target", "kind"), Allowed::OneOf(&["engine", "service"]), Required, "What the target is."),
    row(SIDECAR, ("target", "checks_fencing"), Allowed::OneOf(&["true", "false"]), Default("false"), "Whether the target refuses orders with an old fencing number."),
    row(SIDECAR, ("target", "load_ms"), WAIT_MS, Default("500"), "Time between reads of the target's load."),
    row(SIDECAR, ("limits", "status_slots"), SLOTS, Default("32"), "Status requests that run at a time, unless the configuration gives fewer."),
    row(SIDECAR, ("limits", "booking_slots"), SLOTS, Default("8"), "Booking requests that run at a time, unless the configuration gives fewer."),
    row(SIDECAR, ("limits", "drafting_slots"), SLOTS, Default("16"), "Drafting requests that run at a time, unless the configuration gives fewer."),
    row(SIDECAR, ("limits", "queue"), SLOTS, Default("64"), "Requests of one class that wait."),
    row(SIDECAR, ("limits", "answer_buffer_bytes"), BYTES, Default("67108864"), "Bytes of answers that are kept for retries."),
    row(SIDECAR, ("limits", "retry_window_ms"), LONG_MS, Default("900000"), "How long an answer is kept for retries."),
];
