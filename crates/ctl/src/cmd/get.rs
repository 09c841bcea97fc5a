//! `oriolectl get`.

use std::fmt;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use oriole_adapter::documents;
use oriole_macros::data;

use super::Context;
use crate::base::{self, Base};
use crate::store::Snapshot;
use crate::{Error, output::Form};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Folder to write all documents into, to be edited and applied
    #[bpaf(argument("DIR"), optional)]
    dir: Option<PathBuf>,
    /// Name of a document, such as contract/gate-desk; lists them without
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
            Some(name) => print(context.form, &snapshot, name),
            None => {
                let documents = snapshot.documents.keys().cloned().collect();
                context.form.print(&List { revision: snapshot.number(), documents });
                Ok(())
            }
        }
    }
}

fn print(form: Form, snapshot: &Snapshot, name: String) -> Result<(), Error> {
    let what = format!("document {name}");
    let text = snapshot.documents.get(&name).ok_or(Error::NotFound { what })?.clone();
    form.print(&Document { revision: snapshot.number(), name, text });
    Ok(())
}

/// Writes a snapshot into a folder; documents of the folder that are not in it stay.
fn write(folder: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    documents::write(folder, &snapshot.documents)?;
    if let Some(head) = snapshot.head.clone() {
        base::write(folder, &Base { documents: head.documents.clone(), head })?;
    }
    Ok(())
}
