//! Reads the frames of an answer from a sidecar: each frame once, in order and without gaps.

use std::fmt;

use cyc_proto::{
    Link, LinkError,
    sidecar::{AnswerFrom, Chunk, Frame, SidecarClient as _},
};
use cyc_types::{Millis, RequestId};
use jsonrpsee::core::client::Subscription;

/// Wait before a closed subscription is opened again.
const RESUBSCRIBE_DELAY: Millis = Millis::new(50);

/// Why reading an answer stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The sidecar does not have the answer, or has only that of a later run.
    NotFound,
    /// The connection failed; the answer may still be there.
    ConnectionLost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("the sidecar does not have the answer"),
            Self::ConnectionLost(why) => write!(f, "the connection to the sidecar failed: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads one answer from one sidecar.
#[derive(Debug)]
pub struct Reader {
    request: RequestId,
    /// Sequence number of the next frame. Invariant: every frame below it was returned once, in
    /// order.
    next: u64,
    /// The run that the frames belong to; `None` before the first frame.
    run: Option<u64>,
    subscription: Option<Subscription<Chunk>>,
}

impl Reader {
    /// Creates a reader positioned at the first frame.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            next: 0,
            run: None,
            subscription: None,
        }
    }

    /// Returns the number of frames read so far.
    pub fn frames_read(&self) -> u64 {
        self.next
    }

    /// Waits for the next frames. After [`Error::ConnectionLost`] the reader can be used again and
    /// continues where it stopped.
    ///
    /// # Errors
    /// [`Error::NotFound`] if the sidecar does not have the answer, [`Error::ConnectionLost`] if it
    /// cannot be reached.
    pub async fn next(&mut self, link: &Link) -> Result<Vec<Frame>, Error> {
        loop {
            if self.subscription.is_none() {
                self.subscription = Some(self.subscribe(link).await?);
            }
            let Some(subscription) = self.subscription.as_mut() else {
                continue;
            };
            match subscription.next().await {
                Some(Ok(chunk)) => match self.accept(chunk)? {
                    Some(frames) if !frames.is_empty() => return Ok(frames),
                    Some(_) => {}
                    None => self.subscription = None,
                },
                // The client closes a subscription whose reader is too slow; the sidecar still has
                // the frames.
                Some(Err(_)) | None => {
                    self.subscription = None;
                    tokio::time::sleep(RESUBSCRIBE_DELAY.duration()).await;
                    link.client().await.map_err(connection_lost)?;
                }
            }
        }
    }

    async fn subscribe(&self, link: &Link) -> Result<Subscription<Chunk>, Error> {
        let client = link.client().await.map_err(connection_lost)?;
        let from = AnswerFrom {
            request: self.request,
            from: self.next,
        };
        client
            .answer(from)
            .await
            .map_err(|error| match LinkError::from(error) {
                LinkError::Refused(_) => Error::NotFound,
                other => connection_lost(other),
            })
    }

    /// Returns the frames of a chunk that were not read yet; `None` if the chunk leaves a gap or
    /// belongs to another request.
    ///
    /// # Errors
    /// [`Error::NotFound`] if the chunk belongs to a later run of the request: the frames read so
    /// far cannot be continued.
    pub fn accept(&mut self, chunk: Chunk) -> Result<Option<Vec<Frame>>, Error> {
        if chunk.request != self.request || chunk.first > self.next {
            return Ok(None);
        }
        if *self.run.get_or_insert(chunk.run) != chunk.run {
            return Err(Error::NotFound);
        }
        let known = usize::try_from(self.next - chunk.first).unwrap_or(usize::MAX);
        let frames: Vec<Frame> = chunk.frames.into_iter().skip(known).collect();
        self.next += frames.len() as u64;
        Ok(Some(frames))
    }
}

fn connection_lost(error: LinkError) -> Error {
    Error::ConnectionLost(error.to_string())
}
