//! Unix signals that ask a process to stop or to reload its settings.

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

/// Returns a stream of SIGHUP signals, each of which asks the process to reload its settings.
pub fn hang_up() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
