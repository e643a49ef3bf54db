//! The sizes of the load.

/// Size of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name in the table.
    pub name: &'static str,
    /// Requests per second over all accounts: one for each engine.
    pub requests_per_second: u64,
    /// Number of entries.
    pub entries: usize,
    /// Share of the requests of each account, in percent.
    pub account_percents: &'static [u64],
}

/// Ten accounts, three of them large.
const ACCOUNT_PERCENTS: &[u64] = &[20, 20, 20, 6, 6, 6, 6, 6, 5, 5];

/// A dozen writing engines.
pub const DALA: Size = Size {
    name: "Dala",
    requests_per_second: 12,
    entries: 3,
    account_percents: ACCOUNT_PERCENTS,
};

/// Twenty assistant engines.
pub const HANBIT: Size = Size {
    name: "Hanbit",
    requests_per_second: 20,
    entries: 3,
    account_percents: ACCOUNT_PERCENTS,
};
