//! Service levels: how many requests were within their objectives, what is left of the error
//! budgets, and how fast they burn.
//!
//! The counts come from the segments in the platform, so the report does not need the entries
//! that served the requests.

pub mod alert;
pub mod counts;
pub mod plot;
pub mod report;
mod table;

pub use alert::Verdict;
pub use counts::Counts;
pub use plot::plot;
pub use report::{Options, Report, Row, report};
