//! The ledger: segments of receipts, the merge of duplicates, reclaim of the grants of processes
//! that are gone, and the spend report.

pub mod flush;
pub mod segment;

pub use flush::{Billed, Flusher, Ledger};
pub use segment::{RefusalCount, Segment};
