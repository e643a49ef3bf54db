//! The ledger: writes receipts to segments, credits requests that were billed twice, reclaims the
//! grants of replaced or terminated entries, and computes the spend report.

pub mod evidence;
pub mod flush;
pub mod level;
pub mod merge;
pub mod month;
pub mod read;
pub mod reclaim;
pub mod report;
pub mod segment;

pub use evidence::{Evidence, Reason, Unresolved};
pub use flush::{Billed, Flusher, Ledger};
pub use level::{LevelCount, Series};
pub use merge::{MergeRecord, merge};
pub use reclaim::{Reclaimer, Sidecars};
pub use report::{Report, report};
pub use segment::{RefusalCount, Segment};
