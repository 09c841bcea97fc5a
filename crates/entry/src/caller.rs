//! The channel over which one caller's answer passes from the decisions to its HTTP task.
//!
//! The HTTP task reads only as fast as the caller does. When pieces pile up, the decisions are
//! told to make no more tokens, so that what waits for a slow caller stays bounded.

use std::cell::Cell;
use std::rc::Rc;

use oriole_core::entry::Outcome;
use oriole_core::request::Id;
use tokio::sync::mpsc;

use crate::process::Command;

/// Pieces that wait for a caller before no more tokens are made.
const HIGH_PIECES: usize = 64;

/// Pieces that wait when tokens are made again.
const LOW_PIECES: usize = 16;

/// What the process tells a caller's task.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The request has this id.
    Accepted(Id),
    /// Text of one token.
    Text(String),
    /// The end; nothing follows.
    End(Outcome),
}

/// The sending end, held by the process.
pub(crate) struct Sender {
    pieces: mpsc::UnboundedSender<Piece>,
    waiting: Rc<Cell<usize>>,
    held: Rc<Cell<bool>>,
}

/// The receiving end, held by the HTTP task.
pub(crate) struct Receiver {
    pieces: mpsc::UnboundedReceiver<Piece>,
    waiting: Rc<Cell<usize>>,
    held: Rc<Cell<bool>>,
    id: Option<Id>,
    commands: mpsc::Sender<Command>,
}

/// A channel to one caller.
pub(crate) fn channel(commands: mpsc::Sender<Command>) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (waiting, held) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let sending = Sender { pieces: sender, waiting: waiting.clone(), held: held.clone() };
    (sending, Receiver { pieces: receiver, waiting, held, id: None, commands })
}

impl Sender {
    /// Sends a piece. Returns whether the caller has just fallen behind.
    pub(crate) fn send(&self, piece: Piece) -> bool {
        // A caller that has gone is noticed by whoever watches the channel.
        if self.pieces.send(piece).is_err() {
            return false;
        }
        self.waiting.set(self.waiting.get() + 1);
        self.waiting.get() >= HIGH_PIECES && !self.held.replace(true)
    }

    /// Completes when the caller has gone, or has its whole answer.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + 'static {
        let pieces = self.pieces.clone();
        async move { pieces.closed().await }
    }
}

impl Receiver {
    /// The next piece; `None` if the process has stopped.
    pub(crate) async fn recv(&mut self) -> Option<Piece> {
        let piece = self.pieces.recv().await?;
        self.waiting.set(self.waiting.get().saturating_sub(1));
        if let Piece::Accepted(id) = piece {
            self.id = Some(id);
        }
        if self.waiting.get() <= LOW_PIECES && self.held.get() {
            let resume = self.id.map(Command::Resume);
            // A full queue of commands is tried again at the next piece.
            if resume.is_none_or(|command| self.commands.try_send(command).is_ok()) {
                self.held.set(false);
            }
        }
        Some(piece)
    }
}
