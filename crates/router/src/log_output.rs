//! Log lines on standard output that never block the process.
//!
//! A thread of its own writes them. Each kind of line has a limit a second, and what is left out is
//! counted and told. When the reader of the output stops reading, lines about requests that were
//! served are left out first, so that the cause of a failed one is still there.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target, WriteStyle};

/// Lines that wait for the reader of the output.
const MAX_LINES: usize = 4096;

/// Lines that wait from which on those about served requests are left out.
const MAX_LINES_WITH_SERVED: usize = 2048;

/// Lines a second about requests that were served.
const SERVED_PER_SECOND: u32 = 100;

/// Other lines a second.
const OTHERS_PER_SECOND: u32 = 400;

/// What marks a line about a request that was served.
const SERVED_MARK: &[u8] = b"] served id=";

const SECOND: Duration = Duration::from_secs(1);

/// Lines that wait, and how many of the present second there have been.
#[derive(Debug)]
pub struct Backlog {
    lines: VecDeque<Vec<u8>>,
    since: Instant,
    served: u32,
    others: u32,
    left_out: u64,
}

impl Backlog {
    /// A backlog without lines.
    pub fn new(now: Instant) -> Self {
        Self { lines: VecDeque::new(), since: now, served: 0, others: 0, left_out: 0 }
    }

    /// Adds a line, unless there are too many of its kind.
    pub fn push(&mut self, line: &[u8], now: Instant) {
        if now.duration_since(self.since) >= SECOND {
            self.since = now;
            (self.served, self.others) = (0, 0);
        }
        let is_served = line.windows(SERVED_MARK.len()).any(|part| part == SERVED_MARK);
        let (count, rate, most) = if is_served {
            (&mut self.served, SERVED_PER_SECOND, MAX_LINES_WITH_SERVED)
        } else {
            (&mut self.others, OTHERS_PER_SECOND, MAX_LINES)
        };
        if *count >= rate || self.lines.len() >= most {
            self.left_out += 1;
            return;
        }
        *count += 1;
        self.lines.push_back(line.to_vec());
    }

    /// The oldest line, and how many were left out since the last one.
    pub fn pop(&mut self) -> Option<(Vec<u8>, u64)> {
        let line = self.lines.pop_front()?;
        Some((line, std::mem::take(&mut self.left_out)))
    }
}

/// Starts logging; `RUST_LOG` sets the level, `info` without it.
pub fn start() {
    let shared = Arc::new(Shared {
        backlog: Mutex::new(Backlog::new(Instant::now())),
        added: Condvar::new(),
    });
    let lines = Lines(shared.clone());
    std::thread::spawn(move || write(&shared));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(lines)))
        .write_style(WriteStyle::Never)
        .init();
}

struct Shared {
    backlog: Mutex<Backlog>,
    added: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Backlog> {
        // A panic while the lock was held leaves lines as they are.
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes lines; holds the lock for no longer than it takes to copy one.
struct Lines(Arc<Shared>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.lock().push(line, Instant::now());
        self.0.added.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(shared: &Shared) {
    let mut output = io::stdout();
    loop {
        let (line, left_out) = next(shared);
        let told =
            if left_out > 0 { writeln!(output, "{left_out} log lines left out") } else { Ok(()) };
        let written = told.and_then(|()| output.write_all(&line));
        if written.and_then(|()| output.flush()).is_err() {
            // Nobody is left who could be told.
            return;
        }
    }
}

/// Waits for the next line.
fn next(shared: &Shared) -> (Vec<u8>, u64) {
    let mut backlog = shared.lock();
    loop {
        if let Some(found) = backlog.pop() {
            return found;
        }
        backlog = shared.added.wait(backlog).unwrap_or_else(PoisonError::into_inner);
    }
}
