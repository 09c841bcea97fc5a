//! The channel that carries one caller's answer from the process to the caller's HTTP task.
//!
//! The HTTP task receives only as fast as the caller reads. When the queue reaches
//! [`HIGH_WATERMARK`], the process pauses the generation until the queue has shrunk to
//! [`LOW_WATERMARK`], so that the memory used for a slow caller stays bounded.

use std::cell::Cell;
use std::rc::Rc;

use oriole_core::entry::Outcome;
use oriole_core::request::Id;
use tokio::sync::mpsc;

use crate::process::Command;

/// Number of queued updates at which the generation is paused.
const HIGH_WATERMARK: usize = 64;

/// Number of queued updates at which a paused generation resumes.
const LOW_WATERMARK: usize = 16;

/// A step of a request's progress, sent to the caller's HTTP task.
#[derive(Debug)]
pub(crate) enum Update {
    /// The request was accepted and has this id. Always sent first.
    Accepted(Id),
    /// The text of one token.
    Text(String),
    /// The request has ended; no update follows.
    End(Outcome),
}

/// The sending half, owned by the process.
pub(crate) struct Sender {
    updates: mpsc::UnboundedSender<Update>,
    queued: Rc<Cell<usize>>,
    paused: Rc<Cell<bool>>,
}

/// The receiving half, owned by the HTTP task.
pub(crate) struct Receiver {
    updates: mpsc::UnboundedReceiver<Update>,
    queued: Rc<Cell<usize>>,
    paused: Rc<Cell<bool>>,
    id: Option<Id>,
    commands: mpsc::Sender<Command>,
}

/// Creates the channel for one request. `commands` is used to resume a paused generation.
pub(crate) fn channel(commands: mpsc::Sender<Command>) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (queued, paused) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let sending = Sender { updates: sender, queued: queued.clone(), paused: paused.clone() };
    (sending, Receiver { updates: receiver, queued, paused, id: None, commands })
}

impl Sender {
    /// Queues an update. Returns true if the queue has just reached [`HIGH_WATERMARK`] and the
    /// generation must be paused.
    pub(crate) fn send(&self, update: Update) -> bool {
        // The task that awaits `closed` reports a caller that has left.
        if self.updates.send(update).is_err() {
            return false;
        }
        self.queued.set(self.queued.get() + 1);
        self.queued.get() >= HIGH_WATERMARK && !self.paused.replace(true)
    }

    /// Completes when the receiver is dropped: the caller has left or has received its complete
    /// answer.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + 'static {
        let updates = self.updates.clone();
        async move { updates.closed().await }
    }
}

impl Receiver {
    /// Returns the next update, or `None` if the process has stopped.
    pub(crate) async fn recv(&mut self) -> Option<Update> {
        let update = self.updates.recv().await?;
        self.queued.set(self.queued.get().saturating_sub(1));
        if let Update::Accepted(id) = update {
            self.id = Some(id);
        }
        if self.queued.get() <= LOW_WATERMARK && self.paused.get() {
            let resume = self.id.map(Command::Resume);
            // If the command queue is full, the next update tries again.
            if resume.is_none_or(|command| self.commands.try_send(command).is_ok()) {
                self.paused.set(false);
            }
        }
        Some(update)
    }
}
