//! Registration of processes: which incarnation of which role runs on which VM, and its address.
//!
//! The platform holds one object per role and VM. Its number increases by one with each
//! registration, so that no two starts share an [`cyc_types::Incarnation`].

pub mod contacts;
pub mod fence;
pub mod registry;

pub use contacts::Contacts;
pub use fence::Fences;
pub use registry::{Error, Member, Registration, Role, find, list, register};
