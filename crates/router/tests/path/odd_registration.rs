//! Another writer leaves odd entries among the registrations of endpoints.

use oriole_core::name;
use oriole_platform_standin::config::{KEY, MODEL_SERVICE, PLAIN_SERVICE};
use oriole_platform_standin::store::PAGE_ITEMS;
use serde_json::json;

use crate::all_events;
use crate::cluster::Cluster;

/// Depth of nested values in each field, and of the deepest ones.
const DEPTH: usize = 300;
const GREATEST_DEPTH: usize = 30_000;

/// Returns a list and an object that are nested `depth` times.
fn nested(depth: usize) -> [String; 2] {
    let list = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let object = format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    [list, object]
}

/// Returns values that no field of a registration may have.
fn odd_values() -> Vec<String> {
    let [nested, objects] = nested(DEPTH);
    let values = ["-1", "1.5e-3", "1e999", "true", "[]", "{}"].map(str::to_owned);
    [nested, objects, "9".repeat(400)].into_iter().chain(values).collect()
}

/// Returns odd values of one field only.
fn odd_values_of(field: &str) -> &'static [&'static str] {
    match field {
        "address" => &[
            "\"127.0.0.1:70000\"",
            "\"127.0.0.1:0\"",
            "\"127.0.0.1:-1\"",
            "\"a:1\"",
            "\"\"",
            "null",
        ],
        "layers" => &[
            "{\"from\":0,\"target\":4294967295}",
            "{\"from\":4294967295,\"target\":0}",
            "{\"from\":0,\"target\":1e999}",
            "{\"from\":-1,\"target\":40}",
        ],
        "slots" => &["4294967296", "\"6\"", "null"],
        "sequence" => &["18446744073709551616", "\"6\"", "null"],
        "state" => &["\"gone\"", "null"],
        _ => &["null"],
    }
}

/// Returns registrations of which each has one odd value.
fn odd_registrations() -> Vec<String> {
    let mut all: Vec<String> = ["", "[]", "null", "{", "\u{fffd}"].map(str::to_owned).into();
    all.extend(nested(GREATEST_DEPTH));
    all.extend(nested(GREATEST_DEPTH).map(|value| format!("{{\"models\":{value}}}")));
    for service in [PLAIN_SERVICE, MODEL_SERVICE] {
        let mut sound = json!({"service": service, "address": "127.0.0.1:9", "zone": "zone-0",
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 5});
        if service == MODEL_SERVICE {
            sound["kind"] = json!("large");
            sound["layers"] = json!({"from": 0, "target": 40});
        }
        let fields: Vec<String> = sound.as_object().unwrap().keys().cloned().collect();
        for field in fields {
            let specific = odd_values_of(&field).iter().map(|odd| (*odd).to_owned());
            let specific = specific.filter(|_| !["kind"].contains(&field.as_str()));
            for odd in odd_values().into_iter().chain(specific) {
                // Cold time is a number of any kind.
                if field == "cold_remaining_ms" && odd.parse::<f64>().is_ok_and(f64::is_finite) {
                    continue;
                }
                let mut entry = sound.clone();
                entry[&field] = json!("odd");
                let found = format!("\"{field}\":\"odd\"");
                all.push(entry.to_string().replace(&found, &format!("\"{field}\":{odd}")));
            }
        }
    }
    all
}

/// Guards against entries that end, or do not follow the registrations any more, because of one that is odd.
#[actix_rt::test]
async fn endpoints_are_followed_beside_odd_registrations() {
    let cluster = Cluster::new(1).await;
    for (number, text) in odd_registrations().into_iter().enumerate() {
        cluster.store.put_text(&format!("servers/odd-{number}"), &text);
    }
    for id in ["", "a b", "a\nb", "\u{e9}"] {
        let sound = json!({"service": PLAIN_SERVICE, "address": "127.0.0.1:9", "zone": "zone-0",
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 5});
        cluster.store.put(&format!("servers/{id}"), &sound);
    }
    cluster.fleet.add_plain("plain-later", "zone-0").await.unwrap();
    let knows = |c: &Cluster| {
        let inner = c.entries[0].state.inner.borrow();
        inner.view.get(&"plain-later".into()).is_some()
    };
    cluster.wait(knows).await;
    for number in 0..3 {
        let answer = cluster.entries[0].call("/draft/a", &format!("d{number}"), KEY).await;
        assert_eq!((answer.status, answer.body), (200, all_events()));
    }
    let inner = cluster.entries[0].state.inner.borrow();
    let known = inner.view.listing().endpoints.keys().map(name::Endpoint::as_str);
    let odd: Vec<&str> =
        known.filter(|id| !id.starts_with("engine-") && !id.starts_with("plain-")).collect();
    assert!(odd.is_empty(), "they name no endpoint: {odd:?}");
}

/// Guards against a listing that ends where a page does, or is read no more, since the key at the end of a page
/// means something else in the query of the next one.
#[actix_rt::test]
async fn endpoints_are_followed_beside_odd_keys_at_the_ends_of_pages() {
    let cluster = Cluster::new(1).await;
    for odd in [" ", "\u{e9}", "#", "&prefix=a", "%41", "+", "?", "\"", "\n"] {
        for number in 0..2 * PAGE_ITEMS {
            cluster.store.put_text(&format!("servers/a{odd}{number}"), "");
        }
    }
    cluster.fleet.add_plain("plain-later", "zone-0").await.unwrap();
    let later = cluster.entry(1).await;
    let knows = |_: &Cluster| {
        let inner = later.state.inner.borrow();
        inner.view.get(&"plain-later".into()).is_some()
    };
    cluster.wait(knows).await;
}
