//! What a process uses, as the platform counts it: bytes that it has received and not read count as memory.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

/// What a process uses at a moment, and at most so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory and unread bytes, in bytes.
    pub memory: u64,
    /// Most resident memory since the start of the process, in bytes.
    pub peak_resident: u64,
    /// Open sockets and pipes.
    pub sockets: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads what process `id` uses, which listens on `listening`.
    pub fn read(id: u32, listening: &[SocketAddr]) -> Self {
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let links = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten();
        let targets = links.filter_map(|link| fs::read_link(link.ok()?.path()).ok());
        let targets: Vec<String> = targets.map(|path| path.display().to_string()).collect();
        let is_socket =
            |target: &&String| target.starts_with("socket:") || target.starts_with("pipe:");
        Self {
            memory: kilobytes(&status, "VmRSS:") * 1024 + unread_bytes(listening),
            peak_resident: kilobytes(&status, "VmHWM:") * 1024,
            sockets: targets.iter().filter(is_socket).count(),
            descriptors: targets.len(),
        }
    }

    /// Returns the larger of each figure.
    pub fn max(self, other: Self) -> Self {
        Self {
            memory: self.memory.max(other.memory),
            peak_resident: self.peak_resident.max(other.peak_resident),
            sockets: self.sockets.max(other.sockets),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

fn kilobytes(status: &str, field: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    value.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Returns the bytes that wait unread at `addresses`, on connections that have been accepted or not.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|row| {
        let mut fields = row.split_whitespace().skip(1);
        let (local, _, state, queues) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let port = u16::from_str_radix(local.split(':').nth(1)?, 16).ok()?;
        let unread = u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()?;
        // The queue of a listening socket counts connections.
        let is_counted = state != LISTENING && addresses.iter().any(|a| a.port() == port);
        is_counted.then_some(unread)
    });
    rows.sum()
}

/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";

/// Interval at which [`watch`] reads what a process uses.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Does `work`, and meanwhile records in `most` the most of each figure that `read` returns.
pub async fn watch<T>(
    read: impl Fn() -> Usage,
    most: &Cell<Usage>,
    work: impl Future<Output = T>,
) -> T {
    let sample = async {
        loop {
            most.set(most.get().max(read()));
            sleep(WATCH_INTERVAL).await;
        }
    };
    tokio::select! {
        result = work => result,
        () = sample => unreachable!("the samples do not end"),
    }
}
