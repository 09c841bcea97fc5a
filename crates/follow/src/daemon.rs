//! Start-up code that the binaries of entries and sides share.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use oriole_adapter::{metrics, settings};
use oriole_core::name;
use tokio::net::TcpListener;

use crate::source;

/// Why an entry or a side cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file or the secret file cannot be read.
    Settings(settings::Error),
    /// The configuration cannot be loaded.
    Config(source::Error),
    /// The configuration does not contain the host that the settings name.
    #[display("host {host} of the settings is not among the {among} of the configuration")]
    #[from(skip)]
    Unnamed {
        /// Host that the settings name.
        host: name::Host,
        /// Plural name of the documents that were searched.
        among: &'static str,
    },
    /// The process cannot listen on an address.
    #[display("listening on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Metrics cannot be exported.
    Metrics(metrics::Error),
    /// The process cannot wait for signals.
    #[display("waiting for a signal: {_0}")]
    Signal(io::Error),
}

/// Opens a listening TCP socket.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// Converts the result of a process to its exit code, and logs the error if there is one.
pub fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "process failed");
            ExitCode::FAILURE
        }
    }
}
