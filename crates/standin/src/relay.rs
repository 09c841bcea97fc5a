//! A TCP relay that injects faults of the network between two processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that are read at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Chunks on their way in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// What the network does now.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Connections with a lower number carry nothing any more, for good.
    silent_below: u64,
    /// Connections with a lower number are closed.
    closed_below: u64,
    /// Whether new connections carry nothing either.
    silent: bool,
    /// Number of the next connection.
    next_number: u64,
    /// Time that each byte takes.
    delay: Duration,
    /// Bytes a second in each direction of a connection, 0 for no bound.
    bytes_per_second: u64,
}

/// The switch of a relay, usable from any thread. Clones share it.
#[derive(Clone, Debug)]
pub struct Switch {
    state: Arc<watch::Sender<State>>,
    bytes: Arc<AtomicU64>,
}

impl Default for Switch {
    fn default() -> Self {
        let state = Arc::new(watch::Sender::new(State::default()));
        Self { state, bytes: Arc::default() }
    }
}

impl Switch {
    /// A switch without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes all open connections go silent for good, while new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|s| s.silent_below = s.next_number);
    }

    /// Makes all open and new connections go silent; ended by [`Switch::clear_faults`], which leaves
    /// those that went silent so.
    pub fn silence_all(&self) {
        self.state.send_modify(|s| s.silent = true);
    }

    /// Closes all open connections.
    pub fn close_open(&self) {
        self.state.send_modify(|s| s.closed_below = s.next_number);
    }

    /// Makes each byte take `delay`, and bounds the rate; 0 bytes a second is no bound.
    pub fn degrade(&self, delay: Duration, bytes_per_second: u64) {
        self.state.send_modify(|s| {
            s.delay = delay;
            s.bytes_per_second = bytes_per_second;
        });
    }

    /// Lets new connections work without faults.
    pub fn clear_faults(&self) {
        self.state.send_modify(|s| {
            // What was silent has lost bytes and must not go on.
            s.silent_below = if s.silent { s.next_number } else { s.silent_below };
            s.silent = false;
            s.delay = Duration::ZERO;
            s.bytes_per_second = 0;
        });
    }

    /// Bytes that were read so far, in both directions of all connections.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn assign_number(&self) -> u64 {
        let mut number = 0;
        self.state.send_modify(|s| {
            number = s.next_number;
            s.next_number += 1;
        });
        number
    }

    fn is_silent(&self, number: u64) -> bool {
        let state = self.state.borrow();
        state.silent || number < state.silent_below
    }

    async fn wait_for_close(&self, number: u64) {
        let mut state = self.state.subscribe();
        if state.wait_for(|s| number < s.closed_below).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Relays connections to `target` until the future is dropped; open connections go on.
pub async fn serve(listener: TcpListener, target: SocketAddr, switch: Switch) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let number = switch.assign_number();
            actix_rt::spawn(relay(stream, target, switch.clone(), number));
        }
    }
}

async fn relay(stream: TcpStream, target: SocketAddr, switch: Switch, number: u64) {
    if switch.is_silent(number) {
        // The connection is held open: nothing tells the caller that it is dead.
        switch.wait_for_close(number).await;
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // Small frames must not wait for acknowledgements that the fault may hold back.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let to_upstream = relay_direction(client_read, upstream_write, &switch, number);
    let to_client = relay_direction(upstream_read, client_write, &switch, number);
    tokio::select! {
        ((), ()) = async { tokio::join!(to_upstream, to_client) } => {}
        () = switch.wait_for_close(number) => {}
    }
}

async fn relay_direction(from: OwnedReadHalf, to: OwnedWriteHalf, switch: &Switch, number: u64) {
    let (chunks, queued) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::join!(read_chunks(from, chunks, switch), write_chunks(to, queued, switch, number));
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<(Instant, Bytes)>,
    switch: &Switch,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let Ok(len) = from.read(&mut buffer).await else { return };
        let Some(read) = buffer.get(..len).filter(|read| !read.is_empty()) else { return };
        switch.bytes.fetch_add(len as u64, Ordering::Relaxed);
        let (delay, rate) = {
            let state = switch.state.borrow();
            (state.delay, state.bytes_per_second)
        };
        let due = Instant::now() + delay;
        if chunks.send((due, Bytes::copy_from_slice(read))).await.is_err() {
            return;
        }
        if rate > 0 {
            sleep(Duration::from_secs_f64(len as f64 / rate as f64)).await;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    switch: &Switch,
    number: u64,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        sleep_until(due).await;
        hold_if_silent(switch, number).await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The end of a silent connection is not passed on either.
    hold_if_silent(switch, number).await;
    let _ = to.shutdown().await;
}

async fn hold_if_silent(switch: &Switch, number: u64) {
    if switch.is_silent(number) {
        std::future::pending::<()>().await;
    }
}
