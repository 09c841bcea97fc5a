//! Reads the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::hosts::Client;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::process::Command;

/// Interval of reads. The list lags by more than that.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time within which the list must be read.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list until the process has stopped. A read that fails says nothing about the hosts.
pub(crate) async fn poll(address: SocketAddr, commands: mpsc::Sender<Command>) {
    let client = Client::new(address);
    loop {
        if let Ok(list) = client.list(TIMEOUT).await
            && commands.send(Command::Hosts(list.hosts)).await.is_err()
        {
            return;
        }
        sleep(INTERVAL).await;
    }
}
