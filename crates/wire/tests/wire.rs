//! Connections between processes: authentication, loss, silence, and malformed input.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use oriole_core::message::{Cancel, Message};
use oriole_core::request::Id;
use oriole_core::revision;
use oriole_standin::relay;
use oriole_wire::conn::Liveness;
use oriole_wire::frame::{self, Frame, Hello};
use oriole_wire::handshake::Identity;
use oriole_wire::hub::{Event, Kind, Settings};
use oriole_wire::{Error, Hub};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;
use tokio_tungstenite::tungstenite::Message as Packet;

const LIVENESS: Liveness = Liveness {
    busy_heartbeat: Duration::from_millis(20),
    busy_silence: Duration::from_millis(500),
    idle_heartbeat: Duration::from_secs(1),
    idle_silence: Duration::from_secs(60),
    busy_period: Duration::from_secs(10),
    connect_timeout: Duration::from_secs(1),
};

struct Node {
    hub: Hub,
    events: Receiver<Event>,
    address: SocketAddr,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn node(host: &str, secret: &str) -> Node {
    let identity = Identity::new(host.into(), secret.as_bytes().to_vec());
    let (hub, events) = Hub::new(Settings { identity, liveness: LIVENESS });
    let (listener, address) = listen().await;
    hub.listen(listener);
    Node { hub, events, address }
}

fn cancel(seq: u64) -> Message {
    Message::Cancel(Cancel { request: Id { host: 1, boot: 2, seq }, attempt: 1 })
}

async fn next(node: &mut Node) -> Kind {
    node.events.recv().await.unwrap().kind
}

/// Returns the next message; skips other events.
async fn message(node: &mut Node) -> Message {
    loop {
        if let Kind::Message(message) = next(node).await {
            return message;
        }
    }
}

/// Returns the error of the next connection that is lost; skips other events.
async fn lost(node: &mut Node) -> Error {
    loop {
        if let Kind::Lost(error) = next(node).await {
            return error;
        }
    }
}

#[actix_rt::test]
async fn carries_messages_in_order_both_ways() {
    let (mut a, mut b) = (node("a", "s").await, node("b", "s").await);
    for seq in 0..500 {
        assert!(a.hub.send(&"b".into(), Some(b.address), cancel(seq)));
    }
    for seq in 0..500 {
        assert_eq!(message(&mut b).await, cancel(seq));
    }
    assert!(b.hub.send(&"a".into(), None, cancel(7)));
    assert_eq!(message(&mut a).await, cancel(7));
}

#[actix_rt::test]
async fn send_returns_false_without_a_connection_or_an_address() {
    let a = node("a", "s").await;
    assert!(!a.hub.send(&"b".into(), None, cancel(1)));
}

#[actix_rt::test]
async fn refuses_a_peer_that_does_not_know_the_secret() {
    let (mut a, b) = (node("a", "wrong").await, node("b", "s").await);
    a.hub.send(&"b".into(), Some(b.address), cancel(1));
    assert!(matches!(lost(&mut a).await, Error::Unauthenticated));
    assert!(b.hub.hosts().is_empty());
}

/// Guards against a process that is shut out, since it has not heard that the secret was replaced.
#[actix_rt::test]
async fn a_process_that_knows_the_new_secret_reaches_one_that_knows_the_one_before() {
    let (mut a, mut b) = (node("a", "first").await, node("b", "first").await);
    a.hub.set_secret(b"second".to_vec());
    a.hub.send(&"b".into(), Some(b.address), cancel(1));
    assert!(matches!(next(&mut b).await, Kind::Up));
    assert!(matches!(next(&mut b).await, Kind::Message(_)));
    assert!(matches!(next(&mut a).await, Kind::Up));
    let mut c = node("c", "other").await;
    a.hub.send(&"c".into(), Some(c.address), cancel(1));
    assert!(matches!(next(&mut a).await, Kind::Lost(Error::Unauthenticated)));
    assert!(c.events.try_recv().is_err());
}

/// A stale or wrong address may lead to another host that knows the same secret.
#[actix_rt::test]
async fn refuses_a_peer_that_is_another_host() {
    let (mut a, b) = (node("a", "s").await, node("b", "s").await);
    a.hub.send(&"c".into(), Some(b.address), cancel(1));
    assert!(matches!(lost(&mut a).await, Error::Unauthenticated));
}

#[actix_rt::test]
async fn refuses_another_version_and_malformed_frames() {
    let b = node("b", "s").await;
    let hello = Hello { version: 999, host: "a".into(), nonce: [0; 16] };
    for bytes in [frame::encode(&Frame::Hello(hello)).unwrap(), b"GET".to_vec()] {
        let stream = TcpStream::connect(b.address).await.unwrap();
        let url = format!("ws://{}/", b.address);
        let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
        socket.send(Packet::Binary(bytes.into())).await.unwrap();
        // The accepting end closes the connection without sending a frame.
        assert!(!matches!(socket.next().await, Some(Ok(Packet::Binary(_)))));
        assert!(b.hub.hosts().is_empty());
    }
}

/// Guards against waiting for ever on a connection whose packets are lost: the network reports no
/// error, so only missing heartbeats reveal it. The relay keeps the old connection open and passes
/// nothing on.
#[actix_rt::test]
async fn abandons_a_silent_connection_and_opens_a_new_one() {
    let (mut a, mut b) = (node("a", "s").await, node("b", "s").await);
    let (listener, between) = listen().await;
    let switch = relay::Switch::new();
    actix_rt::spawn(relay::serve(listener, b.address, switch.clone()));
    a.hub.send(&"b".into(), Some(between), cancel(1));
    assert_eq!(message(&mut b).await, cancel(1));
    switch.silence_open();
    a.hub.send(&"b".into(), Some(between), cancel(2));
    assert!(matches!(lost(&mut a).await, Error::Silent));
    a.hub.send(&"b".into(), Some(between), cancel(3));
    assert_eq!(message(&mut b).await, cancel(3));
}

#[actix_rt::test]
async fn heartbeats_keep_a_busy_connection_without_messages_open() {
    let (mut a, mut b) = (node("a", "s").await, node("b", "s").await);
    a.hub.send(&"b".into(), Some(b.address), cancel(1));
    assert_eq!(message(&mut b).await, cancel(1));
    tokio::time::sleep(LIVENESS.busy_silence * 3).await;
    b.hub.send(&"a".into(), None, cancel(2));
    assert_eq!(message(&mut a).await, cancel(2));
}

#[actix_rt::test]
async fn closing_sends_queued_messages_first() {
    let (a, mut b) = (node("a", "s").await, node("b", "s").await);
    for seq in 0..100 {
        a.hub.send(&"b".into(), Some(b.address), cancel(seq));
    }
    a.hub.close();
    for seq in 0..100 {
        assert_eq!(message(&mut b).await, cancel(seq));
    }
    assert!(matches!(lost(&mut b).await, Error::Closed));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    }
}

