//! Waits until all entries of a starting cluster answer.

use std::time::{Duration, Instant};

use oriole_core::name;

use super::Cluster;
use crate::caller::{Caller, Generation, Outcome};

/// Time within which all entries must have answered a request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between two requests to an entry.
const READY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Prefix of the API keys of the example deployments.
const KEY_PREFIX: &str = "example-key-";

/// Returns the API key of a workspace of an example or synthetic deployment.
pub fn api_key(workspace: &name::Workspace) -> String {
    format!("{KEY_PREFIX}{workspace}")
}

impl Cluster {
    /// Sends requests to each entry until one is answered completely, and returns the number of
    /// entries that have answered.
    ///
    /// The requests are those of the workspace with the highest rate.
    pub async fn wait_until_ready(&self) -> usize {
        let Some(generation) = self.readiness_request() else { return 0 };
        let caller = Caller::new();
        let start = Instant::now();
        let mut ready = 0;
        for entry in self.http_addresses() {
            while start.elapsed() < READY_TIMEOUT {
                if caller.generate(entry, &generation, |_, _| ()).await.outcome == Outcome::Complete
                {
                    ready += 1;
                    break;
                }
                tokio::time::sleep(READY_RETRY_DELAY).await;
            }
        }
        ready
    }

    fn readiness_request(&self) -> Option<Generation> {
        let (model, settings) = self.config.models.first_key_value()?;
        let rate = |workspace: &&name::Workspace| {
            self.config.contracts.get(*workspace).map_or(0.0, |c| c.limits.requests.per_second())
        };
        let highest = self.config.contracts.keys().max_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some(Generation {
            api_key: api_key(highest),
            model: model.to_string(),
            content: "Are you there?".to_owned(),
            max_tokens: 2,
            deadline: Duration::from_secs(5),
            layers: settings.layers,
        })
    }
}
