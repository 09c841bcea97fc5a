//! `oriolectl diff`.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use bpaf::Bpaf;
use oriole_adapter::documents;
use oriole_core::config::Config;
use oriole_core::revision::{FieldDiff, diff_fields};
use oriole_macros::data;

use super::Context;
use crate::Error;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::folder))]
    folder: PathBuf,
}

/// How a folder differs from the latest revision in the key-value service.
#[data]
struct Report {
    revision: u64,
    documents: BTreeMap<String, Difference>,
}

/// How one document differs.
#[data]
struct Difference {
    kind: Kind,
    fields: Vec<FieldDiff>,
}

#[data]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Added,
    Removed,
    Changed,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.documents.is_empty() {
            return write!(f, "no difference from revision {}", self.revision);
        }
        write!(f, "differences from revision {}", self.revision)?;
        for (name, difference) in &self.documents {
            let kind = match difference.kind {
                Kind::Added => "added",
                Kind::Removed => "removed",
                Kind::Changed => "changed",
            };
            write!(f, "\n{name} ({kind})")?;
            for field in &difference.fields {
                write!(f, "\n  {field}")?;
            }
        }
        Ok(())
    }
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let wanted = documents::read(&self.folder)?;
        Config::load(&wanted)?;
        let snapshot = context.store.snapshot().await?;
        let mut documents = BTreeMap::new();
        for name in snapshot.documents.keys().chain(wanted.keys()) {
            let (old, new) = (snapshot.documents.get(name), wanted.get(name));
            if old == new {
                continue;
            }
            let kind = match (old, new) {
                (None, _) => Kind::Added,
                (_, None) => Kind::Removed,
                _ => Kind::Changed,
            };
            let text = |document: Option<&String>| document.cloned().unwrap_or_default();
            let fields = diff_fields(&text(old), &text(new));
            documents.insert(name.clone(), Difference { kind, fields });
        }
        context.format.print(&Report { revision: snapshot.number(), documents });
        Ok(())
    }
}
