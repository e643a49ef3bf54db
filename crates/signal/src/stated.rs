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

/// Reads a pause from all its values in an answer: one non-negative number of seconds. Of several
/// values the longest counts; anything else, such as a date, is replaced by [`UNREADABLE_PAUSE`], and
/// numbers above [`MAX_PAUSE`] by that.
pub fn pause<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Reading<Millis> {
    let values: Vec<Option<f64>> = values.into_iter().map(seconds).collect();
    let longest = values.iter().flatten().copied().reduce(f64::max);
    let max_seconds = MAX_PAUSE.get() as f64 / 1_000.0;
    match (longest, values.len()) {
        (_, 0) => Reading::Absent,
        (None, _) => Reading::Replaced(UNREADABLE_PAUSE),
        (Some(seconds), _) if seconds > max_seconds => Reading::Replaced(MAX_PAUSE),
        (Some(seconds), 1) => Reading::Exact(millis(seconds)),
        (Some(seconds), _) => Reading::Replaced(millis(seconds)),
    }
}

fn millis(seconds: f64) -> Millis {
    Millis::new((seconds * 1_000.0).ceil() as u64)
}

fn seconds(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    // The names of non-finite numbers are no numbers of seconds.
    let is_number = text.starts_with(|first: char| first.is_ascii_digit() || first == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_number)?;
    (seconds >= 0.0).then_some(seconds)
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
