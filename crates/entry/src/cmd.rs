//! The command line of `oriole-entry`.

use std::path::PathBuf;

use bpaf::Bpaf;
use oriole_adapter::metrics::Exporter;
use oriole_adapter::{settings as files, signal};
use oriole_follow::daemon::{Error, listen};
use oriole_wire::conn::Liveness;

use crate::settings::Settings;
use crate::{Builder, Setup};

/// Prefix of the names of exported counters.
const METRICS_PREFIX: &str = "oriole.entry";

/// Runs an entry, which takes callers' requests, admits them by contract and answers each once.
/// On SIGTERM it refuses new requests, answers those in progress and exits.
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
    /// Runs the entry until a stop signal arrives and its requests in progress are answered.
    pub async fn execute(self) -> Result<(), Error> {
        let settings: Settings = files::load(&self.settings)?;
        let secret = files::load_secret(&settings.secret_file)?;
        let source = settings.configuration;
        let config = source.load()?;
        let host = settings.host;
        if source.folder.is_some() && !config.entries.contains_key(&host) {
            return Err(Error::Unnamed { host, among: "entries" });
        }
        if self.check {
            return Ok(());
        }
        let setup = Setup {
            host: host.clone(),
            secret,
            config,
            wire: listen(settings.listen).await?,
            http: listen(settings.http).await?,
            liveness: Liveness::default(),
            seed: rand::random(),
        };
        let operators = listen(settings.operators).await?;
        let builder = Builder::new(setup).operators(operators).stop_wait(settings.stop_wait);
        let builder = builder.limits(settings.limits);
        let mut builder = builder.seeds(source.seeds);
        if let Some(kv) = source.kv {
            builder = builder.kv(kv);
        }
        if let Some(address) = settings.hosts {
            builder = builder.hosts(address);
        }
        if let Some(collector) = settings.metrics {
            builder = builder.exporter(Exporter::new(METRICS_PREFIX, collector)?);
        }
        let handle = builder.start();
        log::info!(host:% = host, http:% = settings.http; "entry is running");
        signal::stop().await?;
        log::info!("entry is stopping: waiting for requests in progress");
        handle.stop().await;
        Ok(())
    }
}
