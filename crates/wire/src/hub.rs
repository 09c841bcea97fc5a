//! All connections of one process to its peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use oriole_core::message::Message;
use oriole_core::name;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::Error;
use crate::conn::{self, Activity, Liveness};
use crate::frame::MAX_FRAME_BYTES;
use crate::handshake::{self, Identity, Socket};

/// Number of undelivered events at which connections stop reading.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Number of unsent messages at which a connection is abandoned as too slow.
const OUTBOUND_QUEUE_CAPACITY: usize = 8192;

/// Size of the read buffer of one connection.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// An event of a connection.
#[derive(Debug)]
pub struct Event {
    /// Host of the peer.
    pub host: name::Host,
    /// What happened.
    pub kind: Kind,
}

/// Kinds of events.
#[derive(Debug)]
pub enum Kind {
    /// A connection was opened.
    Up,
    /// A connection could not be opened or has ended. Messages sent to the peer may be lost.
    Lost(Error),
    /// A message arrived.
    Message(Message),
}

/// Settings of a hub.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host of this process and the shared secret.
    pub identity: Identity,
    /// Heartbeat intervals and timeouts of all connections.
    pub liveness: Liveness,
}

/// The connections of one process. Clones share them.
#[derive(Clone)]
pub struct Hub {
    inner: Rc<Inner>,
}

struct Inner {
    identity: RefCell<Identity>,
    liveness: Liveness,
    links: RefCell<BTreeMap<name::Host, Vec<Link>>>,
    events: mpsc::Sender<Event>,
    next_link: Cell<u64>,
}

/// The sending half of a connection or of an attempt to open one.
struct Link {
    number: u64,
    outbound: mpsc::Sender<Message>,
    activity: Rc<Activity>,
}

impl Hub {
    /// Creates a hub without connections, and the receiver of its events.
    pub fn new(settings: Settings) -> (Self, mpsc::Receiver<Event>) {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let links = RefCell::default();
        let Settings { identity, liveness } = settings;
        let identity = RefCell::new(identity);
        let inner = Inner { identity, liveness, links, events, next_link: Cell::new(0) };
        (Self { inner: Rc::new(inner) }, receiver)
    }

    /// Replaces the shared secret for connections that are opened from now on.
    pub fn set_secret(&self, secret: Vec<u8>) {
        self.inner.identity.borrow_mut().set_secret(secret);
    }

    /// Accepts connections until the returned task is aborted.
    pub fn listen(&self, listener: TcpListener) -> actix_rt::task::JoinHandle<()> {
        let hub = self.clone();
        actix_rt::spawn(async move {
            loop {
                // An error of `accept` concerns one connection or a temporary lack of resources, so
                // the loop retries.
                if let Ok((stream, _)) = listener.accept().await {
                    let hub = hub.clone();
                    actix_rt::spawn(async move { hub.accept(stream).await });
                } else {
                    tokio::time::sleep(hub.inner.liveness.busy_heartbeat).await;
                }
            }
        })
    }

    /// Queues a message to `host`, and dials `address` if there is no connection.
    ///
    /// Returns false if there is neither a connection nor an address. If the message is lost later,
    /// the hub reports [`Kind::Lost`].
    pub fn send(&self, host: &name::Host, address: Option<SocketAddr>, message: Message) -> bool {
        let Some(message) = self.send_open(host, message) else {
            return true;
        };
        let Some(address) = address else {
            return false;
        };
        let (link, outbound) = self.new_link();
        // The channel is empty, so it has room for the message.
        let sent = link.outbound.try_send(message).is_ok();
        let (number, activity) = (link.number, link.activity.clone());
        self.insert(host.clone(), link);
        let (hub, host) = (self.clone(), host.clone());
        actix_rt::spawn(async move {
            let result = match hub.dial(&host, address).await {
                Ok(socket) => hub.run(socket, &host, activity, outbound).await,
                Err(e) => Err(e),
            };
            hub.remove(&host, number, result).await;
        });
        sent
    }

    /// Returns whether there is a connection to `host` or an attempt to open one.
    pub fn is_linked(&self, host: &name::Host) -> bool {
        self.inner.links.borrow().contains_key(host)
    }

    /// Returns the hosts to which there is a connection or an attempt to open one.
    pub fn hosts(&self) -> Vec<name::Host> {
        self.inner.links.borrow().keys().cloned().collect()
    }

