//! Log lines on standard output that never block the process.
//!
//! A thread of its own writes them. When the reader of the output stops reading, lines are
//! dropped and counted, and the count is written once the output goes on.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use env_logger::{Builder, Env, Target, WriteStyle};

/// Lines that wait for the reader of the output.
const MAX_LINES: usize = 2048;

/// Starts logging; `RUST_LOG` sets the level, `info` without it.
pub fn start() {
    let (sender, receiver) = sync_channel(MAX_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let lines = Lines { sender, dropped: dropped.clone() };
    std::thread::spawn(move || write(&receiver, &dropped));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(lines)))
        .write_style(WriteStyle::Never)
        .init();
}

struct Lines {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = lines.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        let result = if count > 0 {
            writeln!(output, "dropped {count} log lines").and_then(|()| output.write_all(&line))
        } else {
            output.write_all(&line)
        };
        // Nobody is left who could be told.
        if result.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
