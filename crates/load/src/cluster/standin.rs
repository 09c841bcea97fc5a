//! Runs the stand-ins of a deployment on a few shared threads.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_rt::Arbiter;
use oriole_core::config::{Config, Kind};
use oriole_core::name;
use oriole_standin::engine::{self, Probe, server};
use oriole_standin::service::{self, Record};
use oriole_standin::{fault, relay};
use tokio::net;

use super::{Endpoint, Error, Options, bind, model_layers};

/// The threads that run stand-ins. Dropping it ends all stand-ins.
pub(super) struct Standins {
    threads: Vec<Arbiter>,
    next: usize,
    time_scale: f64,
    service_delay: Duration,
}

impl Standins {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            threads: (0..options.standin_threads.max(1)).map(|_| Arbiter::new()).collect(),
            next: 0,
            time_scale: options.time_scale,
            service_delay: options.service_delay,
        }
    }

    /// Starts a stand-in for each endpoint and writes its address to the configuration.
    pub(super) fn start_endpoints(
        &mut self,
        config: &mut Config,
    ) -> Result<BTreeMap<name::Endpoint, Endpoint>, Error> {
        let mut endpoints = BTreeMap::new();
        let settings = config.clone();
        for (name, endpoint) in &mut config.endpoints {
            let listener = bind()?;
            endpoint.address = listener.local_addr()?;
            let (switch, probe) = (fault::Switch::new(), Probe::default());
            let standin = Endpoint { switch, probe, record: Record::default() };
            self.serve(listener, &settings, &endpoint.kind, &standin);
            endpoints.insert(name.clone(), standin);
        }
        Ok(endpoints)
    }

    /// Starts serving the stand-in of one endpoint.
    pub(super) fn serve(
        &mut self,
        listener: TcpListener,
        config: &Config,
        kind: &Kind,
        standin: &Endpoint,
    ) {
        let standin = standin.clone();
        let engine = self.settings(kind, model_layers(config, kind), &standin.probe);
        let delay = self.service_delay;
        self.spawn(move || async move {
            let Ok(listener) = net::TcpListener::from_std(listener) else { return };
            match engine {
                Some(settings) => server::serve(listener, settings, standin.switch).await,
                None => service::serve(listener, delay, standin.switch, standin.record).await,
            }
        });
    }

    /// Starts a relay to `target` and returns its address.
    pub(super) fn relay(
        &mut self,
        target: SocketAddr,
        switch: &relay::Switch,
    ) -> Result<SocketAddr, Error> {
        let listener = bind()?;
        let address = listener.local_addr()?;
        let switch = switch.clone();
        self.spawn(move || async move {
            if let Ok(listener) = net::TcpListener::from_std(listener) {
                relay::serve(listener, target, switch).await;
            }
        });
        Ok(address)
    }

    /// Returns the settings of an engine; `None` for a plain service.
    fn settings(&self, kind: &Kind, layers: u16, probe: &Probe) -> Option<engine::Settings> {
        let Kind::Engine { model, first_layer, end_layer, step_us, prompt_token_us, .. } = kind
        else {
            return None;
        };
        let scaled = |us: u32| Duration::from_micros(us.into()).mul_f64(self.time_scale.max(0.0));
        Some(engine::Settings {
            model: Some(model.clone()),
            layers,
            first_layer: *first_layer,
            end_layer: *end_layer,
            step_time: scaled(*step_us),
            prompt_token_time: scaled(*prompt_token_us),
            probe: probe.clone(),
            ..engine::Settings::default()
        })
    }

    /// Creates and runs a task on the next thread, in turn.
    pub(super) fn spawn<F>(&mut self, task: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        self.next = (self.next + 1) % self.threads.len();
        if let Some(thread) = self.threads.get(self.next) {
            thread.spawn_fn(move || {
                actix_rt::spawn(task());
            });
        }
    }
}

impl Drop for Standins {
    fn drop(&mut self) {
        for thread in &self.threads {
            thread.stop();
        }
    }
}
