//! Concurrent changes by several operators: which are accepted, and how writes whose replies are
//! lost are resolved.

#![allow(clippy::unwrap_used)] // test helpers fail by panicking

use std::collections::BTreeMap;

use oriole_core::revision::follower::Version;
use oriole_core::revision::{
    CHANGES_LIMIT, Change, Clash, Edit, Hash, Head, HeadError, Operation, Outcome, Proposal,
    Relation, RosterVersion, Snapshot, SnapshotError, Step, propose, resolve,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn change(id: &str, name: &str, from: Option<&str>, to: &str) -> Change {
    let hash = |text: &str| Hash::of(text.as_bytes());
    let edit = Edit { from: from.map(hash), to: Some(hash(to)) };
    Change { id: id.into(), edits: BTreeMap::from([(name.into(), edit)]) }
}

fn next(head: Option<&Head>, change: &Change) -> Head {
    match propose(head, change).unwrap() {
        Proposal::Replace(head) => head,
        Proposal::Unchanged => panic!("nothing to change"),
    }
}

/// Creates `count` consecutive revisions of the document `weights`.
fn chain(count: usize, tag: &str) -> Vec<Head> {
    let mut heads: Vec<Head> = Vec::new();
    for index in 0..count {
        let before = index.checked_sub(1).map(|i| format!("{tag}{i}"));
        let change = change(
            &format!("{tag}{index}"),
            "weights",
            before.as_deref(),
            &format!("{tag}{index}"),
        );
        heads.push(next(heads.last(), &change));
    }
    heads
}

#[test]
fn heads_round_trip_and_invalid_ones_are_refused() {
    let head = chain(3, "a").pop().unwrap();
    let bytes = head.encode().unwrap();
    assert_eq!(Head::decode(&bytes).unwrap(), head);
    assert_eq!(Head::decode(&bytes[..bytes.len() - 1]), Err(HeadError::Malformed));
    let oversized = vec![b' '; 1_000_001];
    assert_eq!(Head::decode(&oversized), Err(HeadError::Oversized));
    let skipped = Head { number: 9, ..head.clone() };
    assert_eq!(skipped.check(), Err(HeadError::Inconsistent));
    let mut unknown = head;
    unknown.documents.insert("engines".into(), Hash::of(b""));
    assert_eq!(unknown.check(), Err(HeadError::UnknownDocument));
}

#[test]
fn listed_changes_determine_the_relation_of_heads() {
    let heads = chain(CHANGES_LIMIT + 3, "a");
    let fork = chain(4, "b");
    assert_eq!(heads[5].relation(&heads[5]), Relation::Same);
    assert_eq!(heads[5].relation(&heads[2]), Relation::Successor);
    assert_eq!(heads[2].relation(&heads[5]), Relation::Older);
    assert_eq!(heads[5].relation(&fork[3]), Relation::Fork);
    assert_eq!(fork[3].relation(&heads[5]), Relation::Fork);
    assert_eq!(fork[3].relation(&heads[3]), Relation::Fork);
    assert_eq!(heads[CHANGES_LIMIT + 2].relation(&heads[0]), Relation::Unproven);
    // The same changes in the same order, but other contents.
    let mut altered = heads[2].clone();
    altered.documents.insert("weights".into(), Hash::of(b"other"));
    assert_eq!(heads[3].relation(&altered), Relation::Fork);
    assert_eq!(heads[2].relation(&altered), Relation::Fork);
}

#[test]
fn the_next_head_resolves_a_write_whose_reply_was_lost() {
    let heads = chain(4, "a");
    let fork = chain(4, "b");
    let cases = [
        (None, None, Outcome::Undecided),
        (None, Some(&heads[0]), Outcome::Refused),
        (Some(&heads[1]), Some(&heads[1]), Outcome::Undecided),
        (Some(&heads[1]), Some(&heads[3]), Outcome::Refused),
        (Some(&heads[1]), Some(&heads[0]), Outcome::SetBack),
        (Some(&heads[1]), Some(&fork[3]), Outcome::SetBack),
        (Some(&heads[1]), None, Outcome::SetBack),
    ];
    for (base, seen, outcome) in cases {
        assert_eq!(resolve(base, seen, "x"), outcome);
    }
    assert_eq!(resolve(Some(&heads[1]), Some(&heads[3]), "a2"), Outcome::Accepted(3));
}

#[test]
fn only_complete_revisions_with_matching_hashes_are_accepted() {
    let good = Snapshot::first(&BTreeMap::from([("services".into(), "[a]\n".into())])).unwrap();
    let head = (*good.head).clone();
    let adopt = |bytes: &[u8]| {
        let hash = head.documents["services"];
        Snapshot::new(head.clone(), &BTreeMap::from([(hash, bytes.into())])).err()
    };
    assert_eq!(adopt(b"[a]\n"), None);
    assert_eq!(adopt(b"[b]\n"), Some(SnapshotError::Corrupt));
    assert_eq!(adopt(&vec![b'#'; 1_000_000]), Some(SnapshotError::Oversized));
    let missing = Snapshot::new(head.clone(), &BTreeMap::new()).err();
    assert_eq!(missing, Some(SnapshotError::Missing { name: "services".into() }));
}

#[test]
fn a_conflict_lists_the_fields_of_both_changes() {
    let base = "rate = 1\n[limits]\na = 1\nb = 1\n";
    let theirs = "rate = 2\n[limits]\na = 1\nb = 1\n";
    let ours = "rate = 1\n[limits]\na = 5\n";
    let (accepted, wanted) = Clash::field_diffs(base, theirs, ours);
    let keys = |fields: &[oriole_core::revision::FieldDiff]| -> Vec<String> {
        fields.iter().map(|f| f.key.clone()).collect()
    };
    assert_eq!(keys(&accepted), ["rate"]);
    assert_eq!(keys(&wanted), ["limits.a", "limits.b", "rate"]);
}

/// The head's key in the key-value service, with writes that have not arrived yet.
#[derive(Default)]
struct Store {
    version: i64,
    head: Option<Head>,
    accepted: Vec<Head>,
    in_flight: Vec<(Version, Head)>,
}

impl Store {
    /// Replaces the head by compare-and-swap, as the key-value service does.
    fn write(&mut self, version: Version, head: Head) -> bool {
        let applies = version.0 == self.version;
        if applies {
            self.version += 1;
            self.head = Some(head.clone());
            self.accepted.push(head);
        }
        applies
    }
}

struct Operator {
    operation: Operation,
    seen: Option<(Version, Option<Head>)>,
    end: Option<Step>,
}

impl Operator {
    /// Makes one call: reads the head, or writes as decided from the head that was read.
    fn step(&mut self, store: &mut Store, network: Network) {
        let Some((version, head)) = self.seen.take() else {
            self.seen = Some((Version(store.version), store.head.clone()));
            return;
        };
        let (version, head) = match self.operation.next_step(version, head) {
            Step::Write { version, head } => (version, head),
            end => return self.end = Some(end),
        };
        match network {
            Network::Answered => {
                if store.write(version, head.clone()) {
                    self.end = Some(Step::Accepted(head.number));
                }
            }
            Network::ReplyLost => drop(store.write(version, head)),
            Network::Lost => {}
            Network::Late => store.in_flight.push((version, head)),
        }
    }
}

/// What happens to a write on its way.
#[derive(Clone, Copy, Debug)]
enum Network {
    Answered,
    ReplyLost,
    Lost,
    Late,
}

fn network() -> impl Strategy<Value = Network> {
    prop_oneof![
        Just(Network::Answered),
        Just(Network::ReplyLost),
        Just(Network::Lost),
        Just(Network::Late)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    /// Writes and replies are lost or delayed at random. Guards against a change that is applied
    /// twice or reported differently from what happened. Of the changes to one document exactly
    /// one is applied, and changes to different documents are all applied.
    #[test]
    fn each_change_is_applied_at_most_once_and_reported_correctly(
        targets in prop::collection::vec(0..3usize, 1..5),
        schedule in prop::collection::vec(
            (any::<prop::sample::Index>(), network(), any::<bool>()),
            0..40,
        ),
    ) {
        let mut store = Store::default();
        for name in ["contract/a", "contract/b", "contract/c"] {
            let head = next(store.head.as_ref(), &change(name, name, None, "base"));
            store.write(Version(store.version), head);
        }
        let mut operators: Vec<Operator> = targets.iter().enumerate().map(|(index, target)| {
            let name = ["contract/a", "contract/b", "contract/c"][*target];
            let change = change(&format!("op{index}"), name, Some("base"), &format!("by {index}"));
            Operator { operation: Operation::new(change), seen: None, end: None }
        }).collect();
        let mut run = |pick: usize, network: Network, deliver_late: bool| {
            if deliver_late && !store.in_flight.is_empty() {
                let (version, head) = store.in_flight.remove(pick % store.in_flight.len());
                store.write(version, head);
            }
            let count = operators.len();
            if let Some(operator) = operators.get_mut(pick % count).filter(|o| o.end.is_none()) {
                operator.step(&mut store, network);
            }
        };
        for (pick, network, deliver_late) in &schedule {
            run(pick.index(usize::MAX), *network, *deliver_late);
        }
        // From here on, all calls are answered, and delayed writes may still arrive.
        for round in 0..8 * targets.len() * targets.len() {
            run(round, Network::Answered, round % 3 == 0);
        }
        for pair in store.accepted.windows(2) {
            prop_assert_eq!(pair[1].relation(&pair[0]), Relation::Successor);
        }
        for (index, operator) in operators.iter().enumerate() {
            let id = format!("op{index}");
            let applied: Vec<u64> = store.accepted.iter()
                .filter(|head| head.changes.last() == Some(&id)).map(|head| head.number).collect();
            match &operator.end {
                Some(Step::Accepted(number)) => prop_assert_eq!(applied, vec![*number]),
                Some(Step::Conflict(conflict)) => {
                    prop_assert!(applied.is_empty());
                    prop_assert_eq!(conflict.clashes.len(), 1);
                }
                other => prop_assert!(false, "{} ended as {:?}", id, other),
            }
        }
        for target in 0..3 {
            let accepted = operators.iter().zip(&targets)
                .filter(|(o, t)| **t == target && matches!(o.end, Some(Step::Accepted(_)))).count();
            prop_assert_eq!(accepted, usize::from(targets.contains(&target)));
        }
    }

    #[test]
    fn arbitrary_heads_never_panic(raw in any::<Vec<u8>>(), at in any::<prop::sample::Index>()) {
        let _ = Head::decode(&raw);
        let mut bytes = chain(2, "a").pop().unwrap().encode().unwrap();
        let at = at.index(bytes.len());
        bytes[at] = raw.first().copied().unwrap_or(0);
        let _ = Head::decode(&bytes);
    }
}

#[test]
fn only_a_change_of_the_entries_creates_a_new_roster() {
    let first = next(None, &change("a", "entries", None, "two entries"));
    let second = next(Some(&first), &change("b", "weights", None, "w"));
    let third = next(Some(&second), &change("c", "entries", Some("two entries"), "three"));
    let fourth = next(Some(&third), &change("d", "weights", Some("w"), "v"));
    let rosters = [&first, &second, &third, &fourth].map(|h| (h.roster.number, h.roster.previous));
    assert_eq!(rosters, [(1, 0), (1, 0), (3, 1), (3, 1)]);
    let forged = RosterVersion { number: 5, previous: 1 };
    assert_eq!(Head { roster: forged, ..fourth }.check(), Err(HeadError::Inconsistent));
}
