//! Processes that follow the revisions, through outages, losses and a store that goes back.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

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

/// An accepted change is in force on every reachable process within this time.
const IN_FORCE: Duration = Duration::from_secs(17);
/// Reads a second that the key-value service handles.
const READS_PER_SECOND: usize = 2000;

fn net(entries: usize, sides: usize) -> Net {
    let mut net = Net::new(entries, sides, 7);
    net.start_all();
    net.run(IN_FORCE);
    net
}

fn change(net: &mut Net, workspace: usize, number: usize) -> oriole_core::revision::Head {
    let (name, text) = Net::contract(workspace, number);
    net.store.apply(&format!("change-{workspace}-{number}"), &name, &text)
}

#[test]
fn a_change_is_in_force_everywhere() {
    let mut net = net(5, 20);
    for number in 0..5 {
        let head = change(&mut net, 0, number);
        net.run(IN_FORCE);
        assert_eq!(net.without(&head), []);
    }
}

#[test]
fn processes_cut_off_from_the_service_learn_from_peers() {
    let mut net = net(5, 20);
    for (index, node) in net.nodes.values_mut().enumerate() {
        node.reaches_store = index == 3;
    }
    let head = change(&mut net, 0, 0);
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
}

#[test]
fn an_entry_cut_off_from_peers_learns_from_the_service() {
    let mut net = net(3, 3);
    net.nodes.get_mut(&Host::from("entry-1")).unwrap().reaches_peers = false;
    let head = change(&mut net, 0, 0);
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
}

#[test]
fn a_process_that_starts_in_an_outage_gets_all_from_peers() {
    let mut net = net(3, 10);
    let head = net.store.head().unwrap();
    net.store_up = false;
    net.run(Duration::from_secs(3600));
    for host in ["entry-0", "side-4"].map(Host::from) {
        net.stop(&host);
        net.run(Duration::from_secs(1));
        net.start(&host);
    }
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
    assert_eq!(net.follower("entry-0").availability(), Availability::Down);
}

#[test]
fn a_store_that_went_back_is_counted_and_not_followed() {
    let mut net = net(3, 10);
    let backup = net.store.clone();
    let head = change(&mut net, 0, 0);
    net.run(IN_FORCE);
    net.store = backup;
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
    assert_eq!(net.follower("entry-1").availability(), Availability::SetBack);
    assert!(net.follower("entry-1").counts().set_back > 0);
    // Changes on top of the older contents leave an accepted one out, so they are no successors.
    for number in 5..8 {
        change(&mut net, 1, number);
        net.run(IN_FORCE);
    }
    assert_eq!(net.without(&head), []);
    assert!(net.follower("entry-1").counts().forks > 0);
    // A process that starts now follows its peers, whoever answers it first.
    for round in 0..30 {
        for host in ["entry-0", "side-3"].map(Host::from) {
            net.stop(&host);
            net.start(&host);
        }
        net.run(IN_FORCE);
        assert_eq!(net.without(&head), [], "start {round}");
    }
}

#[test]
fn an_adopted_revision_is_announced_to_connected_peers() {
    let settings = Settings { host: "a".into(), role: Role::Entry, seeds: [].into() };
    let now = Instant::default();
    let mut follower = Follower::new(settings, now, 1);
    for peer in ["b", "c"].map(Host::from) {
        follower.handle(now, 1, Event::Up(peer));
    }
    let whole = first(&[("services", "")]);
    let (hash, bytes) = whole.documents.iter().next().unwrap();
    let document = Message::Document(*hash, bytes.to_vec());
    follower.handle(now, 1, Event::Message("b".into(), Message::Head((*whole.head).clone())));
    let effects = follower.handle(now, 1, Event::Message("b".into(), document));
    let told = |e: &Effect| match e {
        Effect::Send(host, Message::Number(1)) => Some(host.clone()),
        _ => None,
    };
    // The peer that gave the revision has it.
    assert_eq!(effects.iter().filter_map(told).collect::<Vec<_>>(), ["c".into()]);
}

