//! What targets announce about themselves in their answers: that they leave, and that they want no
//! requests for a while. This crate does no I/O and has no clock of its own.
//!
//! [`stated`] reads what one answer says, [`Announcement`] is what follows for one target, and
//! [`service_wait`] what follows for a service. [`Retained`] keeps announcements of targets whose
//! registration comes and goes. [`KnownLeaving`] is the list of leaving targets that entries tell
//! each other. The type parameter `K` identifies one run of a target.

mod announcement;
mod leaving;
mod retained;
pub mod stated;
mod wait;

pub use announcement::{Announcement, Standing};
pub use leaving::{KnownLeaving, LEAVING_TTL, LeavingReport, MAX_KNOWN_LEAVING};
pub use retained::{MAX_RETAINED, RETAIN_TIME, Retained};
pub use stated::Signals;
pub use wait::{ServiceWait, service_wait};
