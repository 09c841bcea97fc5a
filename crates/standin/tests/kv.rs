//! The adapters for the key-value service and for the host list, against the stand-ins and their
//! faults.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::hosts as list;
use oriole_adapter::kv::message::{Compare, Put, Range, Request, Txn, WatchRange};
use oriole_adapter::kv::{self, Cause, Client, Documents, Record, Settings};
use oriole_core::membership::Listing;
use oriole_core::revision::follower::{Reply, Version};
use oriole_core::revision::{Change, Edit, Hash, Head, Operation, Step};
use oriole_standin::fault::Switch;
use oriole_standin::hosts::{self, Hosts};
use oriole_standin::kv::{Service, serve};
use tokio::net::TcpListener;

struct Fixture {
    service: Service,
    switch: Switch,
    address: SocketAddr,
    client: Client,
}

impl Fixture {
    async fn new(timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (service, switch) = (Service::default(), Switch::new());
        actix_rt::spawn(serve(listener, service.clone(), switch.clone()));
        let client = Client::new(Settings { addresses: vec![address], timeout });
        Self { service, switch, address, client }
    }

    fn documents(&self) -> Documents {
        Documents::new(self.client.clone())
    }
}

async fn fixture() -> Fixture {
    Fixture::new(Duration::from_secs(10)).await
}

fn put(key: &str, value: &str, lease: i64) -> Put {
    Put { key: key.into(), value: value.into(), lease }
}

fn range(key: &str) -> Range {
    Range { key: key.into(), ..Range::default() }
}

fn change(id: &str, from: Option<Hash>, to: &str) -> Change {
    let edit = Edit { from, to: Some(Hash::of(to.as_bytes())) };
    Change { id: id.into(), edits: BTreeMap::from([("weights".into(), edit)]) }
}

/// Reads the head and its version; version 0 if there is none.
async fn read_head(documents: &Documents) -> (Version, Option<Head>) {
    match documents.poll(None).await.unwrap() {
        Reply::Head(version, bytes) => (version, Some(Head::decode(&bytes).unwrap())),
        Reply::Absent => (Version(0), None),
        other => panic!("{other:?}"),
    }
}

/// Writes once if that is the next step; returns the step and the outcome of the write.
async fn write(
    documents: &Documents,
    operation: &mut Operation,
) -> (Step, Option<Result<bool, kv::Error>>) {
    let (version, head) = read_head(documents).await;
    let step = operation.next_step(version, head);
    let Step::Write { version, head } = &step else {
        return (step, None);
    };
    let change = operation.change().clone();
    let record = Record { number: head.number, change, note: String::new() };
    let written = documents.replace(*version, head, &record).await;
    (step, Some(written))
}

#[actix_rt::test]
async fn only_one_of_two_compare_and_swaps_succeeds() {
    let f = fixture().await;
    let swap = |value: &str| Txn {
        compare: vec![Compare::unchanged(b"k", 0)],
        success: vec![Request::RequestPut(put("k", value, 0))],
        failure: vec![Request::RequestRange(range("k"))],
    };
    assert!(f.client.txn(&swap("a")).await.unwrap().succeeded);
    let lost = f.client.txn(&swap("b")).await.unwrap();
    assert!(!lost.succeeded && lost.responses.len() == 1);
    let found = f.client.range(&range("k")).await.unwrap();
    assert_eq!((found.count, found.kvs[0].value.as_slice()), (1, b"a".as_slice()));
    assert_eq!(f.client.counts()[&kv::Operation::Txn].calls, 2);
}

/// A write with a lost reply is found to be applied and is not written again; a write that failed
/// before it was applied is written again, once.
#[actix_rt::test]
async fn a_write_with_an_unknown_outcome_takes_effect_once() {
    let f = fixture().await;
    let documents = f.documents();
    let mut operation = Operation::new(change("one", None, "1"));
    f.service.set_delay(Duration::ZERO);
    let (version, head) = read_head(&documents).await;
    let Step::Write { version, head } = operation.next_step(version, head) else { panic!() };
    f.switch.lose_replies(1);
    let record = Record { number: 1, change: operation.change().clone(), note: "n".into() };
    let lost = documents.replace(version, &head, &record).await.unwrap_err();
    assert!(!lost.is_not_applied());
    let (step, _) = write(&documents, &mut operation).await;
    assert_eq!(step, Step::Accepted(1));
    // A call that failed before it was applied.
    let base = Hash::of(b"1");
    let mut operation = Operation::new(change("two", Some(base), "2"));
    let (version, head) = read_head(&documents).await;
    let Step::Write { version, head } = operation.next_step(version, head) else { panic!() };
    f.switch.fail_next(1);
    let record = Record { number: 2, change: operation.change().clone(), note: "n".into() };
    let failed = documents.replace(version, &head, &record).await.unwrap_err();
    assert!(!failed.is_not_applied(), "a member that fails may have forwarded the write before");
    let (_, written) = write(&documents, &mut operation).await;
    assert_eq!(written, Some(Ok(true)));
    let history = documents.history(10).await.unwrap();
    assert_eq!(history.iter().map(|r| r.number).collect::<Vec<_>>(), [2, 1]);
}

