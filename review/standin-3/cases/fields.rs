//! Single requests inside the limits that have many short header fields.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;

/// Number of requests, sent one after the other.
const REQUESTS: u32 = 40;

/// Header fields of a request beside the usual ones, with and without trouble.
const MANY: usize = 120;
const FEW: usize = 20;

/// Requests that may be ended with a 4xx: 5 and one in 500.
const ALLOWED: u32 = 5;

/// Runs the case.
pub fn run(folder: &Path, work: &Path, is_troubled: bool) -> Verdict {
    let deployment = Deployment::start(folder, work);
    let record = deployment.record.clone();
    let _engine = deployment.desk_engine(
        "i-1",
        Arc::new(|call| {
            thread::sleep(Duration::from_millis(5));
            call.answer("200 OK", "", b"record")
        }),
    );
    let entry = deployment.entry("entry-1");
    if !entry.is_ready() {
        record.say("the entry is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let fields = if is_troubled { MANY } else { FEW };
    let more: String = (0..fields).map(|n| format!("x{n}: {n}\r\n")).collect();
    let (mut served, mut denied) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("f{number:03}");
        let answer =
            client::call(entry.callers, "POST", &format!("/filing/{id}"), &id, 3000, b"note", &more);
        let status = answer.map_or(0, |(head, _)| head.status());
        record.line(format!("answered {id}: status {status}"));
        served += u32::from(status == 200);
        denied += u32::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let bytes = more.len();
    record.say(format!(
        "{REQUESTS} requests with {fields} more fields of {bytes} bytes in all: {served} served, {denied} ended with \
         a 3xx or 4xx"
    ));
    if denied > ALLOWED {
        return Verdict::Broken;
    }
    if served < REQUESTS / 2 { Verdict::NotRun } else { Verdict::Held }
}
