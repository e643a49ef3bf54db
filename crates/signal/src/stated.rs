//! What one answer of a target says.

use cyc_types::Millis;

/// Longest pause that a target gets. A target that wants a longer one gets one request each time the
/// pause ends, and a faulty value does not take it out of use for good.
pub const MAX_PAUSE: Millis = Millis::new(300_000);
/// Pause of a target that asks for one that cannot be read.
pub const UNREADABLE_PAUSE: Millis = Millis::SECOND;

/// What one answer of a target says about the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// The target leaves.
    pub is_leaving: bool,
    /// How long the target wants no requests from this entry.
    pub pause: Option<Millis>,
}

impl Signals {
    /// Returns true if the answer says nothing about the target.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How a statement was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading<T> {
    /// The target says nothing.
    Absent,
    /// The target says this.
    Exact(T),
    /// The target says something that is out of bounds or cannot be read; this is used in its place.
    Replaced(T),
}

/// Reads a pause from all its values in an answer: one decimal number of seconds without sign or
/// exponent. Several values, dates and anything else are replaced by [`UNREADABLE_PAUSE`], and numbers
/// above [`MAX_PAUSE`] by that.
pub fn pause<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Reading<Millis> {
    let mut values = values.into_iter();
    let Some(value) = values.next() else {
        return Reading::Absent;
    };
    let is_repeated = values.next().is_some();
    match seconds(value).filter(|_| !is_repeated) {
        None => Reading::Replaced(UNREADABLE_PAUSE),
        Some(seconds) if seconds * 1_000.0 > MAX_PAUSE.get() as f64 => Reading::Replaced(MAX_PAUSE),
        Some(seconds) => Reading::Exact(Millis::new((seconds * 1_000.0).ceil() as u64)),
    }
}

fn seconds(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}

/// Reads from all values in an answer whether the target leaves: `1` if it does. A target that says
/// anything else is taken to stay.
pub fn leaving<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Reading<bool> {
    let mut reading = Reading::Absent;
    for value in values {
        match value.trim_ascii() {
            b"1" => return Reading::Exact(true),
            b"0" if reading == Reading::Absent => reading = Reading::Exact(false),
            b"0" => {}
            _ => reading = Reading::Replaced(false),
        }
    }
    reading
}
