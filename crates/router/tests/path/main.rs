//! The whole path: callers, entries, chains of engines and plain services, with faults.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

mod world;

use std::cell::Cell;

use oriole_platform_standin::caller::{self, Answer};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::{fleet, store};
use oriole_router::process;
use world::World;

/// Events of each stream of the stand-ins.
fn all_events() -> String {
    (1..=40).map(|n| format!("id: {n}\ndata: token-{n}\n\n")).collect()
}

#[actix_rt::test]
async fn a_generation_runs_once_over_a_chain() {
    let world = World::new(1).await;
    let answer = world.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    let runs = world.fleet.runs("r1");
    assert_eq!(runs.len(), 1);
    assert_eq!(answer.signature, Some(format!("of-{}", runs[0])));
    let path = world.fleet.path("r1").unwrap();
    let mut next = 0;
    for part in path.split(',') {
        let (_, layers) = part.split_once('=').unwrap();
        let (first, end) = layers.split_once('-').unwrap();
        assert_eq!(first.parse::<u32>().unwrap(), next, "{path}");
        next = end.parse().unwrap();
    }
    assert_eq!(next, 80, "{path}");
    assert_eq!(world.fleet.last_workspace().as_deref(), Some("workspace-1"));
    assert_eq!(world.fleet.last_key(), None);
}

/// Loses an endpoint of stream `r1` after its tenth event; returns the answer.
async fn lose(world: &World, endpoint: impl Fn() -> String) -> Answer {
    let lost = Cell::new(false);
    let answer = world.entries[0].call_while("/draft/a", "r1", KEY, |body| {
        if body.contains("id: 10\n") && !lost.replace(true) {
            world.fleet.set_fault(&endpoint(), fleet::Fault::Unresponsive);
        }
    });
    answer.await
}

async fn lose_second_stage(world: &World) -> Answer {
    let second = || {
        let path = world.fleet.path("r1").unwrap();
        let address = path.split(',').nth(1).unwrap().split('=').next().unwrap().to_owned();
        world.fleet.endpoint_at(&address).unwrap()
    };
    lose(world, second).await
}

/// The answer is whole, by a second run of which the caller notices nothing.
fn check_second_run(world: &World, answer: &Answer) {
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    let runs = world.fleet.runs("r1");
    assert_eq!(runs.len(), 2);
    assert_eq!(answer.signature, Some(format!("of-{}", runs[0])));
}

