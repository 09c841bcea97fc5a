//! Answers with neither a length nor chunks, which end with their connections.
//!
//! Whatever breaks off, by a reset or by its end inside an event, must not reach a caller as a
//! complete answer.

use actix_http::Method;
use oriole_platform::endpoint::{self, Acceptance};
use oriole_platform_standin::caller::{Answer, Call};
use oriole_platform_standin::config::{KEY, MODEL_SERVICE, PLAIN_SERVICE, config};
use oriole_platform_standin::engine::STREAM_OF_PLAIN;
use oriole_platform_standin::fleet::Fleet;
use oriole_platform_standin::store::Store;
use oriole_platform_standin::unframed::Ending;
use serde_json::{Value, json};

use crate::all_events;
use crate::cluster::{Cluster, WAIT_TIMEOUT};

/// Starts one entry, with endpoints whose answers end with their connections.
///
/// Besides the usual routes there are a stream that may not resume (`/strict/`), and streams of the
/// plain service that may (`/feed/`) and may not (`/feed/strict/`).
pub async fn cluster() -> Cluster {
    let store = Store::start().await.unwrap();
    let mut operator = config(1, &[KEY]);
    let routes = operator["routes"].as_array_mut().unwrap();
    let streaming = |prefix: &str, service: &str, resumable: bool| {
        let mut route: Value = routes[0].clone();
        route["name"] = json!(prefix);
        route["prefix"] = json!(prefix);
        route["service"] = json!(service);
        route["resumable"] = json!(resumable);
        route
    };
    let more = [
        streaming("/strict/", MODEL_SERVICE, false),
        streaming("/feed/", PLAIN_SERVICE, true),
        streaming("/feed/strict/", PLAIN_SERVICE, false),
    ];
    routes.extend(more);
    store.put("op/config", &operator);
    let fleet = Fleet::new(&store);
    for n in 0..8 {
        let zone = format!("zone-{}", n % 2);
        fleet.add_unframed_engine(&format!("engine-{n}"), &zone).await.unwrap();
    }
    for n in 0..2 {
        fleet.add_unframed_plain(&format!("plain-{n}"), &format!("zone-{n}")).await.unwrap();
    }
    let mut cluster = Cluster { store, fleet, entries: vec![] };
    let entry = cluster.entry(0).await;
    cluster.entries.push(entry);
    cluster.wait(|c| c.entries[0].chains() >= 2).await;
    cluster
}

/// Returns the first `count` events that each stand-in engine sends.
fn events(count: usize) -> String {
    all_events().split_inclusive("\n\n").take(count).collect()
}

/// Calls `path` while answers end with `ending`, except those that resume.
async fn call(cluster: &Cluster, path: &str, ending: Ending) -> Answer {
    cluster.fleet.set_ending(ending);
    cluster.entries[0].call(path, "r1", KEY).await
}

/// Sends request `r1` as `call` states it. Returns the status and the body of its complete answer.
async fn answer_to(cluster: &Cluster, call: Call<'_>) -> (u16, String) {
    let answer = call.send(cluster.entries[0].callers, |_| {}).await.unwrap();
    assert!(answer.is_complete);
    (answer.status, answer.body)
}

#[actix_rt::test]
async fn a_stream_without_a_length_is_complete_when_its_connection_is_closed() {
    let cluster = cluster().await;
    for path in ["/draft/a", "/strict/a"] {
        let answer = call(&cluster, path, Ending::Whole).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, all_events());
    }
    assert_eq!(cluster.fleet.runs("r1").len(), 2);
}

/// Endings of a stream that break it off after 19 events, as the engine's answer shows.
fn breaks_after_19_events() -> [Ending; 4] {
    let whole = events(19).len();
    [
        Ending::CloseAfter(whole + 1),
        Ending::CloseAfter(events(20).len() - 1),
        Ending::ResetAfter(whole),
        Ending::ResetAfter(whole + 4),
    ]
}

