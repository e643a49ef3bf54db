//! Tests of the sidecar's memory of runs and answers, and of its messages.

mod sidecar {
    mod answer;
    mod messages;
    mod table;
}
