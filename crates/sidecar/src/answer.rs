//! The buffered answer of one run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use cyc_proto::sidecar::Frame;
use tokio::sync::watch;

/// The frames of one answer. Readers may start at any frame and wait for later ones.
#[derive(Debug)]
pub struct Answer {
    /// Invariant: no frame follows an end frame.
    frames: Mutex<Vec<Frame>>,
    /// Number of frames, which readers wait on.
    length: watch::Sender<u64>,
}

impl Default for Answer {
    fn default() -> Self {
        Self {
            frames: Mutex::default(),
            length: watch::Sender::new(0),
        }
    }
}

impl Answer {
    fn frames(&self) -> MutexGuard<'_, Vec<Frame>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a frame. A frame after the end frame is dropped.
    pub fn push(&self, frame: Frame) {
        let mut frames = self.frames();
        if frames.last().is_some_and(Frame::is_end) {
            return;
        }
        frames.push(frame);
        self.length.send_replace(frames.len() as u64);
    }

    /// Returns true if the answer ended with [`Frame::Failed`].
    pub fn is_failed(&self) -> bool {
        matches!(self.frames().last(), Some(Frame::Failed { .. }))
    }

    /// Returns false if the answer has ended without a receipt.
    pub fn is_billed(&self) -> bool {
        match self.frames().last() {
            Some(Frame::End { receipt, .. } | Frame::Failed { receipt, .. }) => receipt.is_some(),
            _ => true,
        }
    }

    /// Bytes of text in the buffer.
    pub fn bytes(&self) -> usize {
        let text = |frame: &Frame| match frame {
            Frame::Data { text, .. } => text.len(),
            _ => 0,
        };
        self.frames().iter().map(text).sum()
    }

    /// Returns the frames that have arrived so far.
    pub fn snapshot(&self) -> Vec<Frame> {
        self.frames().clone()
    }

    /// Waits for frames with index `from` or higher and returns them; empty after the end frame.
    pub async fn wait_from(&self, from: u64) -> Vec<Frame> {
        let mut length = self.length.subscribe();
        loop {
            length.mark_unchanged();
            {
                let frames = self.frames();
                let start = usize::try_from(from).unwrap_or(usize::MAX);
                if let Some(rest) = frames.get(start..).filter(|rest| !rest.is_empty()) {
                    return rest.to_vec();
                }
                if frames.last().is_some_and(Frame::is_end) {
                    return Vec::new();
                }
            }
            if length.changed().await.is_err() {
                return Vec::new();
            }
        }
    }
}
