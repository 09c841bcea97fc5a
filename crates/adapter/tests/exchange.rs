//! Exchanges over loopback with peers whose responses have unusual or broken framing.
//!
//! A response that was cut off must not count as complete, and bytes that belong to no response
//! must not reach a caller.
#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use oriole_adapter::exchange::{self, Error};
use oriole_adapter::head::Progress;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Accepts one connection, reads from it once, and passes it to `serve`.
async fn peer<F>(serve: impl FnOnce(TcpStream) -> F + 'static) -> SocketAddr
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        serve(stream).await;
    });
    address
}

async fn call(address: SocketAddr) -> Result<Bytes, Error> {
    let head = RequestHead::default();
    let response = exchange::call(address, head, Bytes::new(), 1024 * 1024, TIME_LIMIT).await;
    response.map(|(_, body)| body)
}

/// Starts a peer that sends `bytes` as its response and closes the connection.
async fn peer_sending(bytes: &'static str) -> SocketAddr {
    peer(move |mut stream| async move {
        stream.write_all(bytes.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
    })
    .await
}

/// Starts a peer that sends `bytes` as its response and resets the connection.
async fn peer_resetting(bytes: &'static str) -> SocketAddr {
    peer(move |mut stream| async move {
        stream.write_all(bytes.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    })
    .await
}

#[actix_rt::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let address = peer_sending("HTTP/1.1 200 OK\r\n\r\nall of it").await;
    assert_eq!(call(address).await.unwrap(), "all of it");
}

/// A body that ends with its connection must not count as complete if the connection is reset.
#[actix_rt::test]
async fn a_response_without_a_length_that_is_reset_is_not_complete() {
    let address = peer_resetting("HTTP/1.1 200 OK\r\n\r\npart of").await;
    assert!(matches!(call(address).await, Err(Error::Io(_))));
}

/// The version and the fate of the connection must not change how an answer without a length ends.
#[actix_rt::test]
async fn a_response_without_a_length_ends_with_its_connection_whatever_its_head_says() {
    for head in [
        "HTTP/1.0 200 OK\r\n\r\n",
        "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n",
    ] {
        let whole = format!("{head}all of it").leak();
        assert_eq!(call(peer_sending(whole).await).await.unwrap(), "all of it", "{head}");
        let reset = peer_resetting(format!("{head}part of").leak()).await;
        assert!(matches!(call(reset).await, Err(Error::Io(_))), "{head}");
        let reset_at_once = peer_resetting(head).await;
        assert!(matches!(call(reset_at_once).await, Err(Error::Io(_))), "{head}");
    }
}

#[actix_rt::test]
async fn a_response_with_a_length_ends_with_it_whatever_its_head_says() {
    for head in [
        "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\ncontent-length: 5\r\n\r\n",
    ] {
        let whole = format!("{head}wholeand more").leak();
        assert_eq!(call(peer_sending(whole).await).await.unwrap(), "whole", "{head}");
        let short = peer_sending(format!("{head}shor").leak()).await;
        assert!(matches!(call(short).await, Err(Error::Closed | Error::Body(_))), "{head}");
    }
}

/// Guards against losing the reset to the write that fails of it, after which reading sees only the
/// end of the connection. Which of the two comes first is left to chance, hence the repetitions.
#[actix_rt::test]
async fn a_response_that_is_reset_while_the_request_is_written_is_not_complete() {
    for _ in 0..20 {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut head = RequestHead::default();
        head.method = actix_http::Method::POST;
        let body = Bytes::from(vec![0; 16 * 1024 * 1024]);
        let calling = exchange::call(address, head, body, 1024, TIME_LIMIT);
        let peer = async {
            // Lets the call fill the buffers of the connection, so that it waits to write more.
            tokio::time::sleep(Duration::from_millis(50)).await;
            // Blocks the thread, so that the call sees the response and the reset at once.
            let (mut stream, _) = listener.accept().unwrap();
            std::io::Write::write_all(&mut stream, b"HTTP/1.1 200 OK\r\n\r\npart of").unwrap();
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        };
        let (result, ()) = tokio::join!(calling, peer);
        assert!(matches!(result, Err(Error::Io(_) | Error::Closed)), "{result:?}");
    }
}

/// Guards against waiting for the end of the connection, which the peer keeps open.
#[actix_rt::test]
async fn a_response_to_head_has_no_body_to_wait_for() {
    for bytes in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
        for framing in ["", "content-length: 5\r\n", "transfer-encoding: chunked\r\n"] {
            let bytes = format!("{bytes}HTTP/1.1 200 OK\r\n{framing}\r\n");
            let address = peer(move |mut stream| async move {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                tokio::time::sleep(TIME_LIMIT * 2).await;
            })
            .await;
            let mut head = RequestHead::default();
            head.method = actix_http::Method::HEAD;
            let result = exchange::call(address, head, Bytes::new(), 1024, TIME_LIMIT).await;
            assert_eq!(result.unwrap().1, "", "{framing}");
        }
    }
}

