//! Tests of endpoints that turn a single call away and want no other one for a while, whatever the call was and
//! whether anybody waits for its answer.

use std::time::Duration;

use futures_util::future::{join, join_all, join3};
use oriole_platform_standin::back_off::{Kind, Refusal};
use oriole_platform_standin::caller::request_text;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::Cluster;
use crate::orders::with_first_at_end;

/// The users' bound: requests that may reach an endpoint from half a second after its answer until the end of its
/// wait.
const MAX_CONTACTS: usize = 2;

/// Time after the answer from which on the bound holds.
const SLACK: Duration = Duration::from_millis(500);

/// Time for which contacts are counted: less than the rest of the wait.
const BOUND_TIME: Duration = Duration::from_millis(1500);

/// Time until an endpoint answers a request whose caller leaves sooner.
const DELAY: Duration = Duration::from_millis(60);

fn engines() -> Vec<String> {
    (0..8).map(|n| format!("engine-{n}")).collect()
}

fn turn_away(cluster: &Cluster, endpoints: &[String], kind: Kind, delay: Duration) {
    for endpoint in endpoints {
        cluster.fleet.turn_away(endpoint, Refusal { kind, wait: "2.5", delay });
    }
}

/// Sends requests while one of `endpoints` turns a call away and for a while after, and checks how many calls of
/// any kind reach it in its wait.
async fn check_bound(cluster: &Cluster, path: &str, endpoints: &[String]) {
    let told = || endpoints.iter().find(|e| !cluster.fleet.will_turn_away(e));
    cluster.wait(|_| told().is_some()).await;
    let told = told().unwrap();
    sleep(SLACK).await;
    let before = cluster.fleet.contacts(told);
    let (until, mut calls) = (Instant::now() + BOUND_TIME, 0);
    while Instant::now() < until {
        let entry = &cluster.entries[0];
        let ids: Vec<String> = (0..24).map(|n| format!("later-{calls}-{n}")).collect();
        let round = join_all(ids.iter().map(|id| entry.call(path, id, KEY)));
        // Requests that wait for an endpoint go on beyond the time in which contacts are counted.
        let left = until.saturating_duration_since(Instant::now());
        let _ = timeout(left.min(Duration::from_millis(300)), round).await;
        calls += 1;
    }
    let contacts = cluster.fleet.contacts(told) - before;
    assert!(contacts <= MAX_CONTACTS, "{contacts} calls reached {told} in its wait");
}

/// Sends a request, and closes the connection before the endpoint has answered.
async fn send_and_leave(cluster: &Cluster, path: &str) {
    let text = request_text(path, "left", KEY, 20_000);
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    sleep(DELAY / 2).await;
}

#[actix_rt::test]
async fn an_engine_that_turns_a_report_away_gets_nothing_for_as_long_as_it_says() {
    // What one of three entries finds does not make an endpoint unhealthy.
    let cluster = Cluster::new(3).await;
    turn_away(&cluster, &engines(), Kind::Report, Duration::ZERO);
    // An engine that refuses a request is asked for a report.
    for engine in engines() {
        cluster.fleet.set_fault(&engine, Fault::Full);
    }
    let refused = cluster.entries[0].call("/draft/a", "refused", KEY);
    let mend = async {
        cluster.wait(|c| engines().iter().any(|e| !c.fleet.will_turn_away(e))).await;
        for engine in engines() {
            cluster.fleet.set_fault(&engine, Fault::None);
        }
    };
    let endpoints = engines();
    join3(refused, mend, check_bound(&cluster, "/draft/a", &endpoints)).await;
}

#[actix_rt::test]
async fn an_engine_that_turns_an_order_away_gets_nothing_for_as_long_as_it_says() {
    let cluster = Cluster::new(1).await;
    // The orders of the first plan are settled by then.
    sleep(Duration::from_millis(1000)).await;
    turn_away(&cluster, &engines(), Kind::Order, Duration::ZERO);
    cluster.store.put("oriole/plan", &with_first_at_end(&cluster));
    check_bound(&cluster, "/draft/a", &engines()).await;
}

#[actix_rt::test]
async fn an_engine_that_turns_a_move_away_gets_nothing_for_as_long_as_it_says() {
    const STREAMS: usize = 12;
    let cluster = Cluster::with_zones(1, 1).await;
    // Moves that find no room are tried again.
    cluster.fleet.refuse_moves();
    let ids: Vec<String> = (0..STREAMS).map(|n| format!("moved-{n}")).collect();
    let streams = join_all(ids.iter().map(|id| cluster.entries[0].call("/draft/a", id, KEY)));
    let lose = async {
        cluster.wait(|c| ids.iter().all(|id| c.fleet.path(id).is_some())).await;
        let path = cluster.fleet.path(&ids[0]).unwrap();
        let stages = path.split(',').filter_map(|part| part.split('=').next());
        let stages: Vec<_> = stages.map(|a| cluster.fleet.endpoint_at(a).unwrap()).collect();
        turn_away(&cluster, &stages[..1], Kind::Order, Duration::ZERO);
        cluster.fleet.set_fault(&stages[1], Fault::Unresponsive);
        check_bound(&cluster, "/draft/a", &stages[..1]).await;
    };
    join(streams, lose).await;
}

#[actix_rt::test]
async fn a_plain_endpoint_that_turns_a_request_away_whose_caller_has_left_gets_nothing() {
    let cluster = Cluster::new(1).await;
    let endpoints = ["plain-0".to_owned(), "plain-1".to_owned()];
    turn_away(&cluster, &endpoints, Kind::Request, DELAY);
    send_and_leave(&cluster, "/page/a").await;
    check_bound(&cluster, "/page/a", &endpoints).await;
}

#[actix_rt::test]
async fn an_engine_that_turns_a_request_away_whose_caller_has_left_gets_nothing() {
    let cluster = Cluster::new(1).await;
    turn_away(&cluster, &engines(), Kind::Request, DELAY);
    send_and_leave(&cluster, "/draft/a").await;
    check_bound(&cluster, "/draft/a", &engines()).await;
}

/// Guards against requests that were on their way to an endpoint when its refusal of another one came.
#[actix_rt::test]
async fn a_request_that_has_been_given_an_endpoint_is_not_sent_once_that_is_in_back_off() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let back_off = async {
        // Until a request holds capacity at an endpoint and has yet to open its connection.
        let target = loop {
            let chosen = ["plain-0", "plain-1"]
                .into_iter()
                .find(|id| state.inner.borrow().in_flight.own(&(*id).into()).requests > 0);
            match chosen {
                Some(id) => break id,
                None => yield_now().await,
            }
        };
        let incarnation = state.inner.borrow().view.get(&target.into()).unwrap().incarnation();
        state.record_wait(&incarnation, Duration::from_secs(2));
        target
    };
    let (answer, target) = join(cluster.entries[0].call("/page/a", "r1", KEY), back_off).await;
    assert_eq!(answer.status, 200);
    assert_eq!(cluster.fleet.arrivals(target), 0);
}
