//! Service level reports: requests within their objectives, remaining error budgets, burn rates
//! and the alerts that follow from them.
//!
//! The counts are read from the segments in the platform, so a report does not depend on the
//! entries that served the requests.

pub mod alert;
pub mod counts;
pub mod plot;
pub mod report;
mod table;

pub use alert::Verdict;
pub use counts::Counts;
pub use plot::plot;
pub use report::{Options, Report, Row, report};