#[actix_rt::test]
async fn a_lost_stage_is_passed_around_without_another_run() {
    let world = World::with_zones(1, 1).await;
    let answer = lose_second_stage(&world).await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(world.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn a_stage_that_only_another_zone_could_replace_is_left_for_another_chain() {
    let world = World::new(1).await;
    let answer = lose_second_stage(&world).await;
    check_second_run(&world, &answer);
}

#[actix_rt::test]
async fn a_stream_goes_on_elsewhere_when_its_first_stage_is_lost() {
    let world = World::new(1).await;
    let answer = lose(&world, || world.fleet.runs("r1")[0].clone()).await;
    check_second_run(&world, &answer);
}

#[actix_rt::test]
async fn a_torn_event_is_read_again_elsewhere() {
    let world = World::new(1).await;
    for n in 0..8 {
        world.fleet.set_fault(&format!("engine-{n}"), fleet::Fault::BreakStream);
    }
    let mended = Cell::new(false);
    let answer = world.entries[0]
        .call_while("/draft/a", "r1", KEY, |body| {
            if body.contains("id: 19\n") && !mended.get() {
                mended.set(true);
                let first = world.fleet.runs("r1")[0].clone();
                for n in 0..8 {
                    let id = format!("engine-{n}");
                    if id != first {
                        world.fleet.set_fault(&id, fleet::Fault::None);
                    }
                }
            }
        })
        .await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(world.fleet.runs("r1").len(), 2);
}

/// A stream falls silent while others go on at its chain, and it may not run elsewhere: its engine
/// works, so its answer still comes whole.
#[actix_rt::test]
async fn a_silent_stream_that_can_run_nowhere_else_is_waited_for() {
    let world = World::new(1).await;
    let state = &world.entries[0].state;
    let mut settings = state.settings.clone();
    (settings.retries.ratio, settings.retries.fixed) = (0.0, 0.0);
    state.reload(&settings);
    for n in 0..8 {
        world.fleet.set_fault(&format!("engine-{n}"), fleet::Fault::Preempt);
    }
    // What streams of others on the same chain would note at each of their events.
    let others = async {
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            for engine in world.fleet.runs("slow") {
                let now = state.now();
                state.inner.borrow_mut().progress.insert(engine.as_str().into(), now);
            }
        }
    };
    let answer = tokio::select! {
        answer = world.entries[0].call("/draft/a", "slow", KEY) => answer,
        () = others => panic!("the others never end"),
    };
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(world.fleet.runs("slow").len(), 1);
}

#[actix_rt::test]
async fn a_call_that_may_run_once_is_not_sent_again_when_its_answer_is_lost() {
    let world = World::new(1).await;
    for id in ["plain-0", "plain-1"] {
        world.fleet.set_fault(id, fleet::Fault::ResetResponses);
    }
    let answer = world.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.signature, None);
    assert_eq!(world.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn an_idempotent_call_is_sent_elsewhere_when_its_answer_is_lost() {
    let world = World::new(1).await;
    let probe = world.entries[0].call("/page/a", "probe", KEY).await;
    assert_eq!(probe.body, "the whole page");
    let first = world.fleet.runs("probe")[0].clone();
    world.fleet.set_fault(&first, fleet::Fault::ResetResponses);
    let answer = world.entries[0].call("/page/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "the whole page"));
    assert_eq!(world.fleet.runs("r1").len(), 2);
}

#[actix_rt::test]
async fn a_refusal_is_true_and_says_when_to_come_back() {
    let world = World::new(1).await;
    for id in ["plain-0", "plain-1"] {
        world.fleet.set_fault(id, fleet::Fault::Full);
    }
    for (path, id) in [("/once/a", "r1"), ("/page/a", "r2")] {
        let answer = world.entries[0].call(path, id, KEY).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.unwrap() > 0.0);
        assert_eq!(world.fleet.runs(id), Vec::<String>::new());
    }
}

/// An entry that was held up reads requests whose callers have left meanwhile.
#[actix_rt::test]
async fn a_request_whose_caller_has_left_is_not_sent_on() {
    let world = World::new(1).await;
    for n in 0..20 {
        caller::send_and_disconnect(world.entries[0].callers, "/once/a", &format!("left-{n}"), KEY)
            .unwrap();
    }
    // All of them have been read before this one, which comes later.
    assert_eq!(world.entries[0].call("/once/a", "r1", KEY).await.status, 200);
    assert_eq!(world.entries[0].call("/once/a", "r2", KEY).await.status, 200);
    for n in 0..20 {
        assert_eq!(world.fleet.runs(&format!("left-{n}")), Vec::<String>::new());
    }
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let world = World::new(1).await;
    for id in ["plain-0", "plain-1"] {
        world.fleet.set_fault(id, fleet::Fault::WrongRequestId);
    }
    let answer = world.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.signature), (502, None));
}

#[actix_rt::test]
async fn a_leaving_endpoint_gets_nothing_new() {
    let world = World::new(1).await;
    world.fleet.set_fault("plain-0", fleet::Fault::Draining);
    world
        .wait(|w| {
            let now = w.entries[0].state.now();
            let inner = w.entries[0].state.inner.borrow();
            let grace = w.entries[0].state.drain_grace();
            !inner.view.is_usable(&"plain-0".into(), grace, now)
        })
        .await;
    for n in 0..5 {
        let id = format!("r{n}");
        world.entries[0].call("/once/a", &id, KEY).await;
        assert_eq!(world.fleet.runs(&id), ["plain-1"]);
    }
}

#[actix_rt::test]
async fn a_key_that_is_taken_away_is_refused_and_stays_so() {
    let world = World::new(1).await;
    assert_eq!(world.entries[0].call("/page/a", "r1", KEY).await.status, 200);
    assert_eq!(world.entries[0].call("/page/a", "r2", "unknown").await.status, 401);
    assert_eq!(world.entries[0].call("/nowhere/", "r3", KEY).await.status, 404);
    world.store.put("op/config", &config(2, &["another"]));
    let version = |w: &World| w.entries[0].state.inner.borrow().table.as_ref().map(|t| t.version);
    world.wait(|w| version(w) == Some(2)).await;
    assert_eq!(world.entries[0].call("/page/a", "r4", KEY).await.status, 401);
    // An older version that shows up later changes nothing.
    world.store.put("op/config", &config(1, &[KEY]));
    world.store.put("op/config", &config(3, &["another"]));
    world.wait(|w| version(w) == Some(3)).await;
    assert_eq!(world.entries[0].call("/page/a", "r5", KEY).await.status, 401);
}

