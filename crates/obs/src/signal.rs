//! The signals that request a graceful shutdown or a reload of the settings.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// The error of installing a signal handler.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    Ok(())
}

/// Receives SIGHUP, which requests a reload of the settings. Once the handler is installed, SIGHUP
/// no longer terminates the process.
#[derive(Debug)]
pub struct ReloadSignal(tokio::signal::unix::Signal);

impl ReloadSignal {
    /// Installs the signal handler.
    ///
    /// # Errors
    /// The error of installing the signal handler.
    pub fn new() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Self)
    }

    /// Waits for the next SIGHUP.
    pub async fn next(&mut self) {
        self.0.recv().await;
    }
}
