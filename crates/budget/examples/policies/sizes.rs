//! The sizes of the load.

/// One size.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Its name.
    pub name: &'static str,
    /// Requests a second over all accounts: one for each writing engine.
    pub rate: u64,
    /// Entries.
    pub entries: usize,
    /// Each account's part of the requests, in percent.
    pub accounts: &'static [u64],
}

/// Ten accounts, three of them large.
const ACCOUNTS: &[u64] = &[20, 20, 20, 6, 6, 6, 6, 6, 5, 5];

/// A dozen writing engines.
pub const DALA: Size = Size {
    name: "Dala",
    rate: 12,
    entries: 3,
    accounts: ACCOUNTS,
};

/// Twenty assistant engines.
pub const HANBIT: Size = Size {
    name: "Hanbit",
    rate: 20,
    entries: 3,
    accounts: ACCOUNTS,
};