    /// Closes all connections after their queued messages have been sent.
    pub fn close(&self) {
        self.inner.links.borrow_mut().clear();
    }

    /// Queues a message on the connection that received a frame most recently. Returns the message
    /// if no connection takes it.
    fn send_open(&self, host: &name::Host, message: Message) -> Option<Message> {
        let mut links = self.inner.links.borrow_mut();
        let Some(open) = links.get_mut(host) else {
            return Some(message);
        };
        open.sort_by_key(|link| link.activity.last_received());
        let mut message = message;
        while let Some(link) = open.last() {
            match link.outbound.try_send(message) {
                Ok(()) => return None,
                Err(
                    mpsc::error::TrySendError::Full(back) | mpsc::error::TrySendError::Closed(back),
                ) => {
                    message = back;
                    // Dropping the sender ends the connection's task.
                    open.pop();
                }
            }
        }
        links.remove(host);
        Some(message)
    }

    async fn accept(&self, stream: TcpStream) {
        let limit = self.inner.liveness.connect_timeout;
        match timeout(limit, self.accept_socket(stream)).await {
            Ok(Ok((host, socket))) => {
                let (link, outbound) = self.new_link();
                let (number, activity) = (link.number, link.activity.clone());
                self.insert(host.clone(), link);
                let result = self.run(socket, &host, activity, outbound).await;
                self.remove(&host, number, result).await;
            }
            Ok(Err(e)) => log::debug!(reason = e.reason(); "rejected an incoming connection"),
            Err(_) => log::debug!(reason = "timeout"; "rejected an incoming connection"),
        }
    }

    async fn accept_socket(&self, stream: TcpStream) -> Result<(name::Host, Socket), Error> {
        stream.set_nodelay(true)?;
        let accepting = tokio_tungstenite::accept_async_with_config(stream, Some(config()));
        let mut socket = accepting.await?;
        let identity = self.inner.identity.borrow().clone();
        let host = handshake::accept(&mut socket, &identity).await?;
        Ok((host, socket))
    }

    async fn dial(&self, host: &name::Host, address: SocketAddr) -> Result<Socket, Error> {
        let limit = self.inner.liveness.connect_timeout;
        timeout(limit, self.dial_socket(host, address)).await.map_err(|_| Error::Silent)?
    }

    async fn dial_socket(&self, host: &name::Host, address: SocketAddr) -> Result<Socket, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let dialling = tokio_tungstenite::client_async_with_config(url, stream, Some(config()));
        let (mut socket, _) = dialling.await?;
        let identity = self.inner.identity.borrow().clone();
        handshake::dial(&mut socket, &identity, host).await?;
        Ok(socket)
    }

    async fn run(
        &self,
        socket: Socket,
        host: &name::Host,
        activity: Rc<Activity>,
        outbound: mpsc::Receiver<Message>,
    ) -> Result<(), Error> {
        let events = self.inner.events.clone();
        let up = Event { host: host.clone(), kind: Kind::Up };
        events.send(up).await.map_err(|_| Error::Closed)?;
        conn::run(socket, host.clone(), activity, outbound, events).await
    }

    fn new_link(&self) -> (Link, mpsc::Receiver<Message>) {
        let number = self.inner.next_link.get();
        self.inner.next_link.set(number + 1);
        let (outbound, receiver) = mpsc::channel(OUTBOUND_QUEUE_CAPACITY);
        let activity = Rc::new(Activity::new(self.inner.liveness, Instant::now()));
        (Link { number, outbound, activity }, receiver)
    }

    fn insert(&self, host: name::Host, link: Link) {
        self.inner.links.borrow_mut().entry(host).or_default().push(link);
    }

    async fn remove(&self, host: &name::Host, number: u64, result: Result<(), Error>) {
        {
            let mut links = self.inner.links.borrow_mut();
            if let Some(open) = links.get_mut(host) {
                open.retain(|link| link.number != number);
                if open.is_empty() {
                    links.remove(host);
                }
            }
        }
        let error = result.err().unwrap_or(Error::Closed);
        let lost = Event { host: host.clone(), kind: Kind::Lost(error) };
        // The receiver is gone only when the process stops.
        let _ = self.inner.events.send(lost).await;
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