#[actix_rt::test]
async fn a_stream_without_a_length_that_breaks_off_resumes_on_another_chain() {
    let cluster = cluster().await;
    for (n, ending) in breaks_after_19_events().into_iter().enumerate() {
        cluster.fleet.set_ending(ending);
        let id = format!("r{n}");
        let answer = cluster.entries[0].call("/draft/a", &id, KEY).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{ending:?}");
        assert_eq!(answer.body, all_events(), "{ending:?}");
        let runs = cluster.fleet.runs(&id);
        assert_eq!(runs.len(), 2, "{ending:?}");
        assert_eq!(answer.signature, Some(format!("of-{}", runs[0])));
    }
}

#[actix_rt::test]
async fn a_stream_without_a_length_that_breaks_off_and_may_not_resume_is_not_complete() {
    let cluster = cluster().await;
    for (n, ending) in breaks_after_19_events().into_iter().enumerate() {
        cluster.fleet.set_ending(ending);
        let id = format!("r{n}");
        let answer = cluster.entries[0].call("/strict/a", &id, KEY).await;
        assert!(!answer.is_complete, "{ending:?}");
        assert_eq!(answer.body, events(19), "{ending:?}");
        assert_eq!(cluster.fleet.runs(&id).len(), 1);
    }
}

/// A stream with no event at all is no answer, whether its connection is closed or reset.
#[actix_rt::test]
async fn a_stream_without_any_event_is_not_passed_on_as_complete() {
    let cluster = cluster().await;
    for ending in [Ending::CloseAfter(0), Ending::ResetAfter(0), Ending::CloseAfter(4)] {
        let id = format!("draft {ending:?}");
        cluster.fleet.set_ending(ending);
        let answer = cluster.entries[0].call("/strict/a", &id, KEY).await;
        assert_eq!((answer.status, answer.signature), (502, None), "{ending:?}");
        assert_eq!(cluster.fleet.runs(&id).len(), 1);
    }
}

#[actix_rt::test]
async fn a_stream_without_any_event_runs_on_another_chain() {
    let cluster = cluster().await;
    cluster.fleet.set_ending(Ending::CloseAfter(0));
    let repair = async {
        cluster.wait(|c| !c.fleet.runs("r1").is_empty()).await;
        cluster.fleet.set_ending(Ending::Whole);
    };
    let (answer, ()) = tokio::join!(cluster.entries[0].call("/draft/a", "r1", KEY), repair);
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    let runs = cluster.fleet.runs("r1");
    assert!(runs.len() > 1);
    assert_eq!(answer.signature, Some(format!("of-{}", runs[runs.len() - 1])));
}

/// Engines that resume a stream which was reset after 19 events close it before any further one.
/// The caller must not take that for the end of the stream.
#[actix_rt::test]
async fn a_stream_that_resumes_without_any_event_is_not_complete() {
    let cluster = cluster().await;
    let state = &cluster.entries[0].state;
    let mut settings = state.settings.clone();
    (settings.retries.ratio, settings.retries.fixed) = (0.0, 10.0);
    state.reload(&settings);
    let answer = call(&cluster, "/draft/a", Ending::ResetThenEmpty(events(19).len())).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events(19));
    assert!(cluster.fleet.runs("r1").len() > 1);
}

/// Guards against missing the events of a stream where the method allows no body.
#[actix_rt::test]
async fn the_head_of_a_stream_is_complete_without_an_event() {
    let cluster = cluster().await;
    for path in ["/strict/a", "/feed/strict/a"] {
        let answer = answer_to(&cluster, Call::new(path, "r1", KEY).method(Method::HEAD)).await;
        assert_eq!(answer, (200, String::new()), "{path}");
    }
    assert_eq!(cluster.fleet.runs("r1").len(), 2);
}

