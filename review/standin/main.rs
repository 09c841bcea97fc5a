//! Stand-ins of clients, engines and the platform's store for the scripts of the review.
//!
//! Runs the scenario that the first argument names, and writes `record.txt` into the folder that the second
//! one names. The third is 0 for a run without the disruption. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod client;
mod drill;
mod engine;
mod entry;
mod hold;
mod http;
mod json;
mod limit;
mod record;
mod secret;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process::{ExitCode, exit};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;

/// Longest time of a run.
const MAX_TIME: Duration = Duration::from_secs(115);

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    Unable,
}

/// Sleeps until `time`.
pub fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: play SCENARIO FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        entry::kill_all();
        exit(2);
    });
    let folder = PathBuf::from(folder);
    let has_trouble = trouble != "0";
    let Ok(record) = Record::create(&folder) else {
        eprintln!("the record cannot be created");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let work = temporary.clone();
    let run = std::panic::catch_unwind(move || match scenario.as_str() {
        "drill" => drill::run(has_trouble, &work, &record),
        "hold" => hold::run(has_trouble, &work, &record),
        "limit" => limit::run(has_trouble, &work, &record),
        "secret" => secret::run(has_trouble, &work, &record),
        "uploads" => uploads::run(has_trouble, &work, &record),
        _ => Outcome::Unable,
    });
    entry::kill_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let outcome = run.unwrap_or(Outcome::Unable);
    println!("{outcome:?}");
    ExitCode::from(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::Unable => 2,
    })
}