#[actix_rt::test]
async fn errors_say_whether_the_call_may_have_been_applied() {
    let f = Fixture::new(Duration::from_millis(200)).await;
    let nowhere = Client::new(Settings::new("127.0.0.1:1".parse().unwrap()));
    assert!(nowhere.put(&put("k", "v", 0)).await.unwrap_err().is_not_applied());
    let no_lease = f.client.put(&put("k", "v", 77)).await.unwrap_err();
    assert_eq!(no_lease.cause, Cause::Refused { status: 400 });
    assert!(no_lease.is_not_applied());
    f.switch.set_stalled(true);
    assert!(!f.client.put(&put("k", "v", 0)).await.unwrap_err().is_not_applied());
    f.switch.set_stalled(false);
    let none = Client::new(Settings { addresses: Vec::new(), timeout: Duration::from_secs(1) });
    assert_eq!(none.range(&range("k")).await.unwrap_err().cause, Cause::NoAddress);
    let count = f.client.counts()[&kv::Operation::Put];
    assert_eq!((count.calls, count.not_applied, count.unknown), (2, 1, 1));
}

#[actix_rt::test]
async fn another_member_is_called_after_a_failure() {
    let f = fixture().await;
    let addresses = vec!["127.0.0.1:1".parse().unwrap(), f.address];
    let client = Client::new(Settings { addresses, timeout: Duration::from_secs(10) });
    assert!(client.range(&range("k")).await.is_err());
    assert!(client.range(&range("k")).await.is_ok());
}

#[actix_rt::test]
async fn a_revoked_lease_ends_and_deletes_its_keys() {
    let f = fixture().await;
    let lease = f.client.grant(Duration::from_secs(30)).await.unwrap();
    f.client.put(&put("holder", "me", lease.id)).await.unwrap();
    assert_eq!(f.client.keep_alive(lease.id).await.unwrap().ttl, 30);
    f.client.revoke(lease.id).await.unwrap();
    assert_eq!(f.client.range(&range("holder")).await.unwrap().count, 0);
    let ended = f.client.keep_alive(lease.id).await.unwrap_err();
    assert_eq!(ended.cause, Cause::LeaseEnded);
}

#[actix_rt::test]
async fn a_watch_delivers_changes_of_its_key_until_it_is_dropped() {
    let f = fixture().await;
    let watched = WatchRange { key: b"k".to_vec(), ..WatchRange::default() };
    let mut watch = f.client.watch(watched).await.unwrap();
    assert!(watch.next().await.unwrap().created);
    f.client.put(&put("other", "x", 0)).await.unwrap();
    f.client.put(&put("k", "v", 0)).await.unwrap();
    let message = watch.next().await.unwrap();
    assert_eq!(message.events[0].kv.value, b"v");
    f.service.drop_watches();
    assert!(watch.next().await.is_err());
}

#[actix_rt::test]
async fn a_poll_returns_changes_and_a_rollback_of_the_store() {
    let f = fixture().await;
    let documents = f.documents();
    assert!(matches!(documents.poll(None).await.unwrap(), Reply::Absent));
    let mut operation = Operation::new(change("one", None, "1"));
    write(&documents, &mut operation).await;
    let (version, _) = read_head(&documents).await;
    assert!(matches!(documents.poll(Some(version)).await.unwrap(), Reply::Unchanged));
    f.service.back_up();
    let mut operation = Operation::new(change("two", Some(Hash::of(b"1")), "2"));
    write(&documents, &mut operation).await;
    let (later, _) = read_head(&documents).await;
    f.service.restore_backup();
    let Reply::Head(older, _) = documents.poll(Some(later)).await.unwrap() else { panic!() };
    assert_eq!(older, version);
    let hash = Hash::of(b"text");
    documents.write(&hash, b"text").await.unwrap();
    let read = documents.read(&[Hash::of(b"none"), hash]).await.unwrap();
    assert_eq!(read, [(hash, b"text".to_vec())]);
}

#[actix_rt::test]
async fn changes_of_the_host_list_do_not_show_before_the_lag() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = list::Client::new(listener.local_addr().unwrap());
    let (hosts, switch) = (Hosts::default(), Switch::new());
    actix_rt::spawn(hosts::serve(listener, hosts.clone(), switch.clone()));
    hosts.set("a".into(), Some(Listing::Live));
    hosts.set_lag(Duration::from_secs(3600));
    hosts.set("a".into(), Some(Listing::Leaving));
    let timeout = Duration::from_secs(10);
    let shown = client.list(timeout).await.unwrap();
    assert_eq!(shown.hosts, BTreeMap::from([("a".into(), Listing::Live)]));
    switch.fail_next(1);
    assert_eq!(client.list(timeout).await, Err(list::Error::Status { status: 503 }));
}