#[actix_rt::test]
async fn a_short_response_is_not_complete() {
    let address = peer_sending("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nshort").await;
    assert!(matches!(call(address).await, Err(Error::Closed | Error::Body(_))));
    let address =
        peer_sending("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n").await;
    assert!(matches!(call(address).await, Err(Error::Closed | Error::Body(_))));
}

#[actix_rt::test]
async fn bytes_after_the_response_do_not_belong_to_it() {
    let address =
        peer_sending("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n").await;
    assert_eq!(call(address).await.unwrap(), "whole");
}

#[actix_rt::test]
async fn interim_responses_are_skipped() {
    let address = peer_sending(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfinal",
    )
    .await;
    assert_eq!(call(address).await.unwrap(), "final");
}

/// Guards against waiting for the end of the connection, which the peer keeps open.
#[actix_rt::test]
async fn a_response_without_a_body_is_complete_at_once() {
    let address = peer(|mut stream| async move {
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        tokio::time::sleep(TIME_LIMIT).await;
    })
    .await;
    assert_eq!(call(address).await.unwrap(), "");
}

/// Guards against a deadlock: the peer responds and does not read the rest of a large request.
#[actix_rt::test]
async fn a_response_may_come_before_the_request_has_been_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
        stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        tokio::time::sleep(TIME_LIMIT).await;
    });
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    let body = Bytes::from(vec![0; 8 * 1024 * 1024]);
    let (head, _) = exchange::call(address, head, body, 1024, TIME_LIMIT).await.unwrap();
    assert_eq!(head.status.as_u16(), 413);
}

#[actix_rt::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(call(address).await.unwrap_err().is_not_sent());
}