#[test]
fn a_peer_that_does_not_answer_is_left_for_another() {
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
fn a_restored_store_is_followed_again() {
    let mut net = net(3, 3);
    let backup = net.store.clone();
    let lost = change(&mut net, 0, 0);
    net.run(IN_FORCE);
    net.store = backup;
    net.run(IN_FORCE);
    let text = Net::contract(0, 0).1;
    net.store.head = Some(lost.encode().unwrap());
    net.store.documents.insert(Hash::of(text.as_bytes()), text.into_bytes());
    net.store.version += 7;
    let head = change(&mut net, 1, 1);
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
    assert_eq!(net.follower("entry-1").availability(), Availability::Up);
}

#[test]
fn damaged_documents_are_refused_whole() {
    let mut net = net(3, 3);
    let good = net.store.head().unwrap();
    let (name, text) = Net::contract(0, 0);
    let head = net.store.apply("damaged", &name, &text);
    let hash = head.documents[&name];
    net.store.documents.insert(hash, text.as_bytes()[..20].to_vec());
    net.run(IN_FORCE);
    assert_eq!(net.without(&good), []);
    assert!(net.follower("entry-0").counts().corrupt > 0);
    net.store.documents.remove(&hash);
    net.run(IN_FORCE * 4);
    assert_eq!(net.without(&good), []);
    assert!(net.follower("entry-0").counts().incomplete > 0);
    net.store.documents.insert(hash, text.into_bytes());
    net.run(IN_FORCE * 2);
    assert_eq!(net.without(&head), []);
}

#[test]
fn an_invalid_or_malformed_revision_leaves_the_last_good_one() {
    let mut net = net(3, 3);
    let good = net.store.head().unwrap();
    net.store.apply("invalid", "models", "[m]\nlayers = 0\ncontext = 1\n");
    net.run(IN_FORCE);
    assert_eq!(net.without(&good), []);
    assert!(net.follower("entry-0").counts().invalid > 0);
    let whole = net.store.head.clone().unwrap();
    for bytes in [whole[..whole.len() / 2].to_vec(), vec![b' '; 2_000_000], Vec::new()] {
        net.store.head = Some(bytes);
        net.store.version += 1;
        net.run(IN_FORCE);
    }
    let counts = net.follower("entry-0").counts();
    assert!(counts.corrupt >= 2 && counts.oversized >= 1);
    net.store.head = Some(whole);
    net.store.version += 1;
    let head = net.store.apply("mended", "models", "[m]\nlayers = 1\ncontext = 1024\n");
    net.run(IN_FORCE);
    assert_eq!(net.without(&head), []);
}

#[test]
fn a_late_older_head_is_refused() {
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
    let unasked = Event::Service(Reply::Head(Version(1), Vec::new()));
    follower.handle(now, 2, unasked);
    assert_eq!(follower.counts().corrupt, 0);
}

#[test]
fn the_budget_of_the_service_holds_when_all_restart() {
    let mut net = net(20, 350);
    for workspace in 0..16 {
        change(&mut net, workspace, 0);
    }
    net.run(IN_FORCE);
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
    net.run(IN_FORCE);
    println!("restart: {} calls in 17 s, busiest second {}", net.calls.len(), net.busiest_second());
    assert!(net.busiest_second() <= READS_PER_SECOND);
    assert_eq!(net.without(&head), []);
    let sides = net.nodes.values().filter(|n| n.role == Role::Side);
    let reads = sides.filter_map(|n| n.follower.as_ref()).map(|f| f.counts().reads).sum::<u64>();
    println!("sides read documents {reads} times");
    assert!(reads <= 35, "more than a tenth of the sides did not wait for the entries");
    let last = net.nodes.values().flat_map(|n| n.adopted.last()).map(|(at, _)| *at).max().unwrap();
    println!("in force everywhere {:?} after the service came back", last.since(from));
}

#[derive(Clone, Debug)]
enum Act {
    Change(usize, usize),
    Outage,
    Back,
    Restart(prop::sample::Index),
    Cut(prop::sample::Index, bool, bool),
    SetBack,
    Wait(u64),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => (0..4usize, 0..1000usize).prop_map(|(w, n)| Act::Change(w, n)),
        1 => Just(Act::Outage),
        1 => Just(Act::Back),
        2 => any::<prop::sample::Index>().prop_map(Act::Restart),
        2 => (any::<prop::sample::Index>(), any::<bool>(), any::<bool>())
            .prop_map(|(i, s, p)| Act::Cut(i, s, p)),
        1 => Just(Act::SetBack),
        3 => (1..20_000u64).prop_map(Act::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 96,
        ..ProptestConfig::default()
    })]

    /// No process ever goes back, whatever happens; and once all is well, an accepted change is
    /// in force everywhere in time, unless the service went back to older contents.
    #[test]
    fn nothing_reverts(acts in prop::collection::vec(act(), 0..25), seed in any::<u64>()) {
        let mut net = Net::new(3, 5, seed);
        net.start_all();
        net.run(IN_FORCE);
        let backup = net.store.clone();
        let (mut set_back, mut serial) = (false, 0);
        for act in acts {
            let pick = |i: &prop::sample::Index, net: &Net| i.get(&net.hosts()).clone();
            match act {
                Act::Change(workspace, number) => {
                    serial += 1;
                    let (name, text) = Net::contract(workspace, number + 1000 * serial);
                    net.store.apply(&format!("c{serial}"), &name, &text);
                }
                Act::Outage => net.store_up = false,
                Act::Back => net.store_up = true,
                Act::Restart(index) => {
                    let host = pick(&index, &net);
                    net.stop(&host);
                    net.start(&host);
                }
                Act::Cut(index, store, peers) => {
                    let host = pick(&index, &net);
                    let node = net.nodes.get_mut(&host).unwrap();
                    (node.reaches_store, node.reaches_peers) = (store, peers);
                }
                Act::SetBack => {
                    set_back = true;
                    net.store = backup.clone();
                }
                Act::Wait(ms) => net.run(Duration::from_millis(ms)),
            }
        }
        net.store_up = true;
        for node in net.nodes.values_mut() {
            (node.reaches_store, node.reaches_peers) = (true, true);
        }
        net.run(IN_FORCE);
        for (host, node) in &net.nodes {
            for pair in node.adopted.windows(2) {
                let relation = pair[1].1.relation(&pair[0].1);
                prop_assert_eq!(relation, Relation::Successor, "{} went back", host);
            }
        }
        if !set_back {
            let head = net.store.head().unwrap();
            prop_assert_eq!(net.without(&head), vec![]);
        }
    }
}
