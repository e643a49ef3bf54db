//! The table of all settings, from which the parser and the reference page are derived.

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

/// The values that are allowed for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowed {
    /// An id, as [`VmId`] parses it.
    Id,
    /// An IP address and a port other than 0.
    Addr,
    /// An IP address and a port to listen on; with port 0 the system chooses a free port.
    Listen,
    /// A comma-separated list of IP addresses and ports, or an empty value.
    Addrs,
    /// An integer in an inclusive range.
    Number {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// One of a fixed set of words.
    OneOf(&'static [&'static str]),
    /// A process key, which is never shown in errors.
    Secret,
}

impl Allowed {
    /// Returns true if `value`, already trimmed, is allowed.
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
            Self::Addr => f.write_str("an IP address and a port, as in `127.0.0.1:7000`"),
            Self::Listen => f.write_str(
                "an IP address and a port, as in `127.0.0.1:7000`; port 0 selects a free one",
            ),
            Self::Addrs => f.write_str("comma-separated IP addresses and ports, or empty"),
            Self::Number { min, max } => write!(f, "an integer from {min} to {max}"),
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

/// Whether a key has to be present, and what applies if it is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// A missing key is an error.
    Required,
    /// If the key is missing, the feature is disabled.
    Optional,
    /// If the key is missing, this value is used.
    Default(&'static str),
}

/// The definition of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// The daemons that read the key.
    pub daemons: &'static [Daemon],
    /// The section.
    pub section: &'static str,
    /// The key; its unit is part of the name.
    pub key: &'static str,
    /// The values that are allowed.
    pub allowed: Allowed,
    /// Whether the key has to be present.
    pub presence: Presence,
    /// The effect of the key, as one sentence for the reference page.
    pub description: &'static str,
}

/// Returns the settings that `daemon` reads, in the order of the table.
pub fn settings_of(daemon: Daemon) -> impl Iterator<Item = &'static Setting> {
    SETTINGS
        .iter()
        .filter(move |setting| setting.daemons.contains(&daemon))
}

const BOTH: &[Daemon] = &[Daemon::Entry, Daemon::Sidecar];
const ENTRY: &[Daemon] = &[Daemon::Entry];
const SIDECAR: &[Daemon] = &[Daemon::Sidecar];

/// The allowed values of `log_level`.
pub const LOG_LEVELS: &[&str] = &["trace", "debug", "info", "warn", "error", "off"];

/// Upper limit of most waits and intervals.
const TEN_MINUTES_MS: u64 = 600_000;
/// Upper limit of deadlines, retry windows, drain and idle times.
const DAY_MS: u64 = 86_400_000;
/// Upper limit of slots, connections and queue lengths.
const MAX_SLOTS: u64 = 100_000;
/// Upper limit of request bodies and buffers.
const MAX_BYTES: u64 = 1 << 30;

const MS_UP_TO_TEN_MINUTES: Allowed = Allowed::Number {
    min: 1,
    max: TEN_MINUTES_MS,
};
const MS_UP_TO_ONE_DAY: Allowed = Allowed::Number {
    min: 1,
    max: DAY_MS,
};
const SLOT_COUNT: Allowed = Allowed::Number {
    min: 1,
    max: MAX_SLOTS,
};
const BYTE_COUNT: Allowed = Allowed::Number {
    min: 1,
    max: MAX_BYTES,
};

const fn row(
    daemons: &'static [Daemon],
    (section, key): (&'static str, &'static str),
    allowed: Allowed,
    presence: Presence,
    description: &'static str,
) -> Setting {
    Setting {
        daemons,
        section,
        key,
        allowed,
        presence,
        description,
    }
}

use Presence::{Default, Optional, Required};

