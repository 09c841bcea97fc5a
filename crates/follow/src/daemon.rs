//! What the command lines of entries and sides share.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use oriole_adapter::{metrics, settings};
use oriole_core::name;
use tokio::net::TcpListener;

use crate::source;

/// Why a daemon cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings or the secret cannot be used.
    Settings(settings::Error),
    /// The configuration cannot be used.
    Config(source::Error),
    /// The configuration does not name the host.
    #[display("host {host} of the settings is not among the {among} of the configuration")]
    #[from(skip)]
    Unnamed {
        /// The host.
        host: name::Host,
        /// Where it was looked for.
        among: &'static str,
    },
    /// An address cannot be listened on.
    #[display("listening on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Counters cannot be exported.
    Metrics(metrics::Error),
    /// Signals cannot be received.
    #[display("waiting for a signal: {_0}")]
    Signal(io::Error),
}

/// Listens on an address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// The exit code of a daemon; logs why it could not run.
pub fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "the process cannot run");
            ExitCode::FAILURE
        }
    }
}
