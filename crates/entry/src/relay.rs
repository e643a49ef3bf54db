//! Reading an answer from a sidecar: whole, in order, and once.

use std::fmt;

use cyc_proto::{
    Link, LinkError,
    sidecar::{AnswerFrom, Chunk, Frame, SidecarClient as _},
};
use cyc_types::{Millis, RequestId};
use jsonrpsee::core::client::Subscription;

/// How long one attempt to read on may take before the next.
const RESUBSCRIBE_WAIT: Millis = Millis::new(50);

/// Why an answer cannot be read on from a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The sidecar does not have the answer.
    Gone,
    /// The connection failed; the answer may still be there.
    Lost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone => f.write_str("the sidecar does not have the answer"),
            Self::Lost(why) => write!(f, "the connection to the sidecar failed: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// A reader of one answer at one sidecar.
#[derive(Debug)]
pub struct Reader {
    request: RequestId,
    /// Number of the next frame. Invariant: all frames below it were returned once, in order.
    next: u64,
    /// The run that the frames came from; `None` before the first.
    run: Option<u64>,
    subscription: Option<Subscription<Chunk>>,
}

impl Reader {
    /// Creates a reader that starts at the first frame.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            next: 0,
            run: None,
            subscription: None,
        }
    }

    /// Returns the number of frames read.
    pub fn read(&self) -> u64 {
        self.next
    }

    /// Waits for the next frames. After an error the reader may be used again: it reads on where
    /// it stopped.
    ///
    /// # Errors
    /// [`Error::Gone`] if the sidecar has no such answer, [`Error::Lost`] if it cannot be asked.
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
                // The client drops a subscription whose reader is too slow; the frames are still
                // at the sidecar.
                Some(Err(_)) | None => {
                    self.subscription = None;
                    tokio::time::sleep(RESUBSCRIBE_WAIT.duration()).await;
                    link.client().await.map_err(lost)?;
                }
            }
        }
    }

    async fn subscribe(&self, link: &Link) -> Result<Subscription<Chunk>, Error> {
        let client = link.client().await.map_err(lost)?;
        let from = AnswerFrom {
            request: self.request,
            from: self.next,
        };
        client
            .answer(from)
            .await
            .map_err(|error| match LinkError::from(error) {
                LinkError::Refused(_) => Error::Gone,
                other => lost(other),
            })
    }

    /// Takes the frames that were not read yet; `None` if some are missing before them or they
    /// belong to another request.
    ///
    /// # Errors
    /// [`Error::Gone`] if they belong to a later run of the request: what was read so far has no
    /// continuation.
    pub fn accept(&mut self, chunk: Chunk) -> Result<Option<Vec<Frame>>, Error> {
        if chunk.request != self.request || chunk.first > self.next {
            return Ok(None);
        }
        if *self.run.get_or_insert(chunk.run) != chunk.run {
            return Err(Error::Gone);
        }
        let known = usize::try_from(self.next - chunk.first).unwrap_or(usize::MAX);
        let frames: Vec<Frame> = chunk.frames.into_iter().skip(known).collect();
        self.next += frames.len() as u64;
        Ok(Some(frames))
    }
}

fn lost(error: LinkError) -> Error {
    Error::Lost(error.to_string())
}
