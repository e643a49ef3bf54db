//! The names of all metrics, without [`crate::metrics::PREFIX`].
//!
//! A name that ends in a dot is a prefix: a route class, an error kind or a verdict is appended.
//! The gateway appends the outcome of the request to [`REQUESTS`] and [`ANSWER`] instead.

/// Counter by route class and verdict: finished requests.
pub const REQUESTS: &str = "requests.";
/// Counter by error kind: requests that were refused or failed.
pub const REFUSED: &str = "refused.";
/// Timer by route class: time from the request to the first chunk of its response.
pub const FIRST_PIECE: &str = "first_piece.";
/// Timer by route class: time from the request to the end of its response.
pub const ANSWER: &str = "answer.";
/// Gauge: requests in flight in this entry.
pub const IN_FLIGHT: &str = "in_flight";
/// Gauge by route class: occupied slots of the pool.
pub const POOL_BUSY: &str = "pool_busy.";
/// Gauge by route class: requests queued for a slot of the pool.
pub const POOL_WAITING: &str = "pool_waiting.";
/// Gauge: requests waiting for a reservation of tokens.
pub const RESERVATIONS_WAITING: &str = "reservations_waiting";
/// Gauge: unreserved tokens in this entry's own grants.
pub const GRANTS_IDLE: &str = "grants_idle_tokens";
/// Gauge: receipts not yet written to a segment.
pub const RECEIPTS_UNFLUSHED: &str = "receipts_unflushed";
/// Gauge: receipts in segments that are not settled yet.
pub const RECEIPTS_UNSETTLED: &str = "receipts_unsettled";
/// Gauge: attempts whose receipt has not arrived yet.
pub const ATTEMPTS_OPEN: &str = "attempts_open";
/// Gauge: sidecars that responded to the last heartbeat.
pub const SIDECARS_REACHABLE: &str = "sidecars_reachable";
/// Gauge: targets ejected from routing after failed requests.
pub const TARGETS_EJECTED: &str = "targets_ejected";
/// Gauge: 1 if this incarnation is fenced, else 0.
pub const FENCED: &str = "fenced";
/// Gauge: the revision of the configuration in force.
pub const CONFIG_REVISION: &str = "config_revision";
/// Gauge: the newest era of the store that this process knows.
pub const STORE_ERA: &str = "store_era";
/// Counter: how often the store came back from an older copy, as far as this process knows.
pub const STORE_RESTORES: &str = "store_restores";
/// Counter by kind: calls that a store relay makes to the store for all its entries.
pub const STORE_CALLS: &str = "store_calls.";
/// Counter by kind: calls of entries to a store relay.
pub const RELAY_CALLS: &str = "relay_calls.";
/// Counter: targets that ended under requests of this process.
pub const TARGETS_CRASHED: &str = "targets_crashed";
/// Counter by kind: objects of the store that could not be read, each time that they were.
pub const OBJECTS_UNREADABLE: &str = "store_objects_unreadable.";
/// Counter: requests that were not sent to a target because of the limit that it names.
pub const LIMIT_DENIALS: &str = "limit_denials";
/// Counter: targets that became cold, as far as this process knows.
pub const TARGETS_COLD: &str = "targets_cold";
/// Counter: evacuations of availability zones that this process has followed.
pub const ZONES_EVACUATED: &str = "zones_evacuated";
/// Counter: evacuations that have ended.
pub const ZONES_RETURNED: &str = "zones_returned";
/// Counter: requests granted to cold targets.
pub const COLD_GRANTS: &str = "cold_grants";
/// Counter: requests that were not sent to a target because it is cold.
pub const COLD_DENIALS: &str = "cold_denials";
/// Counter: targets that said, to this entry or another one, that they leave.
pub const TARGETS_LEAVING: &str = "targets_leaving";
/// Counter: answers in which targets wanted no requests for a while.
pub const TARGET_PAUSES: &str = "target_pauses";
/// Counter: requests not sent to their target after it was chosen, because of what it had announced
/// meanwhile.
pub const SENDS_WITHHELD: &str = "sends_withheld";
/// Gauge by service: expected work at the busiest target, in percent of the mean.
pub const LOAD_BUSIEST: &str = "load_busiest_percent.";
/// Gauge by service: mean age of the last load reports of the targets, in ms.
pub const LOAD_REPORT_AGE: &str = "load_report_age_ms.";
/// Counter prefix: writes of prepaid records whose response was lost, by the outcome that the
/// record shows.
pub const PREPAID_WRITES_RESOLVED: &str = "prepaid_writes_resolved.";
/// Counter: prepaid records to which this entry has added writes that the store had lost.
pub const PREPAID_RECORDS_RECOVERED: &str = "prepaid_records_recovered";
/// Gauge: accounts of this entry that soon run out of prepaid tokens.
pub const PREPAID_SHORT_ACCOUNTS: &str = "prepaid_short_accounts";
/// Counter: loans of an account that runs short, one request at a time.
pub const PREPAID_LAST_LOANS: &str = "prepaid_last_loans";
/// Counter: overloads of this entry by its callers.
pub const ENTRY_OVERLOADS: &str = "entry_overloads";
/// Counter: how often this entry left the rotation because of an overload.
pub const ENTRY_ABSENCES: &str = "entry_absences";
/// Counter: requests refused because the link of this entry is full.
pub const OVERLOAD_REFUSALS: &str = "overload_refusals";
/// Counter: connections of callers closed because the link of this entry is full.
pub const OVERLOAD_CLOSES: &str = "overload_closes";
