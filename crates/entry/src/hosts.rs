//! Polls the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::hosts::Client;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::process::Command;

/// Interval between reads; the list itself lags by more than this.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum duration of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list until the process has stopped. A failed read is skipped, since it says nothing
/// about the hosts.
pub(crate) async fn poll(address: SocketAddr, commands: mpsc::Sender<Command>) {
    let client = Client::new(address);
    loop {
        if let Ok(list) = client.list(READ_TIMEOUT).await
            && commands.send(Command::HostList(list.hosts)).await.is_err()
        {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
