//! Processes that follow the revisions while the store or peers are unreachable, documents are
//! damaged, or the store returns to older contents.

#![allow(clippy::unwrap_used)] // test helpers fail by panicking

mod revision_net;

use std::time::Duration;

use oriole_core::name::Host;
use oriole_core::revision::follower::{
    Availability, Effect, Event, Reply, Role, Settings, Version,
};
use oriole_core::revision::{Follower, Hash, Message, Relation};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use revision_net::{Net, first};

/// Time within which an accepted change becomes active on every reachable process.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(17);
/// Reads per second that the key-value service can handle.
const READS_LIMIT_PER_SECOND: usize = 2000;

fn net(entries: usize, sides: usize) -> Net {
    let mut net = Net::new(entries, sides, 7);
    net.start_all();
    net.run(ACTIVATION_LIMIT);
    net
}

fn change(net: &mut Net, workspace: usize, number: usize) -> oriole_core::revision::Head {
    let (name, text) = Net::contract(workspace, number);
    net.store.apply(&format!("change-{workspace}-{number}"), &name, &text)
}

#[test]
fn a_change_becomes_active_everywhere() {
    let mut net = net(5, 20);
    for number in 0..5 {
        let head = change(&mut net, 0, number);
        net.run(ACTIVATION_LIMIT);
        assert_eq!(net.hosts_without(&head), []);
    }
}

#[test]
fn processes_cut_off_from_the_store_fetch_from_peers() {
    let mut net = net(5, 20);
    for (index, node) in net.nodes.values_mut().enumerate() {
        node.reaches_store = index == 3;
    }
    let head = change(&mut net, 0, 0);
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
}

#[test]
fn an_entry_cut_off_from_peers_fetches_from_the_store() {
    let mut net = net(3, 3);
    net.nodes.get_mut(&Host::from("entry-1")).unwrap().reaches_peers = false;
    let head = change(&mut net, 0, 0);
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
}

#[test]
fn a_process_that_starts_in_an_outage_fetches_all_from_peers() {
    let mut net = net(3, 10);
    let head = net.store.head().unwrap();
    net.store_up = false;
    net.run(Duration::from_secs(3600));
    for host in ["entry-0", "side-4"].map(Host::from) {
        net.stop(&host);
        net.run(Duration::from_secs(1));
        net.start(&host);
    }
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
    assert_eq!(net.follower("entry-0").availability(), Availability::Down);
}

#[test]
fn a_store_with_older_contents_is_reported_and_not_followed() {
    let mut net = net(3, 10);
    let backup = net.store.clone();
    let head = change(&mut net, 0, 0);
    net.run(ACTIVATION_LIMIT);
    net.store = backup;
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
    assert_eq!(net.follower("entry-1").availability(), Availability::SetBack);
    assert!(net.follower("entry-1").counts().set_back > 0);
    // Changes on top of the older contents lack an accepted change, so they are not successors.
    for number in 5..8 {
        change(&mut net, 1, number);
        net.run(ACTIVATION_LIMIT);
    }
    assert_eq!(net.hosts_without(&head), []);
    assert!(net.follower("entry-1").counts().forks > 0);
    // A process that starts now follows its peers, whether they or the store answer first.
    for round in 0..30 {
        for host in ["entry-0", "side-3"].map(Host::from) {
            net.stop(&host);
            net.start(&host);
        }
        net.run(ACTIVATION_LIMIT);
        assert_eq!(net.hosts_without(&head), [], "start {round}");
    }
}

#[test]
fn an_adopted_revision_is_announced_to_connected_peers() {
    let settings = Settings { host: "a".into(), role: Role::Entry, seeds: [].into() };
    let now = Instant::default();
    let mut follower = Follower::new(settings, now, 1);
    for peer in ["b", "c"].map(Host::from) {
        follower.handle(now, 1, Event::Connected(peer));
    }
    let revision = first(&[("services", "")]);
    let (hash, bytes) = revision.documents.iter().next().unwrap();
    let document = Message::Document(*hash, bytes.to_vec());
    follower.handle(now, 1, Event::Message("b".into(), Message::Head((*revision.head).clone())));
    let effects = follower.handle(now, 1, Event::Message("b".into(), document));
    let announced = |e: &Effect| match e {
        Effect::Send(host, Message::Number(1)) => Some(host.clone()),
        _ => None,
    };
    // The peer that sent the revision is not notified of it.
    assert_eq!(effects.iter().filter_map(announced).collect::<Vec<_>>(), ["c".into()]);
}

