//! Tests of endpoints that two entries could not reach for a while, and that are sound otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_platform_standin::config::{HEALTH_PATH, KEY};
use oriole_platform_standin::fleet::Fault;
use oriole_platform_standin::health::Check;
use oriole_platform_standin::unframed::Closing;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, WAIT_TIMEOUT};

/// Longest time in which the address of an endpoint counts its queue of connections as full.
const FILL_TIMEOUT: Duration = Duration::from_millis(200);

/// Time in which attempts to connect that are in progress have ended.
const ATTEMPTS_END: Duration = Duration::from_secs(1);

/// Returns how each entry finds an endpoint to be unhealthy.
fn causes(cluster: &Cluster, id: &str) -> Vec<Option<Cause>> {
    cluster.entries.iter().map(|entry| entry.state.unhealthy_cause(&id.into())).collect()
}

/// Makes all entries find an endpoint silent, as if two of them had not been able to connect to it.
fn find_silent(cluster: &Cluster, id: &str) {
    let incarnation = Incarnation { endpoint: id.into(), born: 1 };
    for entry in &cluster.entries {
        for by in &cluster.entries {
            entry.state.suspect(&incarnation, &by.state.host);
        }
    }
    assert_eq!(causes(cluster, id), vec![Some(Cause::Silent); cluster.entries.len()]);
}

/// Waits until all entries use an endpoint again.
async fn wait_until_used(cluster: &Cluster, id: &str) {
    cluster.wait(|c| causes(c, id).iter().all(Option::is_none)).await;
}

/// Waits until all entries know an endpoint.
async fn wait_until_listed(cluster: &Cluster, id: &str) {
    let is_listed = |c: &Cluster| {
        c.entries.iter().all(|e| e.state.inner.borrow().view.get(&id.into()).is_some())
    };
    cluster.wait(is_listed).await;
}

/// Checks that a plain endpoint that meets requests for reports as `closing` says is used again.
async fn check_plain(closing: Closing) {
    let cluster = Cluster::new(2).await;
    cluster.fleet.add_unframed_plain("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(closing);
    find_silent(&cluster, "raw");
    wait_until_used(&cluster, "raw").await;
}

/// Guards against a plain endpoint that no entry uses any more, since it closes the connections of requests for
/// reports, which plain endpoints do not give.
#[actix_rt::test]
async fn a_plain_endpoint_that_closes_connections_at_unknown_paths_is_used_again() {
    check_plain(Closing::UnknownPaths).await;
}

/// Guards against the same where it holds such requests.
#[actix_rt::test]
async fn a_plain_endpoint_that_holds_requests_to_unknown_paths_is_used_again() {
    check_plain(Closing::UnknownPathsLater).await;
}

/// Guards against a finding of silence that is renewed without end by closed connections, as of an endpoint that has
/// too many: nothing of a caller reaches the endpoint that could end it.
#[actix_rt::test]
async fn a_plain_endpoint_that_closes_all_connections_does_not_stay_silent() {
    check_plain(Closing::Always).await;
}

/// Guards against the same for model engines, whose requests for reports fail in this way, too.
#[actix_rt::test]
async fn an_engine_that_closes_all_connections_does_not_stay_silent() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.add_unframed_engine("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(Closing::Always);
    find_silent(&cluster, "raw");
    wait_until_used(&cluster, "raw").await;
}

/// Guards against a busy endpoint that counts as silent, since its health checks wait for a slot.
#[actix_rt::test]
async fn a_plain_endpoint_whose_health_checks_wait_for_a_slot_is_used_again() {
    let cluster = Cluster::new(2).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_health(id, Check::Waits(Duration::from_millis(600)));
        find_silent(&cluster, id);
    }
    wait_until_used(&cluster, "plain-0").await;
    wait_until_used(&cluster, "plain-1").await;
}

/// Guards against a health check that must succeed: an endpoint also rejects checks while it is full.
#[actix_rt::test]
async fn a_plain_endpoint_that_rejects_health_checks_is_used_again() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_health("plain-0", Check::Rejected);
    find_silent(&cluster, "plain-0");
    wait_until_used(&cluster, "plain-0").await;
}

