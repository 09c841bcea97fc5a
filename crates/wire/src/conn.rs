//! One open connection: batching, heartbeats and the silence timeout.
//!
//! A connection that carries messages of requests is busy: it exchanges heartbeats often, so that a
//! failure is detected soon. An idle connection sends a heartbeat only every few seconds.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use oriole_core::message::Message;
use oriole_core::name;
use std::pin::pin;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_tungstenite::tungstenite::Message as Packet;

use crate::Error;
use crate::frame::{self, Frame};
use crate::handshake::Socket;
use crate::hub::{Event, Kind};

const MAX_BATCH_MESSAGES: usize = 128;

/// A batch takes no more messages once its payload reaches this size, so that frames stay far below
/// [`frame::MAX_FRAME_BYTES`].
const BATCH_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Heartbeat intervals and timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    /// Interval of heartbeats while the connection is busy.
    pub busy_heartbeat: Duration,
    /// Silence after which a busy connection is abandoned.
    pub busy_silence: Duration,
    /// Interval of heartbeats while the connection is idle.
    pub idle_heartbeat: Duration,
    /// Silence after which an idle connection is abandoned.
    pub idle_silence: Duration,
    /// How long a connection counts as busy after a message of a request.
    pub busy_period: Duration,
    /// Time allowed for connecting and for the handshake.
    pub connect_timeout: Duration,
}

impl Default for Liveness {
    fn default() -> Self {
        Self {
            busy_heartbeat: Duration::from_millis(200),
            busy_silence: Duration::from_millis(800),
            idle_heartbeat: Duration::from_secs(5),
            idle_silence: Duration::from_secs(16),
            busy_period: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// Times of the last received frame and of the last message of a request. The reader and the writer
/// of a connection share it.
pub(crate) struct Activity {
    liveness: Liveness,
    last_received: Cell<Instant>,
    busy_since: Cell<Instant>,
    last_work: Cell<Option<Instant>>,
    changed: Notify,
}

impl Activity {
    pub(crate) fn new(liveness: Liveness, now: Instant) -> Self {
        Self {
            liveness,
            last_received: Cell::new(now),
            busy_since: Cell::new(now),
            last_work: Cell::new(None),
            changed: Notify::new(),
        }
    }

    /// Returns when the last frame was received.
    pub(crate) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    fn is_busy(&self, now: Instant, period: Duration) -> bool {
        self.last_work.get().is_some_and(|last| now < last + period)
    }

    /// Records that a message of a request was sent or received, which keeps the connection busy.
    fn record_work(&self, now: Instant) {
        if !self.is_busy(now, self.liveness.busy_period) {
            self.busy_since.set(now);
            self.changed.notify_waiters();
        }
        self.last_work.set(Some(now));
    }

    /// Returns when to abandon the connection if nothing is received until then.
    fn deadline(&self, now: Instant) -> Instant {
        if self.is_busy(now, self.liveness.busy_period) {
            self.last_received.get().max(self.busy_since.get()) + self.liveness.busy_silence
        } else {
            self.last_received.get() + self.liveness.idle_silence
        }
    }

    /// Returns when the next heartbeat is due after a frame sent at `sent`.
    fn next_heartbeat(&self, now: Instant, sent: Instant) -> Instant {
        // The sender stays busy for longer than the receiver expects it to, so that a receiver
        // whose busy period ends later still gets its heartbeats.
        let period = self.liveness.busy_period + self.liveness.busy_silence;
        if self.is_busy(now, period) {
            sent + self.liveness.busy_heartbeat
        } else {
            sent + self.liveness.idle_heartbeat
        }
    }
}

/// Runs a connection until it fails or the senders of `outbound` are dropped.
pub(crate) async fn run(
    socket: Socket,
    peer: name::Host,
    activity: Rc<Activity>,
    outbound: mpsc::Receiver<Message>,
    events: mpsc::Sender<Event>,
) -> Result<(), Error> {
    let (sink, stream) = socket.split();
    let reader = pin!(read(stream, peer, &activity, events));
    let writer = pin!(write(sink, &activity, outbound));
    match select(reader, writer).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn read(
    mut stream: SplitStream<Socket>,
    peer: name::Host,
    activity: &Activity,
    events: mpsc::Sender<Event>,
) -> Result<(), Error> {
    loop {
        let deadline = activity.deadline(Instant::now());
        let packet = tokio::select! {
            packet = stream.next() => packet,
            () = activity.changed.notified() => continue,
            () = sleep_until(deadline) => {
                if activity.deadline(Instant::now()) > Instant::now() {
                    continue;
                }
                return Err(Error::Silent);
            }
        };
        let bytes = match packet {
            Some(Ok(Packet::Binary(bytes))) => bytes,
            Some(Ok(Packet::Close(_))) | None => return Err(Error::Closed),
            Some(Ok(_)) => return Err(Error::UnexpectedFrame),
            Some(Err(e)) => return Err(e.into()),
        };
        activity.last_received.set(Instant::now());
        match frame::decode(&bytes)? {
            Frame::Heartbeat => {}
            Frame::Batch(messages) => {
                for message in messages {
                    if message.request().is_some() {
                        activity.record_work(Instant::now());
                    }
                    let event = Event { host: peer.clone(), kind: Kind::Message(message) };
                    events.send(event).await.map_err(|_| Error::Closed)?;
                }
            }
            Frame::Hello(_) | Frame::Welcome(_) | Frame::Proof(_) => {
                return Err(Error::UnexpectedFrame);
            }
        }
    }
}

async fn write(
    mut sink: SplitSink<Socket, Packet>,
    activity: &Activity,
    mut outbound: mpsc::Receiver<Message>,
) -> Result<(), Error> {
    let mut sent = Instant::now();
    loop {
        let heartbeat = activity.next_heartbeat(Instant::now(), sent);
        let frame = tokio::select! {
            message = outbound.recv() => match message {
                Some(message) => fill_batch(message, &mut outbound, activity),
                None => break,
            },
            () = activity.changed.notified() => continue,
            () = sleep_until(heartbeat) => Frame::Heartbeat,
        };
        let packet = Packet::Binary(frame::encode(&frame)?.into());
        // A peer that does not read its socket blocks this task no longer than a silent peer.
        timeout(activity.liveness.busy_silence, sink.send(packet))
            .await
            .map_err(|_| Error::Silent)??;
        sent = Instant::now();
    }
    sink.close().await?;
    Ok(())
}

/// Collects `first` and the messages that are already queued into one frame.
fn fill_batch(
    first: Message,
    outbound: &mut mpsc::Receiver<Message>,
    activity: &Activity,
) -> Frame {
    let mut batch = vec![first];
    let mut payload = batch.iter().map(payload_bytes).sum::<usize>();
    while batch.len() < MAX_BATCH_MESSAGES && payload < BATCH_PAYLOAD_BYTES {
        let Ok(message) = outbound.try_recv() else { break };
        payload += payload_bytes(&message);
        batch.push(message);
    }
    if batch.iter().any(|m| m.request().is_some()) {
        activity.record_work(Instant::now());
    }
    Frame::Batch(batch)
}

/// Estimates the encoded size of a message's payload, in bytes. A token takes at most five bytes in
/// CBOR; other messages count as zero.
fn payload_bytes(message: &Message) -> usize {
    match message {
        Message::Step(step) => step.activation.len(),
        Message::Feed(feed) => feed.tokens.len() * 5,
        Message::Call(call) => call.body.len(),
        Message::Reply(reply) => reply.answer.body.len(),
        _ => 0,
    }
}
