//! Fault switches of the stand-ins, usable from any thread.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// Which faults a stand-in shows now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Faults {
    /// The process has died: no listener, no connections.
    pub crashed: bool,
    /// Calls are accepted but nothing goes on.
    pub stalled: bool,
    /// Factor by which running takes longer.
    pub slowdown: f64,
    /// Calls that fail before they run.
    pub fail_next: u32,
    /// Calls whose reply is lost after they ran.
    pub lose_replies: u32,
    /// Whether the process dies when the next call arrives, before it takes effect.
    pub crash_before_running: bool,
    /// Whether the process dies in the middle of the next call, after it took effect.
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

/// A handle on the faults of one stand-in. Clones share them.
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
    /// A switch without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Ends the stand-in as the death of its process would.
    pub fn crash(&self) {
        self.faults.send_modify(|f| f.crashed = true);
    }

    /// Lets the stand-in be served again; its server must be started anew.
    pub fn reset(&self) {
        self.faults.send_replace(Faults::default());
    }

    /// Accepts calls without going on with them, or goes on again.
    pub fn set_stalled(&self, stalled: bool) {
        self.faults.send_modify(|f| f.stalled = stalled);
    }

    /// Makes running take `slowdown` times as long.
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

    /// Dies when the next call arrives, before it takes effect.
    pub fn crash_before_running(&self) {
        self.faults.send_modify(|f| f.crash_before_running = true);
    }

    /// Dies in the middle of the next call, after it took effect.
    pub fn crash_after_running(&self) {
        self.faults.send_modify(|f| f.crash_after_running = true);
    }

    /// The faults now.
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Returns when the stand-in is to die.
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

    /// Takes one of the calls that are to fail, and dies if that was asked for.
    pub(crate) fn take_failure(&self) -> bool {
        if self.faults().crash_before_running {
            self.crash();
            return true;
        }
        self.take_one(|f| &mut f.fail_next)
    }

    /// Takes one of the replies that are to be lost, and dies if that was asked for.
    pub(crate) fn take_lost_reply(&self) -> bool {
        if self.faults().crash_after_running {
            self.crash();
            return true;
        }
        self.take_one(|f| &mut f.lose_replies)
    }

    /// How long running takes instead of `duration`.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        Duration::try_from_secs_f64(duration.as_secs_f64() * self.faults().slowdown)
            .unwrap_or(Duration::MAX)
    }

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
