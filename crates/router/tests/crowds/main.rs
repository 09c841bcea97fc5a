//! Crowds of clients that do not behave. The process must live, stay within its memory and its descriptors, and
//! answer an ordinary request while they are there.
//!
//! Each test starts the entry as a process of its own, with lowered limits. One test runs at a time.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

mod cuts;
mod engines;
mod process;
mod series;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use oriole_platform_standin::caller;
use oriole_platform_standin::config::{HOST, KEY};
use oriole_platform_standin::fleet::Fault;
use oriole_standin::crowd::{Client, Crowd, Framing, Upload};
use oriole_standin::usage::{Usage, watch};
use process::{
    FILE_DESCRIPTORS, LARGE_BODY_BYTES, MAX_BODY_BYTES, MEMORY_MB, RESERVED_DESCRIPTORS, Site,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// Clients of a crowd with large bodies: twice what the memory of the process can hold.
const CLIENTS: usize = 32;

/// Clients of a crowd with many connections: more than the process has descriptors for.
const MANY_CLIENTS: usize = 700;

/// Bytes that a client sends of a body that is far over the limit.
const ENDLESS_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Time for which the process is watched after the crowd has sent everything.
const WATCH_TIME: Duration = Duration::from_secs(1);

/// Longest time that an ordinary caller waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the head of a request without the headers of its body.
pub fn head(path: &str) -> String {
    caller::upload_head(path, "crowd", KEY, 20_000)
}

/// Checks the bounds that hold whatever clients send.
fn assert_within_limits(site: &mut Site, most: Usage) {
    eprintln!("most used: {most:?}");
    assert!(site.is_running(), "the process has ended");
    let memory = MEMORY_MB * 1024 * 1024;
    assert!(most.memory <= memory, "{} bytes of memory with unread bytes", most.memory);
    assert!(most.peak_resident <= memory, "{} bytes of resident memory", most.peak_resident);
    let sockets = FILE_DESCRIPTORS - RESERVED_DESCRIPTORS;
    assert!(most.sockets <= sockets, "{} sockets and pipes", most.sockets);
    assert!(most.descriptors <= FILE_DESCRIPTORS, "{} descriptors", most.descriptors);
}

/// Checks that an ordinary request is answered.
async fn assert_serves(site: &Site, id: &str) {
    let answer = timeout(ANSWER_TIMEOUT, caller::call(site.callers, "/once/a", id, KEY, |_| {}));
    let answer = answer.await.expect("no answer in time").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "the whole page"));
}

/// Checks that a single request with a large body of legal size is answered in calm.
async fn assert_serves_large(site: &Site, framing: Framing) {
    let upload = Upload { head: head("/page/a"), framing, piece: LARGE_BODY_BYTES };
    let mut client = Client::open(site.callers, upload).await;
    client.send_up_to(LARGE_BODY_BYTES).await;
    client.finish().await;
    let head = timeout(ANSWER_TIMEOUT, client.read_head()).await.expect("no answer in time");
    assert!(head.starts_with("HTTP/1.1 200"), "{head:?}");
}

/// Lets a crowd do its work, and checks the limits during it, an ordinary request while it is there, and
/// one with a large body when it has gone.
async fn play<C>(name: &str, work: impl AsyncFnOnce(&Site) -> C) {
    let _turn = TURN.lock().await;
    let mut site = Site::start(name).await;
    let most = Rc::new(Cell::new(Usage::default()));
    let crowd = watch(|| site.usage(), &most, async {
        let crowd = work(&site).await;
        sleep(WATCH_TIME).await;
        assert_serves(&site, "ordinary").await;
        crowd
    });
    let crowd = crowd.await;
    assert_within_limits(&mut site, most.get());
    drop(crowd);
    watch(|| site.usage(), &most, async {
        sleep(WATCH_TIME).await;
        assert_serves_large(&site, Framing::Length(LARGE_BODY_BYTES)).await;
        assert_serves_large(&site, Framing::Chunks(256 * 1024)).await;
    })
    .await;
    assert_within_limits(&mut site, most.get());
}

/// Sends large bodies of legal size at the same time, of which most stop one byte before their end.
async fn play_large(name: &str, framing: Framing, piece: usize) {
    play(name, async |site| {
        let upload = Upload { head: head("/page/a"), framing, piece };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES - 1).await;
        crowd.finish_some(LARGE_BODY_BYTES).await;
        crowd
    })
    .await;
}

/// Guards against memory that grows with each large body, when each is sent whole.
#[actix_rt::test]
async fn large_bodies_that_are_sent_whole() {
    play_large("whole", Framing::Length(LARGE_BODY_BYTES), LARGE_BODY_BYTES).await;
}

/// Guards against memory that grows with each large body, when all grow side by side.
#[actix_rt::test]
async fn large_bodies_that_are_sent_piece_by_piece() {
    play_large("pieces", Framing::Length(LARGE_BODY_BYTES), 16 * 1024).await;
}

/// Guards against memory that grows with each chunked body, whose length nobody states.
#[actix_rt::test]
async fn bodies_in_large_chunks() {
    play_large("large-chunks", Framing::Chunks(256 * 1024), 256 * 1024).await;
}

/// Guards against memory that grows with each chunked body, and with the number of its chunks.
#[actix_rt::test]
async fn bodies_in_very_small_chunks() {
    play_large("small-chunks", Framing::Chunks(64), 16 * 1024).await;
}

