//! Tests of requests that arrive while an entry stops.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use oriole_platform_standin::caller::{self, Call};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fault;
use oriole_router::process;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::all_events;
use crate::cluster::Cluster;

/// Interval between the requests that arrive during a stop.
const INTERVAL: Duration = Duration::from_millis(150);

/// Number of requests of each kind, so that they come until the end of the grace period.
const REQUESTS: u32 = 50;

/// Returns a request whose answer is short.
fn request(id: &str) -> String {
    caller::request_text("/once/a", id, KEY, 20_000)
}

/// Reads until an answer is complete or the connection ends.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        answer.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        if count == 0 || text.contains("the whole page") || text.contains("content-length: 0") {
            return text;
        }
    }
}

#[actix_rt::test]
async fn a_request_that_is_being_read_when_idle_connections_close_is_answered() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    stream.write_all(request("first").as_bytes()).await.unwrap();
    assert!(read_answer(&mut stream).await.starts_with("HTTP/1.1 200"));
    let second = request("second");
    let (begin, rest) = second.split_at(40);
    stream.write_all(begin.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    state.stopping.set(true);
    state.exit_deadline.set(Some(state.now() + Duration::from_secs(60)));
    state.closing.set(true);
    state.closing_changed.notify_waiters();
    sleep(Duration::from_millis(100)).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// An entry does not exit while it reads a request.
#[actix_rt::test]
async fn a_request_that_is_being_read_at_the_end_of_a_stop_is_answered() {
    let cluster = Cluster::new(1).await;
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    let late = request("late");
    let (begin, rest) = late.split_at(40);
    stream.write_all(begin.as_bytes()).await.unwrap();
    let state = cluster.entries[0].state.clone();
    let stop = actix_rt::spawn(async move { process::stop(&state).await });
    sleep(Duration::from_millis(2700)).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    // The entry may end before the route's timeout, so that it may refuse the request.
    let answer = read_answer(&mut stream).await;
    let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
    assert!(is_refused || answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    stop.await.unwrap();
}

/// A request arrives after the last response, while the process only flushes its log. It must not be
/// forwarded, since the process would exit before the response is complete.
#[actix_rt::test]
async fn an_exiting_entry_refuses_requests_and_forwards_none() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    process::stop(state).await;
    // Otherwise the request's deadline, which is later than the exit, would get it refused.
    state.exit_deadline.set(Some(state.now() + Duration::from_secs(60)));
    let late = caller::call(cluster.entries[0].callers, "/once/a", "late", KEY, |_| {}).await;
    let late = late.unwrap();
    assert_eq!((late.status, late.is_complete), (503, true));
    assert!(late.retry_after.is_some());
    assert_eq!(cluster.fleet.runs("late"), Vec::<String>::new());
}

/// Stops an entry while `calls` come, and runs `disturb` meanwhile. Checks that whatever an
/// endpoint runs is answered before the entry exits.
async fn stop_while_calls_come(
    cluster: &Cluster,
    calls: fn(&str) -> Vec<Call<'_>>,
    disturb: impl Future<Output = ()>,
) {
    let entry = &cluster.entries[0];
    let stop = async {
        process::stop(&entry.state).await;
        entry.state.now()
    };
    let ids: Vec<String> = (0..REQUESTS).map(|n| format!("r{n}")).collect();
    let callers = ids.iter().zip(0..).map(|(id, n)| {
        let calls = calls(id);
        async move {
            sleep(INTERVAL * n).await;
            let sent = calls.into_iter().map(|call| call.send(entry.callers, |_| {}));
            (join_all(sent).await, entry.state.now())
        }
    });
    // Shows the entry how fast the engines are.
    for n in 0..3 {
        assert_eq!(entry.call("/draft/a", &format!("before-{n}"), KEY).await.status, 200);
    }
    let (exited, (), answers) = tokio::join!(stop, disturb, join_all(callers));
    let mut taken = 0;
    for (id, (answers, ended)) in ids.iter().zip(answers) {
        if cluster.fleet.runs(id).is_empty() {
            continue;
        }
        taken += 1;
        assert!(ended <= exited, "{id} was in progress at the exit");
        for answer in answers {
            let answer = answer.unwrap();
            assert!(answer.is_complete && matches!(answer.status, 200 | 503), "{id}: {answer:?}");
        }
    }
    assert!(taken > 0);
}

/// Guards against streams and calls that are taken late in the grace period and cut at its end, since their engines
/// are silent for a second.
#[actix_rt::test]
async fn a_request_that_is_taken_late_is_answered_before_the_exit_although_engines_fall_silent() {
    let cluster = Cluster::new(1).await;
    let silence = async {
        for pause in [Duration::from_millis(4500), Duration::from_millis(1000)] {
            sleep(pause).await;
            set_faults(&cluster, Fault::Silent);
            sleep(Duration::from_secs(1)).await;
            set_faults(&cluster, Fault::None);
        }
    };
    fn calls(id: &str) -> Vec<Call<'_>> {
        vec![Call::new("/draft/a", id, KEY), Call::new("/once/a", id, KEY)]
    }
    stop_while_calls_come(&cluster, calls, silence).await;
}

