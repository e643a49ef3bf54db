//! Tests of the sidecar's run table, answer buffer and messages.

mod sidecar {
    mod answer;
    mod messages;
    mod table;
}
