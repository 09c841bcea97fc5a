//! Entries: processes of the deploy file, with their settings.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Program of the deploy file's role, and its argument.
const PROGRAM: (&str, &str) = ("target/release/oriole-router", "run");

/// Template of the settings in the deploy file.
const TEMPLATE: &str = "deploy/entry.toml";

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "ORIOLELANDING_NODE_FILE";

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Processes that have been started and not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(vec![]);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program has started.
fn signal(process: u32, number: i32) {
    // SAFETY: the call has no effect on this process's memory.
    unsafe { kill(process as i32, number) };
}

/// Kills all processes that have been started and not ended.
pub fn kill_all() {
    if let Ok(running) = RUNNING.lock() {
        running.iter().for_each(|process| signal(*process, SIGKILL));
    }
}

/// A running entry, which is killed when this is dropped.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    file: PathBuf,
    child: Child,
    record: Record,
}

impl Entry {
    /// Starts an entry with the bounds of the site that the case names.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let [callers, ready, peers, metrics] = [(); 4].map(|()| http::free_address());
        let values = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("{{ip}}:{{internal_ports.0}}", peers.to_string()),
            ("{{ip}}:9464", metrics.to_string()),
            ("platform.address", store.to_string()),
            ("platform.min_ttl_ms", "1000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("heartbeat_ms", "1200".to_owned()),
            ("bounds.stall_ms", "2500".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_min_retries", "198".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.file_descriptors", "4100".to_owned()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE).expect("the template of the settings");
        for (field, value) in values {
            let place =
                if field.contains('{') { field.to_owned() } else { format!("{{{{{field}}}}}") };
            settings = settings.replace(&place, &value);
        }
        assert!(!settings.contains("{{"), "a field of the template has no value: {settings}");
        let file: PathBuf = folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the settings");
        let child = spawn(&file);
        record.line(&format!("{name}: started in {zone}"));
        Self { name: name.to_owned(), callers, ready, file, child, record: record.clone() }
    }

    /// Returns the memory that the process uses, in bytes; zero if it has ended.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Kills the process, and starts it again after `pause` with the same settings.
    pub fn restart(&mut self, pause: Duration) {
        self.end();
        thread::sleep(pause);
        self.child = spawn(&self.file);
        self.record.line(&format!("{}: started again", self.name));
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|process| *process != self.child.id());
        }
    }

    /// Waits until the entry says that it is ready. Returns whether it did within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        let request = b"GET /v1/ready HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
        while began.elapsed() < limit {
            let answer = http::call(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.line(&format!("{}: ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lets the process stand still for `period`.
    pub fn freeze(&self, period: Duration) {
        self.record.line(&format!("{}: frozen", self.name));
        signal(self.child.id(), SIGSTOP);
        thread::sleep(period);
        signal(self.child.id(), SIGCONT);
        self.record.line(&format!("{}: goes on", self.name));
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts the program of the deploy file. Its log lies beside the settings.
fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = fs::File::options().create(true).append(true).open(log).expect("the log");
    let errors = log.try_clone().expect("the log");
    let child = Command::new(PROGRAM.0)
        .arg(PROGRAM.1)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file");
    RUNNING.lock().expect("the processes").push(child.id());
    child
}
