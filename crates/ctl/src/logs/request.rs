//! How a request ended, and the state of its entry at that time.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::line::Line;

/// Messages by which an entry logs changes of its state, each with the key of what changed; the
/// key is empty if there is only one such state in an entry.
const STATE_MESSAGES: [(&str, &str); 9] = [
    ("routing table in force", ""),
    ("plan in force", ""),
    ("load", "chain"),
    ("endpoint does not work", "endpoint"),
    ("endpoint answers nobody", "endpoint"),
    ("endpoint answers again", "endpoint"),
    ("prompt parts quarantined", "parts"),
    ("store lost", "purpose"),
    ("store regained", "purpose"),
];

/// What the logs contain about one request.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Id of the request.
    pub id: String,
    /// Lines that contain the id, in order.
    pub lines: Vec<Line>,
    /// State of the request's entry before the last of these lines: for each message in
    /// `STATE_MESSAGES` and each value of its key, the last line.
    #[serde(rename = "beliefs")]
    pub entry_state: Vec<Line>,
    /// What the last line says about the request.
    pub verdict: String,
}

impl Report {
    /// Collects what `lines` contain about a request; `None` if no line has its id.
    pub fn find(lines: &[Line], id: &str) -> Option<Self> {
        let names_request = |line: &&Line| line.get("id") == id;
        let own: Vec<Line> = lines.iter().filter(names_request).cloned().collect();
        let last = own.last()?.clone();
        let end = lines.iter().rposition(|line| line.get("id") == id)?;
        let verdict = verdict(&last);
        let entry_state = entry_state(&lines[..end], &last.source);
        Some(Self { id: id.to_owned(), lines: own, entry_state, verdict })
    }
}

/// Returns the last line of `source` for each part of its state, in order of the lines.
fn entry_state(lines: &[Line], source: &str) -> Vec<Line> {
    let mut last: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (index, line) in lines.iter().enumerate().filter(|(_, l)| l.source == source) {
        if line.message == "started" {
            // A restarted process has lost the state that its predecessor logged.
            last.clear();
        }
        let state_message = STATE_MESSAGES.iter().find(|(message, _)| *message == line.message);
        if let Some((message, key)) = state_message {
            last.insert((message, line.get(key)), index);
        }
    }
    let mut found: Vec<usize> = last.into_values().collect();
    found.sort_unstable();
    found.into_iter().map(|index| lines[index].clone()).collect()
}

/// Explains the last line about a request.
fn verdict(line: &Line) -> String {
    let text = match (line.message.as_str(), line.get("reason")) {
        ("served", _) => "answered completely",
        ("given up", "NoRoom") => "refused: no chain or endpoint had room; see the load lines",
        ("given up", "Limited") => {
            "refused: only endpoints had room whose own limit was reached; see `limit of an endpoint`"
        }
        ("given up", "NoBudget") => {
            "ended: its attempt failed and the retry budget was used up; \
                                     see the failures before it"
        }
        ("given up", "Timeout") => "ended at the route's timeout or the caller's deadline",
        ("given up", "Quarantined") => {
            "refused: a part of its prompt crashes endpoints; see \
             `prompt parts quarantined`"
        }
        ("given up", "Stopping") => "refused: its entry was shutting down",
        ("given up", _) => "ended: its attempts failed; see the lines before it",
        ("rejected", "Unauthorized") => "refused: its key is not in the routing table in force",
        ("rejected", "NoRoute") => "refused: the routing table in force has no route for it",
        ("rejected", "NoTable") => "refused: its entry had no routing table yet",
        ("rejected", _) => "refused before it was routed",
        ("caller left", _) => "its caller closed the connection before the answer was complete",
        ("endpoint's failure passed on", _) => "an endpoint answered with a failure",
        _ => "in progress, or its last line was dropped under load",
    };
    let not_run = match line.get("not_run") {
        "true" => "; it has not run, and the caller was told when to retry",
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
        writeln!(f, "state of its entry before the last line:")?;
        for line in &self.entry_state {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}
