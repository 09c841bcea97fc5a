//! Tells the task that holds something that it must give way to another.

use std::convert::Infallible;

use tokio::sync::oneshot::{self, Receiver, Sender};

/// Kept beside what is held. Dropping it tells the task to give way.
#[derive(Debug)]
pub struct Holder {
    _sender: Sender<Infallible>,
}

/// What the task waits for.
#[derive(Debug)]
pub struct Eviction {
    receiver: Option<Receiver<Infallible>>,
}

/// Creates both ends.
pub fn channel() -> (Holder, Eviction) {
    let (sender, receiver) = oneshot::channel();
    (Holder { _sender: sender }, Eviction { receiver: Some(receiver) })
}

impl Eviction {
    /// Returns a future that waits until the holder has been dropped. All calls but the first return one that
    /// waits forever.
    pub fn wait(&mut self) -> impl Future<Output = ()> + use<> {
        let receiver = self.receiver.take();
        async move {
            match receiver {
                // Nothing is ever sent, so that this returns when the channel is closed.
                Some(receiver) => drop(receiver.await),
                None => std::future::pending().await,
            }
        }
    }
}
