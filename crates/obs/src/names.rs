//! The names of all metrics, without the prefix.
//!
//! A name that ends in a dot is the start of a family; what follows the dot is the name of a route
//! class, an error kind or a verdict.

/// Counter by route class and verdict: requests that have ended.
pub const REQUESTS: &str = "requests.";
/// Counter by error kind: requests that were refused or failed.
pub const REFUSED: &str = "refused.";
/// Timer by route class: from the request to the first piece of its answer.
pub const FIRST_PIECE: &str = "first_piece.";
/// Timer by route class: from the request to the end of its answer.
pub const ANSWER: &str = "answer.";
/// Gauge: requests in flight at this entry.
pub const IN_FLIGHT: &str = "in_flight";
/// Gauge by route class: requests that hold a slot of the pool.
pub const POOL_BUSY: &str = "pool_busy.";
/// Gauge by route class: requests that wait for a slot of the pool.
pub const POOL_WAITING: &str = "pool_waiting.";
/// Gauge: requests that wait for tokens.
pub const RESERVATIONS_WAITING: &str = "reservations_waiting";
/// Gauge: tokens in this entry's own grants that no request has reserved.
pub const GRANTS_IDLE: &str = "grants_idle_tokens";
/// Gauge: receipts that are in no segment yet.
pub const RECEIPTS_UNFLUSHED: &str = "receipts_unflushed";
/// Gauge: receipts in a segment that is not settled yet.
pub const RECEIPTS_UNSETTLED: &str = "receipts_unsettled";
/// Gauge: attempts whose receipt has not come yet.
pub const ATTEMPTS_OPEN: &str = "attempts_open";
/// Gauge: sidecars that answered the last heartbeat.
pub const SIDECARS_REACHABLE: &str = "sidecars_reachable";
/// Gauge: targets that get no requests because requests failed there.
pub const TARGETS_EJECTED: &str = "targets_ejected";
/// Gauge: 1 if this incarnation is fenced, else 0.
pub const FENCED: &str = "fenced";
/// Gauge: the revision of the configuration in force.
pub const CONFIG_REVISION: &str = "config_revision";
