//! Signals that ask a process to stop, or to read its settings again.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// SIGHUPs, each of which asks the process to read its settings again.
pub fn hang_up() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
