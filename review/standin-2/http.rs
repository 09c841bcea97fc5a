//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names in lower case, with their values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Returns a decoded parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (vec![], 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that have been read and not been used.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: vec![] }
    }

    /// Opens a connection within `limit`.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn fill_some(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let field = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Head { line, fields: lines.filter_map(field).collect() });
            }
            self.fill_some()?;
        }
    }

    /// Reads exactly `count` bytes.
    pub fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill_some()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the body of a message with a length or chunks; empty if the head states neither.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
            let mut all = vec![];
            while let Some(part) = self.chunk()? {
                all.extend(part);
            }
            return Ok(all);
        }
        let length = head.field("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }

    /// Reads the next chunk; `None` at the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let part = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(part))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill_some()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut out = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n");
        let mut out = std::mem::take(&mut out).into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Listens on a loopback port that is free, and calls `serve` in a thread for each connection.
pub fn listen(serve: impl Fn(Conn) + Send + Sync + Clone + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Conn::new(stream)));
        }
    });
    Ok(address)
}

/// Returns the status of a `GET` on a connection of its own; 0 if there is none within a second.
pub fn status_of(address: SocketAddr, path: &str) -> u16 {
    let limit = Duration::from_secs(1);
    let get = || -> io::Result<u16> {
        let mut conn = Conn::open(address, limit)?;
        conn.stream.set_read_timeout(Some(limit))?;
        conn.write(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
        Ok(conn.head()?.status())
    };
    get().unwrap_or(0)
}

/// Waits until `is_done` holds or `limit` has passed, and returns whether it held.
pub fn wait_for(limit: Duration, is_done: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
