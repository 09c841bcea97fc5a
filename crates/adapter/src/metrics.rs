//! Export of counters to a StatsD collector.
//!
//! The decisions count in memory; this adapter sends what has been added since the last time, so
//! that a collector that is away costs nothing but its own figures.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};
use derive_more::{Display, Error};

/// Why counters cannot be exported.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No socket could be opened.
    #[display("opening a socket for metrics: {_0}")]
    Socket(std::io::Error),
    /// The collector's address cannot be used.
    #[display("addressing the metrics collector: {_0}")]
    Sink(cadence::MetricError),
}

/// The present value of one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    /// Its name, such as `refused.deadline`.
    pub name: String,
    /// The workspace that it is counted for, if it is counted by workspace.
    pub workspace: Option<String>,
    /// The value since the process started.
    pub value: u64,
}

/// Sends counters to a collector.
pub struct Exporter {
    client: StatsdClient,
    sent: BTreeMap<(String, Option<String>), u64>,
}

impl Exporter {
    /// An exporter to the collector at `address`; names start with `prefix`.
    pub fn new(prefix: &str, address: SocketAddr) -> Result<Self, Error> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local).map_err(Error::Socket)?;
        socket.set_nonblocking(true).map_err(Error::Socket)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(Error::Sink)?;
        Ok(Self { client: StatsdClient::from_sink(prefix, sink), sent: BTreeMap::new() })
    }

    /// Sends what each counter has gained since it was last sent.
    pub fn export(&mut self, counts: impl IntoIterator<Item = Count>) {
        for count in counts {
            let key = (count.name.clone(), count.workspace.clone());
            let sent = self.sent.get(&key).copied().unwrap_or_default();
            let gained = i64::try_from(count.value.saturating_sub(sent)).unwrap_or(i64::MAX);
            if gained > 0 {
                let mut metric = self.client.count_with_tags(&count.name, gained);
                if let Some(workspace) = &count.workspace {
                    metric = metric.with_tag("workspace", workspace);
                }
                // A collector that is away must not disturb the process.
                let _ = metric.try_send();
                self.sent.insert(key, count.value);
            }
        }
        let _ = self.client.flush();
    }
}
