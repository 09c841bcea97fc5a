//! Tests of orders to endpoints that are still carrying one out, and of moves that are refused.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::cluster::{Cluster, Entry};

/// Returns the plan that the store holds, but with the first endpoint of each chain at its end and with so many
/// layers there that it cannot hold them beside its present ones.
fn with_first_at_end(cluster: &Cluster) -> serde_json::Value {
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