#[test]
fn a_head_request_that_is_not_answered_goes_to_another_peer() {
    let settings = Settings { host: "a".into(), role: Role::Side, seeds: [].into() };
    let mut now = Instant::default();
    let mut follower = Follower::new(settings, now, 1);
    let mut asked = Vec::new();
    for peer in ["b", "c"].map(Host::from) {
        follower.handle(now, 1, Event::Message(peer, Message::Number(3)));
    }
    for _ in 0..50 {
        now = now + Duration::from_millis(100);
        for effect in follower.handle(now, 1, Event::Tick) {
            if let Effect::Send(host, Message::FetchHead) = effect {
                asked.push(host);
            }
        }
    }
    asked.sort();
    assert_eq!(asked, ["b", "c"].map(Host::from));
    assert_eq!(follower.counts().peer_timeouts, 2);
}

#[test]
fn a_repaired_store_is_followed_again() {
    let mut net = net(3, 3);
    let backup = net.store.clone();
    let lost = change(&mut net, 0, 0);
    net.run(ACTIVATION_LIMIT);
    net.store = backup;
    net.run(ACTIVATION_LIMIT);
    let text = Net::contract(0, 0).1;
    net.store.head = Some(lost.encode().unwrap());
    net.store.documents.insert(Hash::of(text.as_bytes()), text.into_bytes());
    net.store.version += 7;
    let head = change(&mut net, 1, 1);
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
    assert_eq!(net.follower("entry-1").availability(), Availability::Up);
}

#[test]
fn a_revision_with_a_damaged_document_is_not_adopted() {
    let mut net = net(3, 3);
    let good = net.store.head().unwrap();
    let (name, text) = Net::contract(0, 0);
    let head = net.store.apply("damaged", &name, &text);
    let hash = head.documents[&name];
    net.store.documents.insert(hash, text.as_bytes()[..20].to_vec());
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&good), []);
    assert!(net.follower("entry-0").counts().corrupt > 0);
    net.store.documents.remove(&hash);
    net.run(ACTIVATION_LIMIT * 4);
    assert_eq!(net.hosts_without(&good), []);
    assert!(net.follower("entry-0").counts().incomplete > 0);
    net.store.documents.insert(hash, text.into_bytes());
    net.run(ACTIVATION_LIMIT * 2);
    assert_eq!(net.hosts_without(&head), []);
}

#[test]
fn an_invalid_or_malformed_revision_keeps_the_last_valid_one_active() {
    let mut net = net(3, 3);
    let good = net.store.head().unwrap();
    net.store.apply("invalid", "models", "[m]\nlayers = 0\ncontext = 1\n");
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&good), []);
    assert!(net.follower("entry-0").counts().invalid > 0);
    let complete = net.store.head.clone().unwrap();
    for bytes in [complete[..complete.len() / 2].to_vec(), vec![b' '; 2_000_000], Vec::new()] {
        net.store.head = Some(bytes);
        net.store.version += 1;
        net.run(ACTIVATION_LIMIT);
    }
    let counts = net.follower("entry-0").counts();
    assert!(counts.corrupt >= 2 && counts.oversized >= 1);
    net.store.head = Some(complete);
    net.store.version += 1;
    let head = net.store.apply("repaired", "models", "[m]\nlayers = 1\ncontext = 1024\n");
    net.run(ACTIVATION_LIMIT);
    assert_eq!(net.hosts_without(&head), []);
}

#[test]
fn a_diverged_head_and_an_unrequested_reply_are_ignored() {
    let net = Net::new(1, 0, 1);
    let old = net.store.head().unwrap();
    let settings = Settings { host: "a".into(), role: Role::Side, seeds: [].into() };
    let current = first(&[("services", "[status-app]\n")]);
    let now = Instant::default();
    let mut follower = Follower::new(settings, now, 1).with_revision(current);
    let fork = Event::Message("b".into(), Message::Head(old));
    let effects = follower.handle(now, 1, fork);
    assert!(effects.iter().all(|e| !matches!(e, Effect::Adopt(_))));
    assert_eq!((follower.number(), follower.counts().forks), (1, 1));
    let unrequested = Event::Kv(Reply::Head(Version(1), Vec::new()));
    follower.handle(now, 2, unrequested);
    assert_eq!(follower.counts().corrupt, 0);
}

