//! A TCP relay that injects network faults between two processes: delays, limited rates, silent
//! connections (open, but without traffic) and closed connections.

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

/// Most bytes that are read from a connection at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Most chunks that are read but not yet written, in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// The faults of the network. Connections are numbered in the order in which they are accepted.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Connections with a lower number are silent, permanently.
    silent_below: u64,
    /// Connections with a lower number are to be closed.
    closed_below: u64,
    /// Whether all connections are silent, new ones included.
    silent: bool,
    /// Number of the next connection.
    next_number: u64,
    /// Delay of each byte.
    delay: Duration,
    /// Limit in each direction of a connection, in bytes per second; 0 for no limit.
    bytes_per_second: u64,
}

/// Switches the faults of a relay; usable from any thread. Clones act on the same relay.
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
    /// Returns a switch with no faults set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes all open connections silent, permanently; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|s| s.silent_below = s.next_number);
    }

    /// Makes all open and new connections silent. [`Switch::clear_faults`] ends this for new
    /// connections only.
    pub fn silence_all(&self) {
        self.state.send_modify(|s| s.silent = true);
    }

    /// Closes all open connections.
    pub fn close_open(&self) {
        self.state.send_modify(|s| s.closed_below = s.next_number);
    }

    /// Delays each byte and limits the rate in each direction of a connection; a rate of 0 is no
    /// limit.
    pub fn degrade(&self, delay: Duration, bytes_per_second: u64) {
        self.state.send_modify(|s| {
            s.delay = delay;
            s.bytes_per_second = bytes_per_second;
        });
    }

    /// Clears all faults. Connections that are silent or closed stay so.
    pub fn clear_faults(&self) {
        self.state.send_modify(|s| {
            // Bytes sent on a silent connection are lost, so it must not resume.
            s.silent_below = if s.silent { s.next_number } else { s.silent_below };
            s.silent = false;
            s.delay = Duration::ZERO;
            s.bytes_per_second = 0;
        });
    }

    /// Returns the number of bytes read so far, in both directions of all connections.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of a new connection.
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

    /// Waits until the connection `number` is to be closed.
    async fn wait_for_close(&self, number: u64) {
        let mut state = self.state.subscribe();
        if state.wait_for(|s| number < s.closed_below).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Accepts connections and relays them to `target` until the future is dropped. Open connections
/// outlive it.
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
        // The connection stays open, so that the caller gets no sign that it does not work.
        switch.wait_for_close(number).await;
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // With Nagle's algorithm, small frames wait for acknowledgements, which a fault may hold back.
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

/// Relays one direction of a connection until it ends.
async fn relay_direction(from: OwnedReadHalf, to: OwnedWriteHalf, switch: &Switch, number: u64) {
    let (chunks, queued) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::join!(read_chunks(from, chunks, switch), write_chunks(to, queued, switch, number));
}

/// Reads chunks and queues each with the time at which it is due for writing.
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

/// Writes queued chunks when they are due; holds them if the connection is silent.
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
    // The peer of a silent connection does not learn that it has ended, either.
    hold_if_silent(switch, number).await;
    let _ = to.shutdown().await;
}

/// Returns at once, or never if the connection is silent.
async fn hold_if_silent(switch: &Switch, number: u64) {
    if switch.is_silent(number) {
        std::future::pending::<()>().await;
    }
}
