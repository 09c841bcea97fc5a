//! Waits, after the process was paused, until it knows what has changed meanwhile.

use std::time::Duration;

use oriole_adapter::clock;
use tokio::time::sleep;

use super::{Shared, State};

/// Interval at which requests look whether they may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl State {
    /// Records that the process runs.
    pub fn record_tick(&self) {
        let mut resumption = self.resumption.get();
        let pause = resumption.tick(self.now(), clock::unix_ms());
        self.resumption.set(resumption);
        if let Some(pause) = pause {
            log::warn!(pause_ms = pause.as_millis() as u64; "process was paused");
        }
    }

    /// Returns whether the process was paused and has not learned yet what has changed meanwhile.
    pub fn is_settling(&self) -> bool {
        self.record_tick();
        let listed_at = self.inner.borrow().view.listed_at();
        self.resumption.get().is_settling(listed_at, self.now())
    }
}

/// Waits until the process may act on what it knows.
pub async fn settle(state: &Shared) {
    while state.is_settling() {
        sleep(POLL_INTERVAL).await;
    }
}