#[actix_rt::test]
async fn an_entry_that_the_store_turns_away_learns_from_others() {
    let world = World::new(1).await;
    let door = world.store.add_listener().await.unwrap();
    let second = world.entry_at(1, &door).await;
    world.wait(|w| w.entries[0].state.entries() == 2 && second.state.entries() == 2).await;
    world.wait(|_| second.chains() >= 2).await;
    door.set_fault(store::Fault::Silent);
    world.store.put("op/config", &config(2, &["another"]));
    let version = || second.state.inner.borrow().table.as_ref().map(|t| t.version);
    world.wait(|_| version() == Some(2)).await;
    assert_eq!(second.call("/draft/a", "r1", KEY).await.status, 401);
    assert_eq!(second.call("/draft/a", "r2", "another").await.body, all_events());
    world.fleet.set_fault("plain-0", fleet::Fault::Draining);
    let leaves = |state: &oriole_router::state::Shared| {
        !state.inner.borrow().view.is_ready(&"plain-0".into(), state.now())
    };
    world.wait(|_| leaves(&second.state)).await;
}

#[actix_rt::test]
async fn a_plan_is_made_although_the_store_loses_answers() {
    let store = store::Store::start().await.unwrap();
    store.put("op/config", &config(1, &[KEY]));
    let fleet = fleet::Fleet::new(&store);
    for n in 0..4 {
        fleet.add_engine(&format!("engine-{n}"), "zone-0").await.unwrap();
    }
    store.set_fault(store::Fault::DropWriteResponses);
    let mut world = World { store, fleet, entries: vec![] };
    let entry = world.entry(0).await;
    world.entries.push(entry);
    world.wait(|w| w.entries[0].chains() >= 1).await;
    let answer = world.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!(answer.body, all_events());
}

#[actix_rt::test]
async fn an_entry_that_knows_no_table_refuses_without_denying() {
    let store = store::Store::start().await.unwrap();
    store.set_fault(store::Fault::Refuse(503));
    let fleet = fleet::Fleet::new(&store);
    let mut world = World { store, fleet, entries: vec![] };
    let entry = world.entry(0).await;
    world.entries.push(entry);
    assert!(!world.entries[0].is_ready().await);
    let answer = world.entries[0].call("/page/a", "r1", KEY).await;
    assert_eq!(answer.status, 503);
    world.store.put("op/config", &config(1, &[KEY]));
    world.store.set_fault(store::Fault::None);
    world.wait(|w| w.entries[0].state.is_ready()).await;
    assert!(world.entries[0].is_ready().await);
}

#[actix_rt::test]
async fn a_stream_in_progress_ends_whole_when_the_entry_stops() {
    let world = World::new(1).await;
    let state = world.entries[0].state.clone();
    let told = Cell::new(false);
    let answer = world.entries[0]
        .call_while("/draft/a", "r1", KEY, |body| {
            if body.contains("id: 5\n") && !told.get() {
                told.set(true);
                let state = state.clone();
                actix_rt::spawn(async move { process::stop(&state).await });
            }
        })
        .await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert!(!world.entries[0].is_ready().await);
}

#[actix_rt::test]
async fn an_entry_about_to_end_takes_only_what_ends_in_time() {
    let world = World::new(1).await;
    let state = world.entries[0].state.clone();
    state.stopping.set(true);
    state.closing.set(true);
    let left = std::time::Duration::from_millis;
    state.ends.set(Some(state.now() + left(50)));
    let answer = world.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(world.fleet.runs("r1"), Vec::<String>::new());
    state.ends.set(Some(state.now() + left(60_000)));
    let answer = world.entries[0].call("/draft/a", "r2", KEY).await;
    assert_eq!(answer.body, all_events());
}

/// The last requests have been answered and the process writes its last lines.
#[actix_rt::test]
async fn an_entry_that_has_ended_takes_nothing_more() {
    let world = World::new(1).await;
    let state = &world.entries[0].state;
    process::stop(state).await;
    // Else a long deadline alone would keep the call from being sent on.
    state.ends.set(Some(state.now() + std::time::Duration::from_secs(60)));
    let late = caller::call(world.entries[0].callers, "/once/a", "late", KEY, |_| {}).await;
    assert!(late.is_err(), "{late:?}");
    assert_eq!(world.fleet.runs("late"), Vec::<String>::new());
}