/// Guards against streams that are taken late in the grace period and cut at its end, since their callers do not
/// state how long their answers may be.
#[actix_rt::test]
async fn a_stream_of_unknown_length_that_is_taken_late_is_complete_before_the_exit() {
    let cluster = Cluster::new(1).await;
    fn calls(id: &str) -> Vec<Call<'_>> {
        vec![Call::new("/draft/a", id, KEY).without_usage()]
    }
    stop_while_calls_come(&cluster, calls, async {}).await;
}

fn set_faults(cluster: &Cluster, fault: Fault) {
    for n in 0..8 {
        cluster.fleet.set_fault(&format!("engine-{n}"), fault);
    }
}

/// Guards against requests that wait for room until the process exits, and end without an answer.
#[actix_rt::test]
async fn requests_that_wait_for_room_at_a_stopping_entry_are_refused_before_the_exit() {
    let cluster = Cluster::new(1).await;
    let mut operator = config(2, &[KEY]);
    for route in operator["routes"].as_array_mut().unwrap() {
        route["target_latency_ms"] = json!(20_000);
        route["timeout_ms"] = json!(20_000);
    }
    cluster.store.put("op/config", &operator);
    set_faults(&cluster, Fault::Draining);
    for n in 0..2 {
        cluster.fleet.set_fault(&format!("plain-{n}"), Fault::Draining);
    }
    let entry = &cluster.entries[0];
    cluster
        .wait(|_| {
            let inner = entry.state.inner.borrow();
            let grace = entry.state.drain_grace();
            let is_left = |id: &str| !inner.view.is_usable(&id.into(), grace, entry.state.now());
            let version = inner.table.as_ref().map(|table| table.version);
            version == Some(2) && is_left("plain-0") && is_left("plain-1") && entry.chains() == 0
        })
        .await;
    let stop = async {
        process::stop(&entry.state).await;
        entry.state.now()
    };
    let calls = ["/once/a", "/draft/a"].map(|path| async move {
        let answer = entry.call(path, path, KEY).await;
        (answer, entry.state.now())
    });
    let (exited, answers) = tokio::join!(stop, join_all(calls));
    for (answer, ended) in answers {
        assert_eq!((answer.status, answer.is_complete), (503, true));
        assert!(answer.retry_after.is_some() && ended <= exited);
    }
}

/// Guards against a stream that is cut when its chain breaks during a stop, since its whole answer might not end
/// before the exit. It has begun, so that another attempt is its only chance.
#[actix_rt::test]
async fn a_stream_whose_chain_breaks_during_a_stop_resumes_on_another_one() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    set_faults(&cluster, Fault::BreakStream);
    let is_stopping = Cell::new(false);
    let answer = cluster.entries[0]
        .call_while("/draft/a", "r1", KEY, |body| {
            if body.contains("id: 19\n") && !is_stopping.replace(true) {
                set_faults(&cluster, Fault::None);
                cluster.fleet.set_fault(&cluster.fleet.runs("r1")[0], Fault::BreakStream);
                state.stopping.set(true);
                state.exit_deadline.set(Some(state.now() + Duration::from_secs(1)));
                state.closing.set(true);
            }
        })
        .await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("r1").len(), 2);
}

/// Guards against an entry that is still waiting for the load balancer when its grace period ends, and is killed.
#[actix_rt::test]
async fn an_entry_exits_within_a_grace_period_that_is_shorter_than_the_notice_of_the_balancer() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let mut settings = state.settings.clone();
    settings.times.grace_ms = 2000;
    state.reload(&settings);
    tokio::select! {
        biased;
        () = process::stop(state) => {}
        () = sleep(Duration::from_millis(settings.times.grace_ms)) => panic!("killed"),
    }
}
