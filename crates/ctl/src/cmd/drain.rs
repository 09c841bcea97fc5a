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
use crate::store::{Plan, Snapshot};

const DOCUMENT: &str = "endpoints";

/// Tries of a change that conflicts with others.
const CONFLICT_TRIES: u32 = 5;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::wait_s))]
    wait_s: u64,
    /// Name of the endpoint
    #[bpaf(positional("ENDPOINT"))]
    endpoint: String,
}

/// What became of the order.
#[data]
#[derive(Display)]
#[display(
    "{endpoint}: revision {revision}; its side {}",
    if *told { "was told directly" } else { "did not answer, and learns of it by the revision" }
)]
struct Report {
    endpoint: name::Endpoint,
    drain: bool,
    revision: u64,
    told: bool,
}

impl Command {
    pub(super) async fn execute(self, context: &Context, drain: bool) -> Result<(), Error> {
        let endpoint = name::Endpoint::from(self.endpoint.as_str());
        let verb = if drain { "drain" } else { "undrain" };
        let (host, revision, config) = self.accept(context, &endpoint, drain).await?;
        let fleet = Fleet::new(&context.settings, Some(&config));
        let told = fleet.post(&host, &format!("/v1/{verb}?endpoint={endpoint}")).await;
        context.form.print(&Report { endpoint, drain, revision, told });
        apply::in_force(context, revision, self.wait_s).await
    }

    /// Has the change accepted; made anew if others change endpoints at the same time, as an
    /// order about one endpoint contradicts none about another.
    async fn accept(
        &self,
        context: &Context,
        endpoint: &name::Endpoint,
        drain: bool,
    ) -> Result<(name::Host, u64, Config), Error> {
        let mut tries = 1;
        loop {
            let snapshot = context.store.snapshot().await?;
            let config = Config::load(&snapshot.documents)?;
            let what = format!("endpoint {endpoint}");
            let known = config.endpoints.get(endpoint).ok_or(Error::NotFound { what })?;
            let host = known.host.clone();
            match context.store.apply(&plan(snapshot, &config, endpoint, drain)?).await {
                Ok(accepted) => return Ok((host, accepted.number, config)),
                Err(Error::Conflict(_)) if tries < CONFLICT_TRIES => tries += 1,
                Err(e) => return Err(e),
            }
        }
    }
}

fn plan(
    snapshot: Snapshot,
    config: &Config,
    endpoint: &name::Endpoint,
    drain: bool,
) -> Result<Plan, Error> {
    let mut wanted = snapshot.documents;
    if let Some(text) = wanted.get_mut(DOCUMENT) {
        *text = set(text, config, endpoint, drain)?;
    }
    let base = snapshot.head.map(|head| Base { documents: head.documents.clone(), head });
    let verb = if drain { "drain" } else { "undrain" };
    let id = Uuid::now_v7().to_string();
    Ok(Plan { id, note: format!("{verb} {endpoint}"), base, wanted })
}

/// The document `endpoints` with one endpoint drained or not. Comments stay where the key can be
/// changed in place.
fn set(
    text: &str,
    config: &Config,
    endpoint: &name::Endpoint,
    drain: bool,
) -> Result<String, Error> {
    let mut wanted = config.clone();
    if let Some(settings) = wanted.endpoints.get_mut(endpoint) {
        settings.drain = drain;
    }
    let edited = edit(text, endpoint, drain);
    if toml::from_str(&edited).is_ok_and(|endpoints| wanted.endpoints == endpoints) {
        return Ok(edited);
    }
    Ok(wanted.documents()?.remove(DOCUMENT).unwrap_or_default())
}

/// Replaces or adds the line of the key `drain` in the endpoint's table.
fn edit(text: &str, endpoint: &name::Endpoint, drain: bool) -> String {
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
