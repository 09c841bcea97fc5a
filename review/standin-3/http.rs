//! HTTP/1.1 messages over blocking sockets: reading, and what the stand-ins need to write.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns the decoded value of a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| decode(value))
    }

    /// Returns the status of a response; 0 if it is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = vec![];
    let mut i = 0;
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex.filter(|_| bytes[i] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                i += 3;
            }
            None => {
                decoded.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head; `None` if the connection ended before one began.
pub fn head(read: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if read.read_line(&mut line)? == 0 {
            return if head.start.is_empty() { Ok(None) } else { Err(early()) };
        }
        let line = line.trim_end();
        if line.is_empty() && !head.start.is_empty() {
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn request_body(read: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    body(read, head)
}

/// Reads the whole body of a response; fails if it ends early.
pub fn response_body(read: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if !head.is_chunked() && head.get("content-length").is_none() {
        let mut all = vec![];
        read.read_to_end(&mut all)?;
        return Ok(all);
    }
    body(read, head)
}

fn body(read: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut all = vec![];
    if head.is_chunked() {
        while chunk(read, &mut all)? {}
        return Ok(all);
    }
    let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    all.resize(length, 0);
    read.read_exact(&mut all)?;
    Ok(all)
}

/// Appends the next chunk; returns whether it was not the last one.
pub fn chunk(read: &mut impl BufRead, all: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    if read.read_line(&mut line)? == 0 {
        return Err(early());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| early())?;
    let from = all.len();
    all.resize(from + size, 0);
    read.read_exact(&mut all[from..])?;
    let mut end = [0; 2];
    read.read_exact(&mut end)?;
    Ok(size > 0)
}

fn early() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Formats a response with a JSON body.
pub fn json(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends one request on a connection of its own and reads the whole response.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut read = BufReader::new(stream);
    let head = head(&mut read)?.ok_or_else(early)?;
    let body = response_body(&mut read, &head)?;
    Ok((head, body))
}
