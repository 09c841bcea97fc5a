//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which a listener looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
    }

    /// Returns the status of a response; zero if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length, in chunks, or for a response without either to the end of the connection.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = vec![];
    if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if head.status() != 0 {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Serves one request on each connection until `is_closed`, from when on the port refuses connections. A
/// handler that returns `None` closes its connection without an answer.
pub fn serve(
    listener: TcpListener,
    is_closed: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(Message) -> Option<Vec<u8>> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).expect("a listener that does not block");
    thread::spawn(move || {
        while !is_closed() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                let Ok(Some(mut message)) = read_head(&mut reader) else { return };
                let Ok(body) = read_body(&mut reader, &message) else { return };
                message.body = body;
                if let Some(answer) = handle(message) {
                    let _ = writer.write_all(&answer);
                }
            });
        }
    });
}

/// Encodes a response with a length, after which the connection closes.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own, and reads the whole response within `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let Some(mut message) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    message.body = read_body(&mut reader, &message)?;
    Ok(message)
}

/// Sends a request whose body of `size` bytes takes `time`, and reads the whole response within `limit` after
/// that.
pub fn call_slowly(
    address: SocketAddr,
    head: &[u8],
    size: usize,
    time: Duration,
    limit: Duration,
) -> io::Result<Message> {
    const STEPS: usize = 20;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(head)?;
    let step = vec![b'x'; size / STEPS];
    for _ in 0..STEPS {
        writer.write_all(&step)?;
        thread::sleep(time / STEPS as u32);
    }
    let mut reader = BufReader::new(stream);
    let Some(mut message) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    message.body = read_body(&mut reader, &message)?;
    Ok(message)
}

/// Ports that are tried, below those that the system gives to outgoing connections, so that a process that
/// starts again finds its own port free.
const PORTS: std::ops::Range<u32> = 12_000..30_000;

/// The next port to be tried.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Listens on a free loopback port.
pub fn listen() -> TcpListener {
    let count = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(101) % count;
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(step < count, "no free loopback port");
        let port = PORTS.start + (first + step) % count;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener;
        }
    }
}

/// Returns a loopback address that was free just now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("the address of a listener")
}
