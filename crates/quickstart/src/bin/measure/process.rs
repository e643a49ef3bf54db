//! Memory and CPU time of processes, as the kernel counts them.

use std::fs;

/// Milliseconds of one clock tick of `/proc/<pid>/stat`.
const TICK_MS: u64 = 10;
/// Position of the user time after the closing parenthesis of the program's name.
const USER_TIME_FIELD: usize = 11;

/// What a process uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Resident memory.
    pub rss_kib: u64,
    /// CPU time since the start, user and system.
    pub cpu_ms: u64,
}

/// Reads what process `id` uses; zero for what cannot be read.
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

/// Describes the machine.
pub fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mib = field_of("/proc/meminfo", "MemTotal:").unwrap_or_default() / 1_024;
    format!("{cores} cores, {mib} MiB")
}