/// Guards against a finding of silence that an endpoint takes back which has got the address of the silent one.
#[actix_rt::test]
async fn an_answer_of_another_endpoint_does_not_end_a_silence() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_health("plain-0", Check::OfOther);
    find_silent(&cluster, "plain-0");
    cluster.wait(|c| causes(c, "plain-0").contains(&Some(Cause::Restarted))).await;
}

/// Guards against an endpoint that is never asked again once its answers have been unclear.
#[actix_rt::test]
async fn an_engine_that_stops_closing_connections_is_used_again_by_all() {
    let cluster = Cluster::new(3).await;
    cluster.fleet.add_unframed_engine("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(Closing::Always);
    find_silent(&cluster, "raw");
    sleep(Duration::from_secs(3)).await;
    cluster.fleet.set_closing(Closing::Never);
    wait_until_used(&cluster, "raw").await;
}

/// Guards against an endpoint that all entries leave unused while two of them cannot reach it, which here is what two
/// more say.
#[actix_rt::test]
async fn an_endpoint_that_two_entries_cannot_reach_is_used_by_the_others() {
    let cluster = Cluster::new(2).await;
    let incarnation = Incarnation { endpoint: "plain-0".into(), born: 1 };
    let saying = async {
        loop {
            for (entry, by) in cluster.entries.iter().flat_map(|e| [(e, "cut-0"), (e, "cut-1")]) {
                entry.state.suspect(&incarnation, &by.into());
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let using = async {
        cluster.wait(|c| causes(c, "plain-0") == [Some(Cause::Silent); 2]).await;
        for n in 0..2 {
            cluster.wait(|c| causes(c, "plain-0")[n].is_none()).await;
        }
    };
    tokio::select! {
        () = saying => panic!("the loop of suspicions ended"),
        () = using => {}
    }
}

/// Opens an address that takes no connections, as one that is cut off: its queue is full and nobody accepts.
async fn unreachable_address() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = vec![];
    while let Ok(stream) = timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    (listener, queued)
}

/// Serves health checks, and closes all other connections.
async fn serve_health_checks(listener: TcpListener, id: &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = [0; 1024];
        let Ok(count) = stream.read(&mut head).await else {
            continue;
        };
        if head[..count].starts_with(format!("GET {HEALTH_PATH} ").as_bytes()) {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nOriolelanding-Instance-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }
}

fn register(cluster: &Cluster, id: &str, address: SocketAddr) {
    let registration = json!({"service": "plain", "address": address.to_string(), "zone": "zone-0",
        "version": "v1", "slots": 6, "state": "ready", "born": 1, "cold_remaining_ms": 0, "sequence": 1});
    cluster.store.put(&format!("servers/{id}"), &registration);
}

/// Guards against a plain service that gets no request any more after its endpoint was cut off, here with callers that
/// find it, and an endpoint that answers nothing but its health path and requests.
#[actix_rt::test]
async fn an_endpoint_that_callers_could_not_reach_is_used_again_once_it_can_be() {
    let cluster = Cluster::new(2).await;
    let (listener, queued) = unreachable_address().await;
    register(&cluster, "cut", listener.local_addr().unwrap());
    wait_until_listed(&cluster, "cut").await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, Fault::Unresponsive);
    }
    let calling = async {
        for n in 0.. {
            let id = format!("r{n}");
            let calls = cluster.entries.iter().map(|entry| entry.call("/once/a", &id, KEY));
            futures_util::future::join_all(calls).await;
        }
    };
    let finding = cluster.wait(|c| causes(c, "cut") == [Some(Cause::Silent); 2]);
    tokio::select! {
        () = calling => panic!("the calls ended"),
        () = finding => {}
    }
    sleep(ATTEMPTS_END).await;
    drop(queued);
    let serving = serve_health_checks(listener, "cut");
    tokio::select! {
        () = serving => panic!("the endpoint ended"),
        used = timeout(WAIT_TIMEOUT, wait_until_used(&cluster, "cut")) => used.unwrap(),
    }
    // What failed while it could not be reached no longer keeps requests away from it.
    for entry in &cluster.entries {
        let state = &entry.state;
        assert_eq!(state.inner.borrow().failures.weight(&"cut".into(), state.now()), 0.0);
    }
}