/// Sends bodies that do not end: all reach the limit at the same time and go on.
async fn play_endless(name: &str, framing: Framing) {
    play(name, async |site| {
        let upload = Upload { head: head("/page/a"), framing, piece: 64 * 1024 };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES).await;
        crowd.send_up_to(ENDLESS_BYTES).await;
        crowd
    })
    .await;
}

/// Guards against reading a body up to the limit although its length shows that it is over it.
#[actix_rt::test]
async fn bodies_that_are_announced_far_over_the_limit() {
    play_endless("announced", Framing::Length(1024 * 1024 * 1024)).await;
}

/// Guards against memory for bodies that only turn out to be over the limit.
#[actix_rt::test]
async fn bodies_that_go_on_far_over_the_limit() {
    play_endless("endless", Framing::Chunks(64 * 1024)).await;
}

/// Guards against unread bytes of requests that follow one that is in progress.
#[actix_rt::test]
async fn large_bodies_behind_requests_in_progress() {
    play("behind", async |site| {
        for id in ["plain-0", "plain-1"] {
            site.fleet.set_fault(id, Fault::Silent);
        }
        let framing = Framing::Length(LARGE_BODY_BYTES);
        let upload = Upload { head: head("/page/a"), framing, piece: 64 * 1024 };
        let first = caller::request_text("/page/a", "first", KEY, 20_000);
        let opening = (0..CLIENTS).map(|_| Client::connect(site.callers, upload.clone()));
        let mut clients = join_all(opening).await;
        for client in &mut clients {
            client.write(first.as_bytes()).await;
        }
        let mut crowd = Crowd { clients };
        let sending = join_all(crowd.clients.iter_mut().map(|client| async {
            client.write_head().await;
            client.send_up_to(LARGE_BODY_BYTES - 1).await;
        }));
        // The entry need not read what follows a request in progress.
        let _ = timeout(WATCH_TIME, sending).await;
        for id in ["plain-0", "plain-1"] {
            site.fleet.set_fault(id, Fault::None);
        }
        crowd
    })
    .await;
}

/// Guards against answers that are kept for callers that do not read them.
#[actix_rt::test]
async fn large_answers_that_nobody_reads() {
    play("unread", async |site| {
        let mut clients = vec![];
        for n in 0..CLIENTS {
            let mut stream = TcpStream::connect(site.callers).await.unwrap();
            let request = caller::request_text("/page/big", &format!("big-{n}"), KEY, 20_000);
            stream.write_all(request.as_bytes()).await.unwrap();
            clients.push(stream);
        }
        sleep(WATCH_TIME).await;
        clients
    })
    .await;
}

/// Opens many connections that send `begin` and then nothing.
async fn play_connections(name: &str, begin: String) {
    play(name, async |site| {
        let mut clients = vec![];
        for _ in 0..MANY_CLIENTS {
            let Ok(Ok(mut stream)) = timeout(WATCH_TIME, TcpStream::connect(site.callers)).await
            else {
                continue;
            };
            // The entry may have closed the connection already.
            let _ = stream.write_all(begin.as_bytes()).await;
            clients.push(stream);
        }
        clients
    })
    .await;
}

/// Guards against using up all descriptors for connections on which nothing comes.
#[actix_rt::test]
async fn connections_on_which_nothing_comes() {
    play_connections("silent", String::new()).await;
}

/// Guards against using up all descriptors for requests that never complete their heads.
#[actix_rt::test]
async fn heads_that_are_not_completed() {
    play_connections("heads", format!("POST /page/a HTTP/1.1\r\nhost: {HOST}\r\nx: ")).await;
}

/// Guards against memory that grows with the number of small bodies, none of which is complete.
#[actix_rt::test]
async fn small_bodies_on_many_connections() {
    let head = head("/page/a") + "content-length: 100000\r\n\r\n";
    play_connections("small", head + &"x".repeat(99_999)).await;
}

/// Guards against bounds that hold one by one and not together, and against what arrives while the process stands
/// still, on connections that it has not accepted, too.
#[actix_rt::test]
async fn all_at_the_same_time_while_the_process_stands_still() {
    play("still", async |site| {
        let framing = Framing::Length(LARGE_BODY_BYTES);
        let upload = Upload { head: head("/page/a"), framing, piece: 64 * 1024 };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES - 1).await;
        let mut others = vec![];
        for n in 0..CLIENTS {
            let mut stream = TcpStream::connect(site.callers).await.unwrap();
            let request = caller::request_text("/page/big", &format!("big-{n}"), KEY, 20_000);
            // The entry may have closed the connection already.
            let _ = stream.write_all(request.as_bytes()).await;
            others.push(stream);
        }
        site.signal("STOP");
        let sending = (0..MANY_CLIENTS).map(|_| async move {
            let upload = Upload { head: head("/page/a"), framing, piece: 64 * 1024 };
            let connecting = Client::connect(site.callers, upload);
            let Ok(mut client) = timeout(WATCH_TIME, connecting).await else {
                return None;
            };
            let sending = async {
                client.write_head().await;
                client.send_up_to(LARGE_BODY_BYTES - 1).await;
            };
            // Nothing is read while the process stands still.
            let _ = timeout(WATCH_TIME, sending).await;
            Some(client)
        });
        let still = join_all(sending).await;
        site.signal("CONT");
        (crowd, others, still)
    })
    .await;
}
