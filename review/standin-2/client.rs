//! Clients that follow the pages.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Conn;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A complete answer.
    Answer(u16),
    /// A complete stream with this number of events.
    Stream(u64),
    /// The connection ended before the answer began.
    NoAnswer,
    /// The connection ended in the answer.
    Cut,
    /// No connection could be opened.
    NoConnection,
}

/// A request to send.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub fields: &'a str,
    pub body: &'a [u8],
    pub deadline: Duration,
}

impl Request<'_> {
    /// Returns the bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { id, method, path, fields, body, deadline } = self;
        let (deadline, length) = (deadline.as_millis(), body.len());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: site.example\r\nOriolelanding-Request-Id: {id}\r\nOriolelanding-Deadline-Ms: {deadline}\r\nApi-Key: key-1\r\n{fields}Content-Length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn send(front: SocketAddr, request: &Request<'_>) -> End {
    match Conn::open(front, Duration::from_secs(1)) {
        Ok(mut conn) => send_on(&mut conn, request).0,
        Err(_) => End::NoConnection,
    }
}

/// Sends a request on a connection and reads its answer. Also returns whether the connection may be used again.
pub fn send_on(conn: &mut Conn, request: &Request<'_>) -> (End, bool) {
    if conn.write(&request.bytes()).is_err() {
        return (End::NoAnswer, false);
    }
    let _ = conn.stream.set_read_timeout(Some(request.deadline + Duration::from_secs(1)));
    let Ok(head) = conn.head() else {
        return (End::NoAnswer, false);
    };
    let may_stay = !head.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let is_chunked = head.field("transfer-encoding").is_some();
    if !is_chunked {
        return match conn.body(&head) {
            Ok(_) => (End::Answer(head.status()), may_stay),
            Err(_) => (End::Cut, false),
        };
    }
    match events(conn) {
        Ok(count) => (End::Stream(count), may_stay),
        Err(_) => (End::Cut, false),
    }
}

fn events(conn: &mut Conn) -> io::Result<u64> {
    let mut text = vec![];
    while let Some(part) = conn.chunk()? {
        text.extend(part);
    }
    Ok(text.windows(2).filter(|pair| pair == b"\n\n").count() as u64)
}
