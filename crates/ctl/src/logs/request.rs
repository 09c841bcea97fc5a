//! What became of a request, and what its entry believed at that time.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::line::Line;

/// Messages that tell what an entry believes, with the key that tells one belief from another.
const BELIEFS: [(&str, &str); 7] = [
    ("routing table in force", ""),
    ("plan in force", ""),
    ("load", "chain"),
    ("endpoint does not work", "endpoint"),
    ("endpoint answers nobody", "endpoint"),
    ("store lost", "purpose"),
    ("store regained", "purpose"),
];

/// Reports of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The request.
    pub id: String,
    /// Lines that name it, in order.
    pub lines: Vec<Line>,
    /// What its entry had last told of each belief before the last of them.
    pub beliefs: Vec<Line>,
    /// What the last line means.
    pub verdict: String,
}

impl Report {
    /// Finds a request among lines; none if no line names it.
    pub fn find(lines: &[Line], id: &str) -> Option<Self> {
        let is_own = |line: &&Line| line.get("id") == id;
        let own: Vec<Line> = lines.iter().filter(is_own).cloned().collect();
        let last = own.last()?.clone();
        let end = lines.iter().rposition(|line| line.get("id") == id)?;
        let verdict = verdict(&last);
        let beliefs = beliefs(&lines[..end], &last.source);
        Some(Self { id: id.to_owned(), lines: own, beliefs, verdict })
    }
}

/// The last line of each belief of `source`, in order.
fn beliefs(lines: &[Line], source: &str) -> Vec<Line> {
    let mut last: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (index, line) in lines.iter().enumerate().filter(|(_, l)| l.source == source) {
        if line.message == "started" {
            // A new process knows nothing of what the one before it believed.
            last.clear();
        }
        let known = BELIEFS.iter().find(|(message, _)| *message == line.message);
        if let Some((message, key)) = known {
            last.insert((message, line.get(key)), index);
        }
    }
    let mut found: Vec<usize> = last.into_values().collect();
    found.sort_unstable();
    found.into_iter().map(|index| lines[index].clone()).collect()
}

/// What a last line about a request means.
fn verdict(line: &Line) -> String {
    let text = match (line.message.as_str(), line.get("reason")) {
        ("served", _) => "answered whole",
        ("given up", "NoRoom") => "refused: no chain or endpoint had room; see the load lines",
        ("given up", "NoBudget") => {
            "ended: its attempt failed and no retry was left; see the \
                                     failures before it"
        }
        ("given up", "Timeout") => "ended at the route's timeout or the caller's deadline",
        ("given up", "Stopping") => "refused: its entry was about to end",
        ("given up", _) => "ended: its attempts failed; see the lines before it",
        ("rejected", "Unauthorized") => "refused: no such key in the routing table in force",
        ("rejected", "NoRoute") => "refused: no such route in the routing table in force",
        ("rejected", "NoTable") => "refused: its entry had no routing table yet",
        ("rejected", _) => "refused before it was routed",
        ("caller left", _) => "its caller closed the connection before the answer was whole",
        ("endpoint's failure passed on", _) => "an endpoint answered with a failure",
        _ => "in progress, or its last line was left out under load",
    };
    let not_run = match line.get("not_run") {
        "true" => "; it has not run, and the caller was told when to come back",
        "false" => "; it may have run",
        _ => "",
    };
    format!("{text}{not_run}")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.id, self.verdict)?;
        for line in &self.lines {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "what its entry had told before:")?;
        for line in &self.beliefs {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}
