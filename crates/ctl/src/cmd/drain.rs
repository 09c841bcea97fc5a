//! `oriolectl drain` and `oriolectl undrain`.

use bpaf::Bpaf;
use derive_more::Display;
use oriole_core::config::Config;
use oriole_core::name;
use oriole_macros::data;
use uuid::Uuid;

use super::{Context, apply};
use crate::Error;
use crate::base::Base;
use crate::fleet::Fleet;
use crate::store::{Snapshot, Update};

const ENDPOINTS_DOCUMENT: &str = "endpoints";

/// Attempts of a change that conflicts with others.
const MAX_ATTEMPTS: u32 = 5;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::wait_s))]
    wait_s: u64,
    /// Name of the endpoint
    #[bpaf(positional("ENDPOINT"))]
    endpoint: String,
}

/// The result of the command.
#[data]
#[derive(Display)]
#[display(
    "{endpoint}: revision {revision}; its side {}",
    if *notified { "was notified" } else { "did not respond, and will adopt the revision later" }
)]
struct Report {
    endpoint: name::Endpoint,
    drain: bool,
    revision: u64,
    /// Whether the endpoint's side was notified directly, before it adopts the revision.
    #[serde(rename = "told")]
    notified: bool,
}

impl Command {
    pub(super) async fn execute(self, context: &Context, drain: bool) -> Result<(), Error> {
        let endpoint = name::Endpoint::from(self.endpoint.as_str());
        let verb = if drain { "drain" } else { "undrain" };
        let (host, revision, config) = self.apply_change(context, &endpoint, drain).await?;
        let fleet = Fleet::new(&context.settings, Some(&config));
        let notified = fleet.post(&host, &format!("/v1/{verb}?endpoint={endpoint}")).await;
        context.format.print(&Report { endpoint, drain, revision, notified });
        apply::wait_in_force(context, revision, self.wait_s).await
    }

    /// Applies the change; on a conflict, computes it again from the latest revision.
    ///
    /// Changes to different endpoints edit the same document, but do not contradict each other.
    async fn apply_change(
        &self,
        context: &Context,
        endpoint: &name::Endpoint,
        drain: bool,
    ) -> Result<(name::Host, u64, Config), Error> {
        let mut attempts = 1;
        loop {
            let snapshot = context.store.snapshot().await?;
            let config = Config::load(&snapshot.documents)?;
            let what = format!("endpoint {endpoint}");
            let known = config.endpoints.get(endpoint).ok_or(Error::NotFound { what })?;
            let host = known.host.clone();
            match context.store.apply(&update(snapshot, &config, endpoint, drain)?).await {
                Ok(accepted) => return Ok((host, accepted.number, config)),
                Err(Error::Conflict(_)) if attempts < MAX_ATTEMPTS => attempts += 1,
                Err(e) => return Err(e),
            }
        }
    }
}

fn update(
    snapshot: Snapshot,
    config: &Config,
    endpoint: &name::Endpoint,
    drain: bool,
) -> Result<Update, Error> {
    let mut wanted = snapshot.documents;
    if let Some(text) = wanted.get_mut(ENDPOINTS_DOCUMENT) {
        *text = set_drain(text, config, endpoint, drain)?;
    }
    let base = snapshot.head.map(|head| Base { documents: head.documents.clone(), head });
    let verb = if drain { "drain" } else { "undrain" };
    let id = Uuid::now_v7().to_string();
    Ok(Update { id, note: format!("{verb} {endpoint}"), base, wanted })
}

/// Returns the document `endpoints` with the key `drain` of one endpoint set.
///
/// Edits the text in place, which keeps comments. If that does not give the wanted configuration,
/// as with tables in another notation, the document is written anew without comments.
fn set_drain(
    text: &str,
    config: &Config,
    endpoint: &name::Endpoint,
    drain: bool,
) -> Result<String, Error> {
    let mut wanted = config.clone();
    if let Some(settings) = wanted.endpoints.get_mut(endpoint) {
        settings.drain = drain;
    }
    let edited = edit_in_place(text, endpoint, drain);
    if toml::from_str(&edited).is_ok_and(|endpoints| wanted.endpoints == endpoints) {
        return Ok(edited);
    }
    Ok(wanted.documents()?.remove(ENDPOINTS_DOCUMENT).unwrap_or_default())
}

/// Removes the line of the key `drain` from the endpoint's table, and adds it if `drain` is true.
fn edit_in_place(text: &str, endpoint: &name::Endpoint, drain: bool) -> String {
    let header = format!("[{endpoint}]");
    let mut within = false;
    let mut lines = Vec::new();
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            within = trimmed == header;
        }
        if within && trimmed.split('=').next().is_some_and(|key| key.trim() == "drain") {
            continue;
        }
        lines.push(line.to_owned());
        if trimmed == header && drain {
            lines.push("drain = true".to_owned());
        }
    }
    lines.join("\n") + "\n"
}