#[test]
fn the_read_limit_of_the_store_holds_when_all_processes_restart() {
    let mut net = net(20, 350);
    for workspace in 0..16 {
        change(&mut net, workspace, 0);
    }
    net.run(ACTIVATION_LIMIT);
    net.calls.clear();
    net.run(Duration::from_secs(60));
    println!("steady: {} calls in 60 s, busiest second {}", net.calls.len(), net.busiest_second());
    assert!(net.calls.iter().all(|(_, role)| *role == Role::Entry), "a side polled");
    net.calls.clear();
    net.store_up = false;
    for host in net.hosts() {
        net.stop(&host);
    }
    net.run(Duration::from_secs(1));
    net.start_all();
    net.run(Duration::from_secs(60));
    assert!(net.nodes.values().all(|n| n.adopted.is_empty()));
    net.store_up = true;
    let head = net.store.head().unwrap();
    let from = net.now;
    net.run(ACTIVATION_LIMIT);
    println!("restart: {} calls in 17 s, busiest second {}", net.calls.len(), net.busiest_second());
    assert!(net.busiest_second() <= READS_LIMIT_PER_SECOND);
    assert_eq!(net.hosts_without(&head), []);
    let sides = net.nodes.values().filter(|n| n.role == Role::Side);
    let reads = sides.filter_map(|n| n.follower.as_ref()).map(|f| f.counts().reads).sum::<u64>();
    println!("sides read documents {reads} times");
    assert!(reads <= 35, "more than a tenth of the sides did not wait for the entries");
    let last = net.nodes.values().flat_map(|n| n.adopted.last()).map(|(at, _)| *at).max().unwrap();
    println!("active everywhere {:?} after the service came back", last.since(from));
}

#[derive(Clone, Debug)]
enum Action {
    Change(usize, usize),
    StoreDown,
    StoreUp,
    Restart(prop::sample::Index),
    Partition(prop::sample::Index, bool, bool),
    SetBack,
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..4usize, 0..1000usize).prop_map(|(w, n)| Action::Change(w, n)),
        1 => Just(Action::StoreDown),
        1 => Just(Action::StoreUp),
        2 => any::<prop::sample::Index>().prop_map(Action::Restart),
        2 => (any::<prop::sample::Index>(), any::<bool>(), any::<bool>())
            .prop_map(|(i, s, p)| Action::Partition(i, s, p)),
        1 => Just(Action::SetBack),
        3 => (1..20_000u64).prop_map(Action::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 96,
        ..ProptestConfig::default()
    })]

    /// Random outages, partitions, restarts and rollbacks of the store. Guards against a process
    /// that adopts a revision which lacks changes of the one before, and against an accepted change
    /// that does not become active everywhere in time once all connections are restored, unless
    /// the store returned to older contents.
    #[test]
    fn no_process_returns_to_an_older_revision(
        actions in prop::collection::vec(action(), 0..25),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(3, 5, seed);
        net.start_all();
        net.run(ACTIVATION_LIMIT);
        let backup = net.store.clone();
        let (mut set_back, mut serial) = (false, 0);
        for action in actions {
            let pick = |i: &prop::sample::Index, net: &Net| i.get(&net.hosts()).clone();
            match action {
                Action::Change(workspace, number) => {
                    serial += 1;
                    let (name, text) = Net::contract(workspace, number + 1000 * serial);
                    net.store.apply(&format!("c{serial}"), &name, &text);
                }
                Action::StoreDown => net.store_up = false,
                Action::StoreUp => net.store_up = true,
                Action::Restart(index) => {
                    let host = pick(&index, &net);
                    net.stop(&host);
                    net.start(&host);
                }
                Action::Partition(index, store, peers) => {
                    let host = pick(&index, &net);
                    let node = net.nodes.get_mut(&host).unwrap();
                    (node.reaches_store, node.reaches_peers) = (store, peers);
                }
                Action::SetBack => {
                    set_back = true;
                    net.store = backup.clone();
                }
                Action::Wait(ms) => net.run(Duration::from_millis(ms)),
            }
        }
        net.store_up = true;
        for node in net.nodes.values_mut() {
            (node.reaches_store, node.reaches_peers) = (true, true);
        }
        net.run(ACTIVATION_LIMIT);
        for (host, node) in &net.nodes {
            for pair in node.adopted.windows(2) {
                let relation = pair[1].1.relation(&pair[0].1);
                prop_assert_eq!(relation, Relation::Successor, "{} adopted an older revision", host);
            }
        }
        if !set_back {
            let head = net.store.head().unwrap();
            prop_assert_eq!(net.hosts_without(&head), vec![]);
        }
    }
}
