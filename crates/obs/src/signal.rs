//! The signals that ask for a graceful shutdown or for a look at the settings.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// The error of installing a handler.
pub async fn shutdown() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Receives the signal that the settings have changed. While one exists, SIGHUP does not end the
/// process.
#[derive(Debug)]
pub struct Reloads(tokio::signal::unix::Signal);

impl Reloads {
    /// Installs the handler.
    ///
    /// # Errors
    /// The error of installing it.
    pub fn new() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Self)
    }

    /// Waits for the next SIGHUP.
    pub async fn next(&mut self) {
        self.0.recv().await;
    }
}