/// Guards against a task that reads a body in many small pieces and lets no other task run meanwhile.
#[actix_rt::test]
async fn a_body_in_small_pieces_does_not_keep_other_tasks_from_running() {
    const PIECES: usize = 5000;
    let mut bytes = String::from("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    bytes += &"1\r\nx\r\n".repeat(PIECES);
    bytes += "0\r\n\r\n";
    let address = peer_sending(bytes.leak()).await;
    let stream = exchange::connect(address, TIME_LIMIT).await.unwrap();
    let response = exchange::send(stream, RequestHead::default(), Bytes::new()).await.unwrap();
    let mut body = response.body;
    // Lets all bytes arrive, so that reading never waits for them.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let turns = Rc::new(Cell::new(0));
    let counted = turns.clone();
    let other = actix_rt::spawn(async move {
        loop {
            counted.set(counted.get() + 1);
            tokio::task::yield_now().await;
        }
    });
    let (mut read, mut pieces) = (vec![], 0);
    while let Some(bytes) = body.next().await.unwrap() {
        read.extend_from_slice(&bytes);
        pieces += 1;
    }
    other.abort();
    assert_eq!(read, b"x".repeat(PIECES));
    assert!(turns.get() >= PIECES / 1000, "{} turns", turns.get());
    // Each piece costs the reader of a stream far more than a byte.
    assert!(pieces <= PIECES / 100, "{pieces} pieces");
}

/// Guards against chunks that are lost, or an error that is, where both arrive at once.
#[actix_rt::test]
async fn chunks_before_broken_framing_are_read_and_the_error_follows() {
    let text =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\nno length\r\n";
    let address = peer_sending(text).await;
    let stream = exchange::connect(address, TIME_LIMIT).await.unwrap();
    let response = exchange::send(stream, RequestHead::default(), Bytes::new()).await.unwrap();
    let mut body = response.body;
    let mut read = vec![];
    let error = loop {
        match body.next().await {
            Ok(Some(bytes)) => read.extend_from_slice(&bytes),
            Ok(None) => panic!("the body counts as complete"),
            Err(error) => break error,
        }
    };
    assert_eq!(read, b"abc");
    assert!(matches!(error, Error::Body(_)), "{error}");
    assert!(body.next().await.is_err());
}

/// Guards against time that grows with the square of the number of pieces in which a head comes.
#[test]
fn a_head_in_small_pieces_is_parsed_a_few_times_only() {
    for line in ["x-more: and more\r\n", "x: y\n", "\r\n", "x"] {
        let bytes = line.repeat(100_000 / line.len());
        let mut progress = Progress::default();
        let pieces = 1..=bytes.len();
        let parsed = pieces.filter(|n| progress.is_due(&bytes.as_bytes()[..*n])).count();
        assert!(parsed <= 20, "{line:?}: parsed {parsed} times");
    }
}

/// Guards against a head that is complete and not noticed, however it is cut into pieces.
#[test]
fn the_end_of_a_head_is_noticed_at_once_in_whatever_pieces_it_comes() {
    for begin in ["", "\r\n", "\n\n\r\n"] {
        for line_end in ["\r\n", "\n"] {
            let text = format!("{begin}HTTP/1.1 200 OK{line_end}a: b{line_end}{line_end}");
            for first in 0..text.len() {
                for second in first..text.len() {
                    let mut progress = Progress::default();
                    progress.is_due(&text.as_bytes()[..first]);
                    progress.is_due(&text.as_bytes()[..second]);
                    assert!(progress.is_due(text.as_bytes()), "{text:?} {first} {second}");
                }
            }
        }
    }
}

/// Guards against heads that are read wrongly since they come in pieces, and after interim ones.
#[actix_rt::test]
async fn a_head_that_comes_byte_by_byte_is_read() {
    let address = peer(|mut stream| async move {
        stream.set_nodelay(true).unwrap();
        let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
        for byte in text.as_bytes() {
            stream.write_all(&[*byte]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    assert_eq!(call(address).await.unwrap(), "whole");
}

/// Guards against a status that no answer has, which a caller would get as an answer: 101 as a head without a body on a
/// connection that it may use again, others as a number that HTTP does not have.
#[actix_rt::test]
async fn a_status_that_no_answer_has_is_a_failure() {
    for status in ["000", "099", "101", "600", "999", "1000", "20", "2000", "-20", "2x0", ""] {
        let text = format!("HTTP/1.1 {status} Any\r\ncontent-length: 5\r\n\r\nwhole").leak();
        let failed = call(peer_sending(text).await).await;
        assert!(matches!(failed, Err(Error::Head(_) | Error::NoAnswer(_))), "{status}: {failed:?}");
    }
    for status in ["200", "299", "304", "404", "429", "500", "599"] {
        let text = format!("HTTP/1.1 {status} Any\r\ncontent-length: 5\r\n\r\nwhole").leak();
        assert!(call(peer_sending(text).await).await.is_ok(), "{status}");
    }
}

/// Guards against a head that breaks off and is taken for an answer without a body.
#[actix_rt::test]
async fn a_head_that_breaks_off_anywhere_is_a_failure() {
    let heads = [
        "HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for head in heads {
        for length in 0..head.len() {
            let failed = call(peer_sending(&head[..length]).await).await;
            assert!(failed.is_err(), "{:?}: {failed:?}", &head[..length]);
        }
    }
}

/// Guards against a peer that counts as silent although it was heard of, or although this process lacks descriptors.
#[test]
fn only_a_lack_of_signs_of_the_peer_is_silence() {
    let connect = |kind: ErrorKind| Error::Connect(kind.into());
    for silence in [
        Error::Timeout,
        Error::ConnectTimeout,
        connect(ErrorKind::TimedOut),
        connect(ErrorKind::HostUnreachable),
        connect(ErrorKind::NetworkUnreachable),
    ] {
        assert!(silence.is_silence(), "{silence}");
    }
    const TOO_MANY_OPEN_FILES: i32 = 24;
    for other in [
        Error::Connect(std::io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES)),
        connect(ErrorKind::AddrNotAvailable),
        connect(ErrorKind::ConnectionRefused),
        Error::Io(ErrorKind::ConnectionReset.into()),
        Error::Closed,
        Error::Malformed,
        Error::Status(StatusCode::NOT_FOUND),
        Error::TooLong,
    ] {
        assert!(!other.is_silence(), "{other}");
    }
}
