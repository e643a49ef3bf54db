//! Tests of store relays: decisions without a network, and calls over loopback.

#[path = "relay/calls.rs"]
mod calls;
#[path = "relay/feed.rs"]
mod feed;
#[path = "relay/path.rs"]
mod path;
#[path = "relay/roster.rs"]
mod roster;
#[path = "relay/standin.rs"]
mod standin;
