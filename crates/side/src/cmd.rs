//! The command line of `oriole-side`.

use std::path::PathBuf;

use bpaf::Bpaf;
use oriole_adapter::metrics::Exporter;
use oriole_adapter::{settings as files, signal};
use oriole_follow::daemon::{Error, listen};
use oriole_wire::conn::Liveness;

use crate::settings::Settings;
use crate::{Builder, Setup};

/// Runs the side of one host, which admits and queues all work for the endpoints of the host and
/// is the only process that gives them orders. On SIGTERM it refuses new work, finishes the work
/// in progress and exits.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Command {
    /// Check the settings and the configuration, then exit
    check: bool,
    /// Path of the settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

impl Command {
    /// Runs the side until a stop signal arrives and its work in progress is done.
    pub async fn execute(self) -> Result<(), Error> {
        let settings: Settings = files::load(&self.settings)?;
        let secret = files::load_secret(&settings.secret_file)?;
        let source = settings.configuration;
        let config = source.load()?;
        let host = settings.host.clone();
        let has_endpoint = config.endpoints.values().any(|endpoint| endpoint.host == host);
        if source.folder.is_some() && !has_endpoint {
            return Err(Error::Unnamed { host, among: "endpoints" });
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
        log::info!(host:% = settings.host, listen:% = settings.listen; "side is running");
        signal::stop().await?;
        log::info!("side is stopping: waiting for work in progress");
        handle.stop().await;
        Ok(())
    }
}
