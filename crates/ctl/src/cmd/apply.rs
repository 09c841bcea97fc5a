//! `oriolectl apply`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::Bpaf;
use derive_more::Display;
use oriole_adapter::documents;
use oriole_adapter::kv::Record;
use oriole_core::config::Config;
use oriole_core::revision::{Change, Hash};
use oriole_macros::data;
use uuid::Uuid;

use super::Context;
use crate::base::Base;
use crate::fleet::Fleet;
use crate::store::{Accepted, Update};
use crate::{Error, base};

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Note on the change, for the history
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    note: String,
    /// Id of the change of an earlier run whose outcome is not known
    #[bpaf(argument("ID"), optional)]
    change: Option<String>,
    /// Replaces what is in force, although the folder's base revision is not known
    overwrite: bool,
    /// Writes the folder's unchanged revision into a key-value service that holds an older one
    restore: bool,
    #[bpaf(external(super::wait_s))]
    wait_s: u64,
    #[bpaf(external(super::folder))]
    folder: PathBuf,
}

/// The result of the command. `changed` is false if there was nothing to change.
#[data]
#[derive(Display)]
#[display("revision {revision}: {}", if *changed { "accepted" } else { "nothing to change" })]
struct Report {
    revision: u64,
    changed: bool,
    change: String,
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let wanted = documents::read(&self.folder)?;
        let config = Config::load(&wanted)?;
        let fleet = Fleet::new(&context.settings, Some(&config));
        if self.restore {
            return self.restore(context, &wanted, &fleet).await;
        }
        let base = self.base(context).await?;
        let (_, head) = context.store.head().await?;
        check_not_older(&fleet, head.map_or(0, |head| head.number)).await?;
        let id = self.change.clone().unwrap_or_else(|| Uuid::now_v7().to_string());
        let update = Update { id: id.clone(), note: self.note.clone(), base, wanted };
        let accepted = context.store.apply(&update).await?;
        write_base(&self.folder, &update, &accepted)?;
        let Accepted { number, changed, .. } = accepted;
        context.format.print(&Report { revision: number, changed, change: id });
        wait_in_force(context, number, self.wait_s).await
    }

    /// Returns the base that the change starts from: the folder's, or with `--overwrite` the
    /// revision in force if the folder has none.
    ///
    /// Returns `None` for a first revision, and for a run with `--change` from a folder without a
    /// base.
    async fn base(&self, context: &Context) -> Result<Option<Base>, Error> {
        if let Some(base) = base::read(&self.folder)? {
            return Ok(Some(base));
        }
        let (_, head) = context.store.head().await?;
        // A first revision needs no base, since there are no changes that it could undo.
        if head.is_some() && !self.overwrite && self.change.is_none() {
            return Err(Error::NoBase { folder: self.folder.clone() });
        }
        let overwritten = head.filter(|_| self.overwrite);
        Ok(overwritten.map(|head| Base { documents: head.documents.clone(), head }))
    }

    /// Writes the folder's revision into a service that holds an older one.
    async fn restore(
        &self,
        context: &Context,
        wanted: &BTreeMap<String, String>,
        fleet: &Fleet,
    ) -> Result<(), Error> {
        let no_base = || Error::NoBase { folder: self.folder.clone() };
        let head = base::read(&self.folder)?.ok_or_else(no_base)?.head;
        let folder_hashes = base::hashes(wanted);
        let names = folder_hashes.keys().chain(head.documents.keys());
        if let Some(name) =
            names.into_iter().find(|n| folder_hashes.get(*n) != head.documents.get(*n))
        {
            return Err(Error::ModifiedCopy { folder: self.folder.clone(), name: name.clone() });
        }
        let (version, found) = context.store.head().await?;
        if found.as_ref().is_some_and(|found| found.number >= head.number) {
            // The service lost nothing, or has accepted later changes since it did.
            let found = found.map_or(0, |found| found.number);
            return Err(Error::Ahead { found, folder: head.number });
        }
        check_not_older(fleet, head.number).await?;
        for text in wanted.values() {
            let hash = Hash::of(text.as_bytes());
            context.store.documents().write(&hash, text.as_bytes()).await?;
        }
        let id = head.changes.last().cloned().unwrap_or_default();
        let change = Change { id: id.clone(), edits: BTreeMap::new() };
        let record = Record { number: head.number, change, note: "restored".to_owned() };
        if !context.store.documents().replace(version, &head, &record).await? {
            return Err(Error::Contended);
        }
        context.format.print(&Report { revision: head.number, changed: true, change: id });
        wait_in_force(context, head.number, self.wait_s).await
    }
}

/// Fails if a process has a later revision in force than `found`, on which the command builds: the
/// service has then lost accepted changes, and the command would undo them.
async fn check_not_older(fleet: &Fleet, found: u64) -> Result<(), Error> {
    let reports = fleet.reports().await;
    let known = reports.iter().filter_map(|r| r.status.as_ref()).map(|s| s.revision).max();
    match known {
        Some(known) if known > found => Err(Error::SetBack { found, known }),
        _ => Ok(()),
    }
}

/// Stores the accepted revision as the folder's base.
fn write_base(folder: &Path, update: &Update, accepted: &Accepted) -> Result<(), Error> {
    match accepted.head.clone() {
        Some(head) => base::write(folder, &Base { head, documents: base::hashes(&update.wanted) }),
        None => Ok(()),
    }
}

/// Waits until a revision is in force on all processes, for `wait_s` seconds; 0 does not wait.
pub(super) async fn wait_in_force(
    context: &Context,
    number: u64,
    wait_s: u64,
) -> Result<(), Error> {
    if wait_s == 0 {
        return Ok(());
    }
    let fleet = context.fleet().await?;
    let limit = Duration::from_secs(wait_s);
    let rollout = fleet.wait(number, limit, |rollout| context.format.progress(rollout)).await;
    if !rollout.behind.is_empty() {
        return Err(Error::NotInForce(rollout));
    }
    context.format.progress(&rollout);
    Ok(())
}
