//! The choice of a chain of endpoints that covers every layer once.

use crate::config::Kind;
use crate::message::Stage;
use crate::name;
use crate::time::Instant;

use super::Machine;

/// Stages of a chain at most; more would mean a configuration of single layers.
const MAX_STAGES: usize = 64;

impl Machine {
    /// Picks a chain for `model` among endpoints that are open and not avoided.
    pub(super) fn plan(&mut self, now: Instant, model: &name::Model) -> Option<Vec<Stage>> {
        let layers = self.config.models.get(model)?.layers;
        let mut chain: Vec<Stage> = Vec::new();
        let mut next = 0;
        while next < layers {
            let mut candidates = self.candidates(now, model, next);
            if candidates.is_empty() || chain.len() >= MAX_STAGES {
                return None;
            }
            let index = self.draw(candidates.len());
            let stage = candidates.swap_remove(index);
            next = stage.end;
            chain.push(stage);
        }
        Some(chain)
    }

    fn candidates(&self, now: Instant, model: &name::Model, first: u16) -> Vec<Stage> {
        let mut found = Vec::new();
        for (name, endpoint) in &self.config.endpoints {
            let Kind::Engine { model: holds, first_layer, end_layer, .. } = &endpoint.kind else {
                continue;
            };
            let avoided = self.avoided.get(name).is_some_and(|until| *until > now);
            let open = self.loads.get(name).is_none_or(|load| load.open);
            let fits = holds == model && *first_layer == first && *end_layer > first;
            if fits && open && !avoided && !endpoint.drain {
                found.push(Stage {
                    endpoint: name.clone(),
                    host: endpoint.host.clone(),
                    address: endpoint.side,
                    first,
                    end: *end_layer,
                });
            }
        }
        found
    }
}
