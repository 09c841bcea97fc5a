//! Requests that were not served in time, by the time of the loss and its first logged cause.
//!
//! Joins the lines about a request by its id. A request is lost if it was given up, if its caller left,
//! or if its answer came late: after the limits on the first event and on pauses.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::line::Line;

/// Limits beyond which an answer counts as late, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time to the first event.
    pub first_ms: u64,
    /// Longest pause between two events.
    pub pause_ms: u64,
}

/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// Its first event came late.
    LateFirstEvent,
    /// A pause between two events was too long.
    LongPause,
    /// Its caller closed the connection.
    CallerLeft,
    /// The entry gave it up.
    GivenUp,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LateFirstEvent => "late first event",
            Self::LongPause => "long pause",
            Self::CallerLeft => "caller left",
            Self::GivenUp => "given up",
        })
    }
}

/// Requests that were lost in the same second, in the same way and for the same cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Group {
    /// Time of the loss, without the fraction of its second.
    pub at: String,
    /// How the requests were lost.
    pub loss: Loss,
    /// The reason that the entry gave, if any, and the first trouble that it logged about them.
    pub cause: String,
    /// Number of requests.
    pub count: usize,
}

/// Lost requests by the time of the loss, how they were lost and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Losses {
    /// Requests of which an end was logged.
    pub requests: usize,
    /// Lost requests, in order of time.
    pub lost: Vec<Group>,
}

impl Losses {
    /// Finds the lost requests in lines that are in the order in which each entry logged them.
    ///
    /// Times are shortened to the whole second.
    pub fn of(lines: &[Line], limits: Limits) -> Self {
        let mut first_causes: BTreeMap<&str, String> = BTreeMap::new();
        let mut requests = 0;
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        for line in lines {
            let id = line.get("id");
            if let Some(cause) = cause(line) {
                first_causes.entry(id).or_insert(cause);
            }
            let Some(end) = End::of(line, limits) else {
                continue;
            };
            requests += 1;
            let first_cause = first_causes.remove(id);
            let End::Lost(loss) = end else {
                continue;
            };
            let cause = first_cause.unwrap_or_else(|| "no earlier line".to_owned());
            let cause = match line.get("reason") {
                "" => cause,
                reason => format!("{reason} after: {cause}"),
            };
            let at = second(&line.at);
            // Times of equal form sort by their length first, be they seconds or dates.
            *counts.entry((at.len(), at, loss, cause)).or_default() += 1;
        }
        let group = |((_, at, loss, cause), count)| Group { at, loss, cause, count };
        Self { requests, lost: counts.into_iter().map(group).collect() }
    }
}

/// How a request ended.
enum End {
    InTime,
    Lost(Loss),
}

impl End {
    /// Returns `None` if the line does not tell the end of a request.
    fn of(line: &Line, limits: Limits) -> Option<Self> {
        let ms = |key: &str| line.get(key).parse::<u64>().unwrap_or_default();
        match line.message.as_str() {
            "given up" => Some(Self::Lost(Loss::GivenUp)),
            "caller left" => Some(Self::Lost(Loss::CallerLeft)),
            "served" if ms("first_ms") > limits.first_ms => Some(Self::Lost(Loss::LateFirstEvent)),
            "served" if ms("pause_ms") > limits.pause_ms => Some(Self::Lost(Loss::LongPause)),
            "served" => Some(Self::InTime),
            _ => None,
        }
    }
}

/// Returns what a line tells of trouble of its request, or `None` if it tells none.
fn cause(line: &Line) -> Option<String> {
    match line.message.as_str() {
        "attempt failed" => Some(format!("attempt failed: {}", line.get("failure"))),
        "endpoint did not execute the request" => {
            Some(format!("not executed, at fault: {}", line.get("at_fault")))
        }
        "request moved to other stages" => Some("moved to other stages".to_owned()),
        _ => None,
    }
}

/// Returns a time without the fraction of its second.
fn second(at: &str) -> String {
    at.split('.').next().unwrap_or(at).to_owned()
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost: usize = self.lost.iter().map(|group| group.count).sum();
        writeln!(f, "{lost} of {} requests were not served in time", self.requests)?;
        for Group { at, loss, cause, count } in &self.lost {
            writeln!(f, "{at} {count} {loss} ({cause})")?;
        }
        Ok(())
    }
}
