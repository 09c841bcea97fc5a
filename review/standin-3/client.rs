//! Clients: plain requests and streams, each on a connection of its own.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::deployment::{HOST, KEY};
use crate::http::{self, Head};

/// Longest time for which a client waits for bytes.
const READ_TIME: Duration = Duration::from_secs(25);

/// One piece of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// The lines of the event but its id.
    pub text: String,
    /// Its id; 0 if it has none.
    pub id: u64,
}

/// The answer to a stream request.
#[derive(Debug, Default)]
pub struct Stream {
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The pieces in their order.
    pub pieces: Vec<Piece>,
    /// Whether the answer ended as a complete one.
    pub is_complete: bool,
}

/// Formats the head of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nOriolelanding-Request-Id: {id}\r\n\
         Oriolelanding-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{more}"
    )
}

/// Sends a request with a body, and reads the whole answer.
pub fn call(
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
    more: &str,
) -> std::io::Result<(Head, Vec<u8>)> {
    let length = format!("{more}Content-Length: {}\r\n\r\n", body.len());
    let head = request(method, path, id, deadline_ms, &length);
    let whole = [head.as_bytes(), body].concat();
    http::exchange(entry, &whole, READ_TIME)
}

/// Asks for a stream and reads it to its end.
pub fn stream(entry: SocketAddr, path: &str, id: &str, parts: &str) -> Stream {
    let mut stream = Stream::default();
    let _ = read_stream(entry, path, id, parts, &mut stream);
    stream
}

fn read_stream(
    entry: SocketAddr,
    path: &str,
    id: &str,
    parts: &str,
    stream: &mut Stream,
) -> std::io::Result<()> {
    let mut read = BufReader::new(ask_stream(entry, path, id, parts)?);
    let Some(head) = http::head(&mut read)? else { return Ok(()) };
    stream.status = head.status();
    if stream.status != 200 {
        return Ok(());
    }
    let mut all = vec![];
    let result = match head.get("transfer-encoding") {
        Some(_) => {
            let mut end = Ok(true);
            while matches!(end, Ok(true)) {
                end = http::chunk(&mut read, &mut all);
            }
            end.is_ok()
        }
        None => read.read_to_end(&mut all).is_ok(),
    };
    stream.is_complete = result;
    stream.pieces = pieces(&all);
    Ok(())
}

/// Asks for a stream, and leaves after some time whatever has come.
pub fn leave(entry: SocketAddr, path: &str, id: &str, parts: &str, patience: Duration) {
    if let Ok(socket) = ask_stream(entry, path, id, parts) {
        thread::sleep(patience);
        drop(socket);
    }
}

fn ask_stream(entry: SocketAddr, path: &str, id: &str, parts: &str) -> std::io::Result<TcpStream> {
    let body = b"prompt";
    let more = format!(
        "Oriolelanding-Model: m0\r\nOriolelanding-Token-Usage: 40,80\r\n\
         Oriolelanding-Prompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let head = request("POST", path, id, 20_000, &more);
    let mut socket = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(READ_TIME))?;
    socket.write_all(&[head.as_bytes(), body].concat())?;
    Ok(socket)
}

fn pieces(bytes: &[u8]) -> Vec<Piece> {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    let blocks = text.split("\n\n").filter(|block| !block.trim().is_empty());
    let piece = |block: &str| {
        let id = block.lines().find_map(|line| line.strip_prefix("id:"));
        let rest: Vec<&str> = block.lines().filter(|line| !line.starts_with("id:")).collect();
        let id = id.and_then(|id| id.trim().parse().ok()).unwrap_or_default();
        Piece { text: rest.join("\n"), id }
    };
    blocks.map(piece).collect()
}
