//! Export of counters to a StatsD collector.
//!
//! Counters are kept in memory by `oriole_core`. This adapter sends each one's increase since the
//! last export over UDP, so an unreachable collector loses data but does not affect the process.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};
use derive_more::{Display, Error};

/// Why counters cannot be exported.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The UDP socket could not be opened.
    #[display("opening a UDP socket for metrics: {_0}")]
    Socket(std::io::Error),
    /// The collector's address cannot be used.
    #[display("using the metrics collector's address: {_0}")]
    Sink(cadence::MetricError),
}

/// The current value of one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    /// Its name, such as `refused.deadline`.
    pub name: String,
    /// The workspace that the value belongs to; `None` for a counter of the whole process.
    pub workspace: Option<String>,
    /// The value since the process started.
    pub value: u64,
}

/// Sends counters to a collector.
pub struct Exporter {
    client: StatsdClient,
    /// The value of each counter, by name and workspace, when it was last sent.
    sent: BTreeMap<(String, Option<String>), u64>,
}

impl Exporter {
    /// Creates an exporter to the collector at `address`, which puts `prefix` before all names.
    pub fn new(prefix: &str, address: SocketAddr) -> Result<Self, Error> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local).map_err(Error::Socket)?;
        socket.set_nonblocking(true).map_err(Error::Socket)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(Error::Sink)?;
        Ok(Self { client: StatsdClient::from_sink(prefix, sink), sent: BTreeMap::new() })
    }

    /// Sends the increase of each counter since it was last sent.
    pub fn export(&mut self, counts: impl IntoIterator<Item = Count>) {
        for count in counts {
            let key = (count.name.clone(), count.workspace.clone());
            let sent = self.sent.get(&key).copied().unwrap_or_default();
            let increase = i64::try_from(count.value.saturating_sub(sent)).unwrap_or(i64::MAX);
            if increase > 0 {
                let mut metric = self.client.count_with_tags(&count.name, increase);
                if let Some(workspace) = &count.workspace {
                    metric = metric.with_tag("workspace", workspace);
                }
                // An unreachable collector must not affect the process.
                let _ = metric.try_send();
                self.sent.insert(key, count.value);
            }
        }
        let _ = self.client.flush();
    }
}