/// All keys of both daemons.
#[rustfmt::skip]
pub const SETTINGS: &[Setting] = &[
    row(BOTH, ("process", "vm"), Allowed::Id, Required, "The VM that the process runs on."),
    row(BOTH, ("process", "zone"), Allowed::Id, Required, "The availability zone of the VM."),
    row(ENTRY, ("process", "caller_addr"), Allowed::Listen, Required, "The listen address for HTTP requests of callers."),
    row(ENTRY, ("process", "peer_addr"), Allowed::Listen, Required, "The listen address for RPC calls of other processes."),
    row(SIDECAR, ("process", "target"), Allowed::Id, Required, "The id of the sidecar's target."),
    row(SIDECAR, ("process", "rpc_addr"), Allowed::Listen, Required, "The listen address for RPC calls of entries."),
    row(BOTH, ("process", "log_level"), Allowed::OneOf(LOG_LEVELS), Default("info"), "The least severe log level that is written."),
    row(BOTH, ("process", "metrics_addr"), Allowed::Addr, Optional, "The UDP address that receives statsd metrics."),
    row(BOTH, ("process", "drain_limit_ms"), MS_UP_TO_ONE_DAY, Default("600000"), "The longest wait for requests in flight at a graceful shutdown."),
    row(BOTH, ("platform", "addr"), Allowed::Addr, Required, "The platform's HTTP address."),
    row(BOTH, ("platform", "timeout_ms"), MS_UP_TO_TEN_MINUTES, Default("2000"), "The timeout of one platform call."),
    row(BOTH, ("access", "process_key"), Allowed::Secret, Required, "The key that all processes share."),
    row(BOTH, ("peers", "seeds"), Allowed::Addrs, Default(""), "RPC addresses of entries to contact while the platform is unavailable."),
    row(ENTRY, ("budget", "policy"), Allowed::OneOf(&["equal", "fixed", "adaptive"]), Default("adaptive"), "How the entry chooses the number of tokens that it draws in advance."),
    row(ENTRY, ("budget", "reserve_ms"), Allowed::Number { min: 0, max: TEN_MINUTES_MS }, Default("500"), "The longest wait of a request for its token reservation."),
    row(ENTRY, ("budget", "idle_ms"), MS_UP_TO_ONE_DAY, Default("30000"), "The time without requests after which the unused remainder of a grant is returned."),
    row(ENTRY, ("budget", "weight"), Allowed::Number { min: 0, max: 100 }, Default("50"), "0 keeps as few idle tokens as possible; 100 keeps the most, to avoid refusals."),
    row(ENTRY, ("limits", "max_body_bytes"), BYTE_COUNT, Default("1048576"), "The largest request body."),
    row(ENTRY, ("limits", "max_connections"), SLOT_COUNT, Default("4096"), "The maximum number of concurrent caller connections."),
    row(ENTRY, ("limits", "status_slots"), SLOT_COUNT, Default("512"), "The maximum number of status requests in flight."),
    row(ENTRY, ("limits", "booking_slots"), SLOT_COUNT, Default("128"), "The maximum number of booking requests in flight."),
    row(ENTRY, ("limits", "drafting_slots"), SLOT_COUNT, Default("512"), "The maximum number of drafting requests in flight."),
    row(ENTRY, ("limits", "queue"), SLOT_COUNT, Default("1024"), "The maximum number of queued requests per class."),
    row(ENTRY, ("limits", "default_deadline_ms"), MS_UP_TO_ONE_DAY, Default("60000"), "The deadline of a request that sets none."),
    row(ENTRY, ("limits", "max_deadline_ms"), MS_UP_TO_ONE_DAY, Default("900000"), "The longest deadline that a request may set."),
    row(ENTRY, ("ledger", "flush_ms"), MS_UP_TO_TEN_MINUTES, Default("1000"), "The interval between flushes of receipts."),
    row(ENTRY, ("ledger", "retry_window_ms"), MS_UP_TO_ONE_DAY, Default("900000"), "The longest time between the first attempt and a retry."),
    row(ENTRY, ("ledger", "vm_absence_ms"), MS_UP_TO_TEN_MINUTES, Default("30000"), "How long a VM has to be absent from the VM list before the grants of its entry are reclaimed."),
    row(SIDECAR, ("target", "addr"), Allowed::Addr, Required, "The target's HTTP address."),
    row(SIDECAR, ("target", "kind"), Allowed::OneOf(&["engine", "service"]), Required, "The kind of target."),
    row(SIDECAR, ("target", "checks_fencing"), Allowed::OneOf(&["true", "false"]), Default("false"), "Whether the target rejects orders with a stale fencing number."),
    row(SIDECAR, ("target", "load_ms"), MS_UP_TO_TEN_MINUTES, Default("500"), "The interval between reads of the target's load."),
    row(SIDECAR, ("limits", "status_slots"), SLOT_COUNT, Default("32"), "The maximum number of concurrent status requests; the configuration can lower it."),
    row(SIDECAR, ("limits", "booking_slots"), SLOT_COUNT, Default("8"), "The maximum number of concurrent booking requests; the configuration can lower it."),
    row(SIDECAR, ("limits", "drafting_slots"), SLOT_COUNT, Default("16"), "The maximum number of concurrent drafting requests; the configuration can lower it."),
    row(SIDECAR, ("limits", "queue"), SLOT_COUNT, Default("64"), "The maximum number of queued requests per class."),
    row(SIDECAR, ("limits", "answer_buffer_bytes"), BYTE_COUNT, Default("67108864"), "The maximum size of all responses kept for retries."),
    row(SIDECAR, ("limits", "retry_window_ms"), MS_UP_TO_ONE_DAY, Default("900000"), "How long a response is kept for retries."),
];
