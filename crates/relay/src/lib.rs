//! Store relays: processes on the VMs of targets through which entries reach the store.
//!
//! An entry that is cut off from the store usually still reaches the VMs of the targets, and these
//! the store. A relay forwards the entry's calls. It also watches the configuration and the list of
//! targets once for all entries that ask it, and writes their heartbeats together, so that the
//! calls to the store do not grow with the number of entries.
//!
//! Modules that decide without I/O: [`path`] selects the path of a call, [`feed`] keeps what a
//! relay has read, and [`roster`] the heartbeats of its entries. [`message`] has the messages
//! between entries and relays, [`client`] the entry's side, [`paths`] all paths of an entry
//! together, and [`daemon`] the process.

pub mod client;
pub mod daemon;
pub mod feed;
mod handle;
pub mod message;
pub mod path;
pub mod paths;
pub mod roster;

pub use daemon::{Settings, run, serve_entries};
