//! Fault switches: they inject faults into a running stand-in and can be used from any thread.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// The faults that are injected into a stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Faults {
    /// Whether the process has crashed: it has no listener and no connections.
    pub crashed: bool,
    /// Whether calls are accepted but make no progress.
    pub stalled: bool,
    /// Factor on the time that a call takes to run; 1.0 is the normal speed.
    pub slowdown: f64,
    /// Number of further calls that fail before they run.
    pub fail_next: u32,
    /// Number of further calls that run but whose reply is lost.
    pub lose_replies: u32,
    /// Whether the process crashes when the next call arrives, before the call takes effect.
    pub crash_before_running: bool,
    /// Whether the process crashes during the next call, after the call took effect.
    pub crash_after_running: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crashed: false,
            stalled: false,
            slowdown: 1.0,
            fail_next: 0,
            lose_replies: 0,
            crash_before_running: false,
            crash_after_running: false,
        }
    }
}

/// Switches the faults of one stand-in. Clones act on the same stand-in.
#[derive(Clone, Debug)]
pub struct Switch {
    faults: Arc<watch::Sender<Faults>>,
}

impl Default for Switch {
    fn default() -> Self {
        Self { faults: Arc::new(watch::Sender::new(Faults::default())) }
    }
}

impl Switch {
    /// Returns a switch with no faults set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Ends the stand-in as a crash of its process does.
    pub fn crash(&self) {
        self.faults.send_modify(|f| f.crashed = true);
    }

    /// Clears all faults. After a crash, the server must also be started again.
    pub fn reset(&self) {
        self.faults.send_replace(Faults::default());
    }

    /// Sets whether calls are accepted but make no progress.
    pub fn set_stalled(&self, stalled: bool) {
        self.faults.send_modify(|f| f.stalled = stalled);
    }

    /// Makes calls take `slowdown` times as long to run.
    pub fn set_slowdown(&self, slowdown: f64) {
        self.faults.send_modify(|f| f.slowdown = slowdown.max(0.0));
    }

    /// Makes the next `calls` calls fail before they run.
    pub fn fail_next(&self, calls: u32) {
        self.faults.send_modify(|f| f.fail_next = calls);
    }

    /// Loses the replies of the next `calls` calls after they ran.
    pub fn lose_replies(&self, calls: u32) {
        self.faults.send_modify(|f| f.lose_replies = calls);
    }

    /// Crashes the stand-in when the next call arrives, before the call takes effect.
    pub fn crash_before_running(&self) {
        self.faults.send_modify(|f| f.crash_before_running = true);
    }

    /// Crashes the stand-in during the next call, after the call took effect.
    pub fn crash_after_running(&self) {
        self.faults.send_modify(|f| f.crash_after_running = true);
    }

    /// Returns the faults that are set now.
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Waits until the stand-in crashes.
    pub async fn wait_for_crash(&self) {
        let mut faults = self.faults.subscribe();
        if faults.wait_for(|f| f.crashed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits while the stand-in is stalled.
    pub async fn wait_while_stalled(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|f| !f.stalled).await;
    }

    /// Returns whether the current call fails before it runs, and decrements the number of calls
    /// that are to fail. Crashes the stand-in if that is set.
    pub(crate) fn take_failure(&self) -> bool {
        if self.faults().crash_before_running {
            self.crash();
            return true;
        }
        self.take_one(|f| &mut f.fail_next)
    }

    /// Returns whether the reply to the current call is lost, and decrements the number of replies
    /// that are to be lost. Crashes the stand-in if that is set.
    pub(crate) fn take_lost_reply(&self) -> bool {
        if self.faults().crash_after_running {
            self.crash();
            return true;
        }
        self.take_one(|f| &mut f.lose_replies)
    }

    /// Returns `duration`, the normal time of a call, multiplied by the slowdown.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        Duration::try_from_secs_f64(duration.as_secs_f64() * self.faults().slowdown)
            .unwrap_or(Duration::MAX)
    }

    /// Decrements a counter; returns whether it was above zero.
    fn take_one(&self, count: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|f| {
            let left = count(f);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            taken
        });
        taken
    }
}
