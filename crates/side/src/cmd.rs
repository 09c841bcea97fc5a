//! The command line.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use derive_more::{Display, Error, From};
use oriole_core::name;
use oriole_platform::metrics::{self, Exporter};
use oriole_platform::{settings as files, signal};
use oriole_wire::conn::Liveness;
use tokio::net::TcpListener;

use crate::settings::Settings;
use crate::{Builder, Setup};

/// The side beside the endpoints of one host: their gate, their queue, and the only one that
/// orders them about. SIGTERM stops it once all work in progress is done.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Command {
    /// Check the settings and the configuration, and exit
    check: bool,
    /// File of the settings
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

/// Why a side cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings or the secret cannot be used.
    Settings(files::Error),
    /// The configuration cannot be used.
    Config(oriole_follow::Error),
    /// No endpoint of the configuration is on the host.
    #[display("host {host} of the settings has no endpoint in the configuration")]
    #[from(skip)]
    NoEndpoint {
        /// The host.
        host: name::Host,
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

impl Command {
    /// Runs the side until it is told to stop.
    pub async fn execute(self) -> Result<(), Error> {
        let settings: Settings = files::load(&self.settings)?;
        let secret = files::load_secret(&settings.secret_file)?;
        let source = settings.configuration;
        let config = source.load()?;
        let host = settings.host.clone();
        let has_endpoint = config.endpoints.values().any(|endpoint| endpoint.host == host);
        if source.folder.is_some() && !has_endpoint {
            return Err(Error::NoEndpoint { host });
        }
        if self.check {
            return Ok(());
        }
        let (wire, http) = (listen(settings.listen).await?, listen(settings.http).await?);
        let liveness = Liveness::default();
        let setup = Setup { host, secret, config, wire, liveness };
        let builder = Builder::new(setup).http(http).queue_tokens(settings.queue_tokens);
        let mut builder = builder.home(settings.home.bounds()).seeds(source.seeds);
        if let Some(kv) = source.kv {
            builder = builder.kv(kv);
        }
        if settings.orders {
            builder = builder.orders();
        }
        if let Some(collector) = settings.metrics {
            builder = builder.exporter(Exporter::new("oriole.side", collector)?);
        }
        let handle = builder.start();
        log::info!(host:% = settings.host, listen:% = settings.listen; "the side runs");
        signal::stop().await?;
        log::info!("the side stops once its work in progress is done");
        handle.stop().await;
        Ok(())
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}
