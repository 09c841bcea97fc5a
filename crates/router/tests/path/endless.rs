//! Endpoints that send bytes without end: they are read up to a bound, the connection is closed, and the
//! caller gets a failure. Callers that read without end: they are served until their deadline.

use std::time::Duration;

use futures_util::future::join_all;
use oriole_core::name;
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fleet;
use oriole_platform_standin::store::Store;
use oriole_platform_standin::unframed::Ending;
use oriole_platform_standin::{caller, fleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::all_events;
use crate::cluster::Cluster;
use crate::unframed::cluster;

/// Route of calls that may run once only, and of generations that may not resume.
const PATHS: [&str; 2] = ["/once/a", "/strict/a"];

const ENDINGS: [Ending; 5] = [
    Ending::EndlessHead,
    Ending::EndlessInterim,
    Ending::EndlessBody,
    Ending::EndlessChunkLine,
    Ending::EndlessChunks,
];

#[actix_rt::test]
async fn an_answer_without_end_is_closed_and_the_caller_gets_a_failure() {
    let cluster = cluster().await;
    let mut sent = 0;
    for ending in ENDINGS {
        cluster.fleet.set_ending(ending);
        for path in PATHS {
            let answer = cluster.entries[0].call(path, &format!("r{sent}"), KEY).await;
            // 504 would mean that the bytes were read until the deadline.
            assert_eq!((answer.status, answer.is_complete), (502, true), "{ending:?} {path}");
            sent += 1;
            cluster.wait(|c| c.fleet.ended_by_caller() == sent).await;
        }
    }
}

/// One endless body fits into memory, many at the same time would not.
#[actix_rt::test]
async fn many_answers_without_end_share_one_bound_on_memory() {
    let cluster = cluster().await;
    cluster.fleet.set_ending(Ending::EndlessBody);
    let state = cluster.entries[0].state.clone();
    let calls = (0..24).map(|n| {
        let cluster = &cluster;
        async move { cluster.entries[0].call("/once/a", &format!("r{n}"), KEY).await }
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(|a| a.status >= 500 && a.is_complete));
    let most = state.response_memory.peak();
    assert!(most > 0 && most <= 32 * 1024 * 1024, "{most} bytes");
    assert_eq!(state.response_memory.used(), 0);
}

/// Guards against partial events that are kept beside all bounds on memory: each is bounded, many at the same time
/// are not.
#[actix_rt::test]
async fn many_partial_events_share_the_bound_on_memory_of_other_answers() {
    let cluster = cluster().await;
    cluster.fleet.set_ending(Ending::PartialEvent(200_000));
    let state = cluster.entries[0].state.clone();
    let calls = (0..160).map(|n| {
        let cluster = &cluster;
        async move { cluster.entries[0].call("/strict/a", &format!("r{n}"), KEY).await }
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(|a| a.status >= 500 && a.is_complete));
    let (most, limit) = (state.response_memory.peak(), state.settings.limits.response_bytes());
    assert!(most >= limit / 2 && most <= limit, "{most} bytes of {limit}");
    assert_eq!(state.response_memory.used(), 0);
}

/// A caller that hardly reads holds its connection, and the memory of its answer, no longer than it may wait.
#[actix_rt::test]
async fn an_answer_whose_caller_reads_a_little_now_and_then_ends_soon_after_the_deadline() {
    let cluster = Cluster::new(1).await;
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    let request = caller::request_text("/page/big", "big", KEY, 1000);
    stream.write_all(request.as_bytes()).await.unwrap();
    cluster.wait(|c| !c.fleet.runs("big").is_empty()).await;
    let (mut answer, mut some) = (Vec::new(), vec![0; 128 * 1024]);
    while cluster.entries[0].state.active_requests.get() > 0 {
        let count = stream.read(&mut some).await.unwrap_or(0);
        answer.extend_from_slice(&some[..count]);
        sleep(Duration::from_millis(200)).await;
    }
    let read = stream.read_to_end(&mut answer).await;
    assert!(read.is_err() || answer.len() < fleet::BIG_BODY_BYTES, "{} bytes", answer.len());
}

/// Starts entries with two chains, of which one has engines whose responses end as `ending` states.
async fn cluster_with_faulty_chain(ending: Ending, entries: usize) -> Cluster {
    let store = Store::start().await.unwrap();
    store.put("op/config", &config(1, &[KEY]));
    let fleet = Fleet::new(&store);
    fleet.set_ending(ending);
    for n in 0..4 {
        fleet.add_unframed_engine(&format!("faulty-{n}"), "zone-0").await.unwrap();
        fleet.add_engine(&format!("sound-{n}"), "zone-1").await.unwrap();
    }
    fleet.add_plain("plain-0", "zone-0").await.unwrap();
    let mut cluster = Cluster { store, fleet, entries: vec![] };
    for n in 0..entries {
        let entry = cluster.entry(n).await;
        cluster.entries.push(entry);
    }
    cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 2)).await;
    cluster.wait(|c| c.entries.iter().all(|e| e.state.entry_count() == entries)).await;
    cluster
}

/// Sends `count` streams, each with a plain call beside it, and checks that all are served. Returns how often the
/// faulty engines were asked.
async fn arrivals_while_all_are_served(cluster: &Cluster, count: u32) -> usize {
    let calls = (0..count).map(|n| async move {
        let entry = &cluster.entries[n as usize % cluster.entries.len()];
        sleep(Duration::from_millis(40) * n).await;
        let (stream, call) = (format!("stream-{n}"), format!("call-{n}"));
        tokio::join!(entry.call("/draft/a", &stream, KEY), entry.call("/once/a", &call, KEY))
    });
    for (n, (stream, call)) in join_all(calls).await.into_iter().enumerate() {
        assert_eq!((stream.status, stream.is_complete), (200, true), "stream {n}");
        assert_eq!(stream.body, all_events());
        assert_eq!((call.status, call.is_complete), (200, true), "call {n}");
    }
    (0..4).map(|n| cluster.fleet.arrivals(&format!("faulty-{n}"))).sum()
}

/// Guards against one faulty engine that holds up all requests of an entry, since the bytes that it sends cost time
/// that grows with the square of their number.
#[actix_rt::test]
async fn requests_are_served_by_others_while_an_engine_sends_bytes_without_end() {
    let cluster = cluster_with_faulty_chain(Ending::EndlessChunks, 1).await;
    let arrivals = arrivals_while_all_are_served(&cluster, 15).await;
    assert!(arrivals > 0, "the faulty engines have not been asked");
}

/// Guards against a faulty engine that answers each request with what is no answer, which gets all requests since it
/// has always room, until the retry budget is used up.
#[actix_rt::test]
async fn a_first_stage_that_sends_no_answers_gets_few_requests() {
    for ending in [Ending::EndlessChunks, Ending::Status(101), Ending::EndlessInterim] {
        let cluster = cluster_with_faulty_chain(ending, 1).await;
        let arrivals = arrivals_while_all_are_served(&cluster, 60).await;
        assert!((1..=15).contains(&arrivals), "{ending:?}: asked {arrivals} times");
    }
}

/// Guards against entries that each find out for themselves that a first stage sends no answers, so that it gets more
/// requests, and more of the retry budget that they share, the more entries there are.
#[actix_rt::test]
async fn a_first_stage_that_sends_no_answers_gets_few_requests_of_all_entries() {
    let cluster = cluster_with_faulty_chain(Ending::Status(101), 6).await;
    let arrivals = arrivals_while_all_are_served(&cluster, 120).await;
    assert!((1..=15).contains(&arrivals), "asked {arrivals} times");
}

/// Guards against an entry that has just started and finds it out once more.
#[actix_rt::test]
async fn an_entry_that_starts_learns_which_first_stages_send_no_answers() {
    let mut cluster = cluster_with_faulty_chain(Ending::Status(101), 1).await;
    let id: name::Endpoint = "faulty-0".into();
    for _ in 0..8 {
        cluster.entries[0].state.record_no_answer(&id);
    }
    let added = cluster.entry(1).await;
    cluster.entries.push(added);
    let is_known = |c: &Cluster| {
        let state = &c.entries[1].state;
        state.inner.borrow().failures.failing(state.now()).contains(&id)
    };
    cluster.wait(is_known).await;
}