fn valid() -> impl Strategy<Value = Frame> {
    let messages = prop_oneof![
        any::<u64>().prop_map(cancel),
        any::<u64>().prop_map(|n| Message::Revision(revision::Message::Number(n))),
        proptest::collection::vec(any::<u8>(), 0..64).prop_map(|bytes| Message::Revision(
            revision::Message::Document(revision::Hash([7; 32]), bytes)
        )),
    ];
    proptest::collection::vec(messages, 0..5).prop_map(Frame::Batch)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decodes_what_was_encoded(frame in valid()) {
        let bytes = frame::encode(&frame).unwrap();
        prop_assert_eq!(frame::decode(&bytes).unwrap(), frame);
    }

    #[test]
    fn arbitrary_bytes_are_a_frame_or_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..512),
    ) {
        if let Ok(decoded) = frame::decode(&bytes) {
            prop_assert!(frame::encode(&decoded).is_ok());
        }
    }

    #[test]
    fn a_damaged_frame_is_a_frame_or_an_error(
        frame in valid(),
        at in any::<proptest::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<proptest::sample::Index>(),
    ) {
        let mut bytes = frame::encode(&frame).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);
        if let Ok(decoded) = frame::decode(&bytes) {
            // A process may pass on any frame that it accepts.
            prop_assert!(frame::encode(&decoded).is_ok());
        }
    }
}