/// Guards against refusing what an engine has left to say after a stream's last event: nothing.
#[actix_rt::test]
async fn a_stream_that_resumes_after_its_last_event_is_complete_without_a_further_one() {
    let cluster = cluster().await;
    let answer = answer_to(&cluster, Call::new("/draft/a", "r1", KEY).last_event("40")).await;
    assert_eq!(answer, (200, String::new()));
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn a_report_and_an_order_are_understood_without_a_length() {
    let cluster = cluster().await;
    call(&cluster, "/draft/a", Ending::Whole).await;
    let path = cluster.fleet.path("r1").unwrap();
    let (address, layers) = path.split(',').next().unwrap().split_once('=').unwrap();
    let address = address.parse().unwrap();
    let report = endpoint::report(address, WAIT_TIMEOUT).await.unwrap().content.unwrap();
    assert_eq!(format!("{}-{}", report.layers.first, report.layers.end), layers);
    assert!(report.orders > 0);
    let id = cluster.fleet.runs("r1")[0].as_str().into();
    let place = endpoint::place(address, &id, report.layers, report.orders, 1, WAIT_TIMEOUT);
    assert_eq!(place.await.unwrap().content.unwrap(), Acceptance::Begun);
}

#[actix_rt::test]
async fn a_plain_answer_without_a_length_is_whole_when_its_connection_is_closed() {
    let cluster = cluster().await;
    for path in ["/once/a", "/page/a"] {
        let answer = call(&cluster, path, Ending::Whole).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, "the whole page");
    }
}

#[actix_rt::test]
async fn a_plain_answer_without_a_length_that_is_reset_is_not_passed_on() {
    let cluster = cluster().await;
    for (count, id) in [(0, "r1"), (5, "r2"), ("the whole page".len(), "r3")] {
        cluster.fleet.set_ending(Ending::ResetAfter(count));
        for (path, runs) in [("/once/a", 1), ("/page/a", 2)] {
            let id = format!("{path} {id}");
            let answer = cluster.entries[0].call(path, &id, KEY).await;
            assert_eq!((answer.status, answer.signature), (502, None), "{path} {count}");
            assert_eq!(cluster.fleet.runs(&id).len(), runs);
        }
    }
}

/// Streams of services without a model are passed on as one body, and must be checked all the same.
#[actix_rt::test]
async fn a_stream_of_a_plain_service_that_breaks_off_is_not_passed_on() {
    let cluster = cluster().await;
    let first = "id: 1\ndata: first\n\n".len();
    let all = STREAM_OF_PLAIN.len();
    let endings = [
        Ending::CloseAfter(0),
        Ending::CloseAfter(first + 1),
        Ending::CloseAfter(all - 1),
        Ending::ResetAfter(first),
        Ending::ResetAfter(all),
    ];
    for ending in endings {
        for (path, runs) in [("/feed/strict/a", 1), ("/feed/a", 2)] {
            let id = format!("{path} {ending:?}");
            cluster.fleet.set_ending(ending);
            let answer = cluster.entries[0].call(path, &id, KEY).await;
            assert_eq!((answer.status, answer.signature), (502, None), "{id}");
            assert_eq!(cluster.fleet.runs(&id).len(), runs, "{id}");
        }
    }
    let answer = call(&cluster, "/feed/strict/a", Ending::Whole).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, STREAM_OF_PLAIN));
}

/// Guards against an answer with a status that no answer has, which callers would get: 101 as a head without a body on a
/// connection that they may use again, others as a number that HTTP does not have.
#[actix_rt::test]
async fn a_status_that_no_answer_has_is_not_passed_on() {
    let cluster = cluster().await;
    for status in [0, 99, 101, 600, 999, 1000] {
        for path in ["/once/a", "/page/a", "/strict/a", "/feed/strict/a"] {
            let answer = call(&cluster, path, Ending::Status(status)).await;
            assert_eq!((answer.status, answer.is_complete), (502, true), "{status} {path}");
            assert_eq!(answer.signature, None);
        }
    }
}
