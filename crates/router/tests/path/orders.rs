//! Tests of orders to endpoints that are still carrying one out, and of moves that are refused.

use std::time::Duration;

use oriole_platform_standin::caller::Call;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::{Cluster, Entry};

/// Returns the plan that the store holds, but with the first endpoint of each chain at its end and with so many
/// layers there that it cannot hold them beside its present ones.
pub fn with_first_at_end(cluster: &Cluster) -> serde_json::Value {
    const LAYERS: u64 = 80;
    const LAST: u64 = 30;
    let mut plan = cluster.store.get("oriole/plan").unwrap();
    plan["number"] = json!(plan["number"].as_u64().unwrap() + 1);
    for chain in plan["services"]["model"].as_array_mut().unwrap() {
        let stages = chain["stages"].as_array_mut().unwrap();
        stages.rotate_left(1);
        let others = stages.len() as u64 - 1;
        for (stage, number) in stages.iter_mut().zip(0..) {
            let bound = |number: u64| (LAYERS - LAST) * number / others;
            let end = if number == others { LAYERS } else { bound(number + 1) };
            stage["layers"] = json!({"first": bound(number), "end": end});
        }
    }
    plan
}

/// Returns whether all endpoints hold the layers of the plan in force, as an entry knows it.
fn holds_plan(entry: &Entry) -> bool {
    let inner = entry.state.inner.borrow();
    let stages = inner.plans[0].services.values().flatten().flat_map(|chain| &chain.stages);
    let held = |id| inner.view.get(id).map(|endpoint| endpoint.layers);
    stages.into_iter().all(|stage| held(&stage.endpoint) == Some(stage.layers))
}

/// Layers that are given up wait for the requests that pass through them, and the endpoint takes no other
/// order meanwhile.
#[actix_rt::test]
async fn an_endpoint_that_carries_an_order_out_gets_no_other_one() {
    let cluster = Cluster::new(3).await;
    sleep(Duration::from_millis(1000)).await;
    let before = cluster.fleet.refused_orders();
    cluster.fleet.set_order_time(Duration::from_millis(3500));
    let plan = with_first_at_end(&cluster);
    cluster.store.put("oriole/plan", &plan);
    let number = plan["number"].as_u64().unwrap();
    let has_plan = |c: &Cluster| {
        let number_of = |e: &Entry| e.state.inner.borrow().plans[0].number;
        c.entries.iter().all(|e| number_of(e) >= number)
    };
    cluster.wait(has_plan).await;
    cluster.wait(|c| c.entries.iter().all(holds_plan)).await;
    assert_eq!(cluster.fleet.refused_orders() - before, 0);
}

/// A stage without room is asked for by few requests, not by each of them ten times a second.
#[actix_rt::test]
async fn moves_to_a_stage_without_room_are_not_tried_again_and_again() {
    const REQUESTS: usize = 12;
    const MAX_TRIES: usize = 3;
    let cluster = Cluster::with_zones(1, 1).await;
    let entry = cluster.entries[0].callers;
    cluster.fleet.refuse_moves();
    let before = cluster.fleet.refused_orders();
    let calls = (1..=REQUESTS).map(|number| async move {
        let id = format!("r{number}");
        Call::new("/draft/a", &id, KEY).send(entry, |_| {}).await.unwrap()
    });
    let lose = async {
        cluster.wait(|c| (1..=REQUESTS).all(|n| c.fleet.path(&format!("r{n}")).is_some())).await;
        sleep(Duration::from_millis(200)).await;
        let path = cluster.fleet.path("r1").unwrap();
        let second = path.split(',').nth(1).and_then(|part| part.split('=').next()).unwrap();
        let second = cluster.fleet.endpoint_at(second).unwrap();
        cluster.fleet.set_fault(&second, Fault::Unresponsive);
    };
    let (answers, ()) =
        futures_util::future::join(futures_util::future::join_all(calls), lose).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    let refused = cluster.fleet.refused_orders() - before;
    assert!(refused > 0 && refused <= MAX_TRIES * REQUESTS, "{refused} moves refused");
}
