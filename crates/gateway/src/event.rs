//! Splits a byte stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a longer one is an error of the target.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Why a byte stream cannot be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes of `buf` that are known to contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes received from the target.
    ///
    /// # Errors
    /// [`Error::TooLong`].
    pub fn push(&mut self, data: &[u8]) -> Result<(), Error> {
        if self.buf.len() + data.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLong);
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn pop(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = find_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns true if no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for index in start..self.buf.len() {
            let rest = &self.buf[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(index + 3);
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn find_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
