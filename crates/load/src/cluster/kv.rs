//! The stand-in of the key-value service of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::kv;
use oriole_core::config::Config;
use oriole_ctl::base::{Base, hashes};
use oriole_ctl::settings::Settings;
use oriole_ctl::store::{Store, Update};
use oriole_standin::fault;
use oriole_standin::kv::{Service, serve};
use tokio::net;

use super::standin::Standins;
use super::{Cluster, Error, bind};

/// Time that the service takes for one call.
const CALL_DELAY: Duration = Duration::from_millis(2);

/// Time after which processes give up a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A running stand-in of the key-value service.
pub struct Kv {
    /// Injects faults.
    pub switch: fault::Switch,
    /// Data, and counts of calls.
    pub service: Service,
    address: SocketAddr,
}

impl Kv {
    pub(super) fn start(standins: &mut Standins) -> Result<Self, Error> {
        let listener = bind()?;
        let address = listener.local_addr()?;
        let (switch, service) = (fault::Switch::new(), Service::default());
        service.set_delay(CALL_DELAY);
        let (faults, data) = (switch.clone(), service.clone());
        standins.spawn(move || async move {
            if let Ok(listener) = net::TcpListener::from_std(listener) {
                serve(listener, data, faults).await;
            }
        });
        Ok(Self { switch, service, address })
    }

    /// Returns the settings with which processes reach the service.
    pub fn settings(&self) -> kv::Settings {
        kv::Settings { addresses: vec![self.address], timeout: CALL_TIMEOUT }
    }

    /// Applies a configuration as `oriolectl` does; `base` is the revision that it changes, `None`
    /// if there is none yet.
    ///
    /// Returns the new revision, which is the base of the next change.
    pub async fn apply(
        &self,
        config: &Config,
        id: &str,
        base: Option<Base>,
    ) -> Result<Option<Base>, Error> {
        let settings = Settings {
            kv: self.settings(),
            entry_http_port: 0,
            side_http_port: 0,
            http: Default::default(),
        };
        let wanted = config.documents().map_err(Error::Config)?;
        let (id, note) = (id.to_owned(), "oriole-load".to_owned());
        let update = Update { id, note, base, wanted };
        let accepted = Store::new(&settings).apply(&update).await.map_err(Error::Apply)?;
        let documents = hashes(&update.wanted);
        Ok(accepted.head.map(|head| Base { head, documents }))
    }
}

impl Cluster {
    /// Applies the configuration of the cluster to the key-value service.
    ///
    /// Returns the base of the next change, or `None` if there is no key-value service.
    pub async fn publish(&self) -> Result<Option<Base>, Error> {
        match &self.kv {
            Some(kv) => kv.apply(&self.config, "oriole-load-1", None).await,
            None => Ok(None),
        }
    }
}
