//! Clients that send many bodies at the same time, do not finish them, and stay open.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest time for which a client waits for the entry to read what it sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two bytes of a client that goes on.
const SEND_PAUSE: Duration = Duration::from_millis(50);

/// How the end of a body is stated.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By a length, in bytes.
    Length(usize),
    /// By chunks of this many bytes.
    Chunks(usize),
}

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Upload {
    /// Request line and headers, each with its line end, except those of the body.
    pub head: String,
    /// How the end of the body is stated.
    pub framing: Framing,
    /// Bytes of the body that are written at a time.
    pub piece: usize,
}

/// A client with one connection, which stays open until it is dropped.
pub struct Client {
    stream: Option<TcpStream>,
    upload: Upload,
    sent: usize,
    /// Whether the entry has not read for [`SEND_TIMEOUT`]. The client then sends nothing more.
    is_blocked: bool,
}

impl Client {
    /// Connects and sends the head of the request. Panics if it cannot connect, since the crowd would be smaller.
    pub async fn open(entry: SocketAddr, upload: Upload) -> Self {
        let mut client = Self::connect(entry, upload).await;
        client.write_head().await;
        client
    }

    /// Connects only. Panics if that fails.
    pub async fn connect(entry: SocketAddr, upload: Upload) -> Self {
        let stream = TcpStream::connect(entry).await.expect("a client of the crowd connects");
        Self { stream: Some(stream), upload, sent: 0, is_blocked: false }
    }

    /// Sends the head of the request.
    pub async fn write_head(&mut self) {
        let framing = match self.upload.framing {
            Framing::Length(bytes) => format!("content-length: {bytes}"),
            Framing::Chunks(_) => "transfer-encoding: chunked".to_owned(),
        };
        let head = format!("{}{framing}\r\n\r\n", self.upload.head);
        self.write(head.as_bytes()).await;
    }

    /// Sends the body up to `end`, and without the end that a chunked body needs.
    pub async fn send_up_to(&mut self, end: usize) {
        while self.sent < end && self.stream.is_some() && !self.is_blocked {
            let piece = self.upload.piece.min(end - self.sent);
            let bytes = match self.upload.framing {
                Framing::Length(_) => vec![b'x'; piece],
                Framing::Chunks(size) => chunks(piece, size),
            };
            self.write(&bytes).await;
            self.sent += piece;
            tokio::task::yield_now().await;
        }
    }

    /// Sends the marker that ends a chunked body.
    pub async fn finish(&mut self) {
        if let Framing::Chunks(_) = self.upload.framing {
            self.write(b"0\r\n\r\n").await;
        }
    }

    /// Sends a byte now and then, without end.
    pub async fn go_on(&mut self) {
        loop {
            self.write(b"x").await;
            sleep(SEND_PAUSE).await;
        }
    }

    /// Reads the head of the response, or as much of it as comes before the connection ends.
    pub async fn read_head(&mut self) -> String {
        let mut head = vec![];
        let mut buffer = [0; 1024];
        while let Some(stream) = &mut self.stream {
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => head.extend_from_slice(&buffer[..count]),
                _ => break,
            }
            if head.windows(4).any(|end| end == b"\r\n\r\n") {
                break;
            }
        }
        String::from_utf8_lossy(&head).into_owned()
    }

    /// Writes bytes as they are. The entry may have closed the connection, which is allowed.
    pub async fn write(&mut self, bytes: &[u8]) {
        let Some(stream) = self.stream.as_mut().filter(|_| !self.is_blocked) else {
            return;
        };
        match timeout(SEND_TIMEOUT, stream.write_all(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => self.stream = None,
            Err(_) => self.is_blocked = true,
        }
    }
}

/// Encodes a piece of a body in chunks of `size` bytes.
fn chunks(piece: usize, size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(piece + piece / size * 8 + 16);
    for start in (0..piece).step_by(size) {
        let length = size.min(piece - start);
        bytes.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + length, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Many clients, which stay open until this is dropped.
pub struct Crowd {
    /// The clients.
    pub clients: Vec<Client>,
}

impl Crowd {
    /// Opens `count` clients that send the same.
    pub async fn open(entry: SocketAddr, count: usize, upload: Upload) -> Self {
        let opening = (0..count).map(|_| Client::open(entry, upload.clone()));
        Self { clients: join_all(opening).await }
    }

    /// Sends all bodies up to `end`, at the same time.
    pub async fn send_up_to(&mut self, end: usize) {
        join_all(self.clients.iter_mut().map(|client| client.send_up_to(end))).await;
    }

    /// Completes the bodies of every sixth client, of which `bytes` are the length.
    pub async fn finish_some(&mut self, bytes: usize) {
        let some = self.clients.iter_mut().step_by(6);
        join_all(some.map(|client| async {
            client.send_up_to(bytes).await;
            client.finish().await;
        }))
        .await;
    }
}
