//! `oriolectl history`.

use std::fmt;
use std::time::{Duration, SystemTime};

use bpaf::Bpaf;
use oriole_adapter::kv::Record;
use oriole_macros::data;
use uuid::Uuid;

use super::Context;
use crate::Error;
use crate::store::retry;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Number of changes to list at most [20]
    #[bpaf(argument("N"), fallback(20))]
    limit: u32,
}

/// The latest changes, newest first.
#[data]
struct Report {
    changes: Vec<Line>,
}

/// One change. `time` is `None` if the change's id contains no time.
#[data]
struct Line {
    revision: u64,
    change: String,
    time: Option<String>,
    note: String,
    documents: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no change has been accepted yet");
        }
        for line in &self.changes {
            let time = line.time.as_deref().unwrap_or("-");
            let documents = line.documents.join(", ");
            writeln!(f, "{:>6}  {time}  {}  {documents}", line.revision, line.change)?;
            if !line.note.is_empty() {
                writeln!(f, "        {}", line.note)?;
            }
        }
        Ok(())
    }
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let documents = context.store.documents();
        let records = retry(async || documents.history(self.limit).await).await?;
        let changes = records.into_iter().map(line).collect();
        context.format.print(&Report { changes });
        Ok(())
    }
}

fn line(record: Record) -> Line {
    Line {
        revision: record.number,
        time: created_at(&record.change.id),
        change: record.change.id,
        note: record.note,
        documents: record.change.edits.into_keys().collect(),
    }
}

/// Returns the time at which a change's id was made, in RFC 3339; `None` if the id is not a UUID
/// with a time.
fn created_at(id: &str) -> Option<String> {
    let (seconds, _) = Uuid::parse_str(id).ok()?.get_timestamp()?.to_unix();
    let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(seconds))?;
    Some(humantime::format_rfc3339_seconds(time).to_string())
}
