//! `oriolectl get`.

use std::fmt;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use oriole_adapter::documents;
use oriole_macros::data;

use super::Context;
use crate::base::{self, Base};
use crate::store::Snapshot;
use crate::{Error, output::Format};

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Folder to write all documents into, to be edited and applied
    #[bpaf(argument("DIR"), optional)]
    dir: Option<PathBuf>,
    /// Name of a document, such as contract/gate-desk; without it, lists all documents
    #[bpaf(positional("DOCUMENT"), optional)]
    name: Option<String>,
}

/// The revision and the names of its documents.
#[data]
struct List {
    revision: u64,
    documents: Vec<String>,
}

impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {}", self.revision)?;
        self.documents.iter().try_for_each(|name| write!(f, "\n{name}"))
    }
}

/// One document.
#[data]
#[derive(derive_more::Display)]
#[display("{text}")]
struct Document {
    revision: u64,
    name: String,
    text: String,
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let snapshot = context.store.snapshot().await?;
        if let Some(folder) = &self.dir {
            write(folder, &snapshot)?;
        }
        match self.name {
            Some(name) => print(context.format, &snapshot, name),
            None => {
                let documents = snapshot.documents.keys().cloned().collect();
                context.format.print(&List { revision: snapshot.number(), documents });
                Ok(())
            }
        }
    }
}

fn print(format: Format, snapshot: &Snapshot, name: String) -> Result<(), Error> {
    let what = format!("document {name}");
    let text = snapshot.documents.get(&name).ok_or(Error::NotFound { what })?.clone();
    format.print(&Document { revision: snapshot.number(), name, text });
    Ok(())
}

/// Writes a snapshot and its base into a folder. Other documents in the folder are kept.
fn write(folder: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    documents::write(folder, &snapshot.documents)?;
    if let Some(head) = snapshot.head.clone() {
        base::write(folder, &Base { documents: head.documents.clone(), head })?;
    }
    Ok(())
}
