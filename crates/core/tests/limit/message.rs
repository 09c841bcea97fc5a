//! What single messages may and may not change.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::limit::{Book, Effect, Settings, View};
use oriole_core::name::Workspace;
use oriole_core::roster::{Roster, WHOLE};
use oriole_core::share::{Ask, Grant, Levels, Message, Return, Terms};
use oriole_core::time::Instant;

use crate::terms::{contract, limits};
use crate::world::host;

const NOW: Instant = Instant::from_us(100_000_000);
const ASKED: Terms = Terms { requests: 100_000, tokens: 100_000, slots: 3 };

fn desk() -> Workspace {
    Workspace::from("gate-desk")
}

fn roster(nodes: usize) -> Roster {
    Roster::first((0..nodes).map(|n| (host(n), 1)).collect())
}

/// The book of entry 0 of two, whose other entry never answers, after its start.
fn book() -> Book {
    let early = Instant::from_us(0);
    let mut book = Book::new(early, host(0), 1, Settings::default());
    let mut out = Vec::new();
    let bounds = limits(10.0, 100, 1000.0, 1_000_000);
    let contract = contract(&desk(), bounds, Duration::from_secs(5));
    book.on_contracts(early, &BTreeMap::from([(desk(), contract)]), &mut out);
    book.on_roster(early, roster(2), &mut out);
    for second in 0..=100 {
        book.tick(Instant::from_us(second * 1_000_000), &mut out);
    }
    book
}

fn view(book: &mut Book) -> View {
    let Some(view) = book.view(NOW, &desk()) else {
        panic!("no account");
    };
    view
}

fn send(book: &mut Book, message: Message) -> Vec<Effect> {
    let mut out = Vec::new();
    book.on_message(NOW, &host(1), message, &mut out);
    out
}

fn ask() -> Message {
    let workspace = desk();
    let (least, want) = (ASKED, ASKED);
    Message::Ask(Ask { number: 7, workspace, least, want, renew: None, hold_ms: 5000 })
}

fn lend(book: &mut Book) -> Grant {
    let out = send(book, ask());
    let [Effect::Send(_, Message::Grant(grant))] = &out[..] else {
        panic!("{out:?}");
    };
    grant.clone()
}

fn back(grant: &Grant, slots: u32) -> Message {
    let (loan, workspace, levels) = (grant.loan, desk(), grant.levels);
    Message::Return(Return { loan, workspace, levels, slots })
}

/// The first request for a loan that a denied request leads to.
fn shortage(book: &mut Book, now: Instant) -> Option<u64> {
    let mut out = Vec::new();
    let _ = book.admit(now, &desk(), 900_000, &mut out);
    out.into_iter().find_map(|effect| match effect {
        Effect::Send(_, Message::Ask(ask)) => Some(ask.number),
        _ => None,
    })
}

fn grant(number: u64, roster: u64) -> Message {
    let levels = Levels { requests: 1, tokens: 1 };
    let (workspace, terms, life_ms) = (desk(), ASKED, 3000);
    Message::Grant(Grant {
        number,
        loan: 9,
        workspace,
        roster,
        terms,
        levels,
        life_ms,
        brief: false,
    })
}

#[test]
fn a_repeated_request_is_lent_once() {
    let mut book = book();
    assert_eq!(lend(&mut book).terms, ASKED);
    assert_eq!(send(&mut book, ask()), vec![]);
    assert_eq!(view(&mut book).held.requests, WHOLE / 2 - ASKED.requests);
}

#[test]
fn a_repeated_return_counts_once() {
    let mut book = book();
    let before = view(&mut book);
    let grant = lend(&mut book);
    send(&mut book, back(&grant, 1));
    send(&mut book, back(&grant, 1));
    let after = view(&mut book);
    assert_eq!((after.requests, after.tokens), (before.requests, before.tokens));
    assert_eq!(after.lent, Terms { slots: 2, ..Terms::default() });
    let mut out = Vec::new();
    for _ in 0..20 {
        assert!(book.admit(NOW, &desk(), 0, &mut out).is_ok());
    }
    send(&mut book, back(&grant, 1));
    assert_eq!(view(&mut book).requests, before.requests - 20_000_000);
}

#[test]
fn a_grant_counts_once_and_only_by_the_present_roster() {
    let mut book = book();
    let own = view(&mut book).held;
    let number = shortage(&mut book, NOW).unwrap();
    send(&mut book, grant(number + 1, 1));
    assert_eq!(view(&mut book).held, own);
    send(&mut book, grant(number, 1));
    send(&mut book, grant(number, 1));
    assert_eq!(view(&mut book).held, own.plus(ASKED));
    let mut out = Vec::new();
    book.on_roster(NOW, roster(2).next(roster(2).entries), &mut out);
    assert_eq!(view(&mut book).held, own);
    let number = shortage(&mut book, NOW + Duration::from_millis(200)).unwrap();
    send(&mut book, grant(number, 1));
    assert_eq!(view(&mut book).held, own);
}

#[test]
fn a_missed_roster_counts_as_nothing() {
    let mut book = book();
    let next = roster(2).next(roster(2).entries);
    let mut out = Vec::new();
    book.on_roster(NOW, next.next(next.entries.clone()), &mut out);
    assert_eq!(view(&mut book).own, Terms::default());
}

#[test]
fn an_entry_that_joins_asks_for_nothing_before_all_know_it() {
    let mut book = Book::new(NOW, host(2), 1, Settings::default());
    let mut out = Vec::new();
    let bounds = limits(10.0, 100, 1000.0, 1_000_000);
    let contract = contract(&desk(), bounds, Duration::from_secs(5));
    book.on_contracts(NOW, &BTreeMap::from([(desk(), contract)]), &mut out);
    book.on_roster(NOW, roster(2), &mut out);
    book.on_roster(NOW, roster(2).next(roster(3).entries), &mut out);
    assert_eq!(shortage(&mut book, NOW + Duration::from_secs(1)), None);
    for second in 1..=18 {
        book.tick(NOW + Duration::from_secs(second), &mut out);
    }
    assert!(shortage(&mut book, NOW + Duration::from_secs(18)).is_some());
}

#[test]
fn an_entry_that_was_paused_asks_before_it_uses_its_share() {
    let mut book = book();
    let resumed = NOW + Duration::from_millis(2100);
    let mut out = Vec::new();
    assert!(book.admit(resumed, &desk(), 0, &mut out).is_err());
    assert!(out.iter().any(|e| matches!(e, Effect::Send(_, Message::Hello(_)))), "{out:?}");
}
