//! Memory and CPU time of processes, read from `/proc`.

use std::fs;

/// Length of a clock tick in `/proc/<pid>/stat`.
const TICK_MS: u64 = 10;
/// Index of the user time among the fields after the program's name in parentheses.
const USER_TIME_FIELD: usize = 11;

/// Resource use of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Resident set size.
    pub rss_kib: u64,
    /// User and system CPU time since the process started, with a resolution of 10 ms.
    pub cpu_ms: u64,
}

/// Resource use of the process `id`; values that cannot be read are zero.
pub fn usage(id: u32) -> Usage {
    Usage {
        rss_kib: field_of(&format!("/proc/{id}/status"), "VmRSS:").unwrap_or_default(),
        cpu_ms: cpu_ms(id).unwrap_or_default(),
    }
}

fn cpu_ms(id: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn field_of(path: &str, name: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Cores and memory of the machine.
pub fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mib = field_of("/proc/meminfo", "MemTotal:").unwrap_or_default() / 1_024;
    format!("{cores} cores, {mib} MiB")
}
